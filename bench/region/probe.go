package region

import (
	"context"
	"fmt"
	"sync"
	"time"

	"ryelug/core/result"
	"ryelug/standin/fleet"
)

const probePause = 200 * time.Millisecond

// probes are requests at a steady rate to the routers of one region, whatever became of the earlier ones.
type probes struct {
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	replies []*fleet.Reply
}

// probe starts probes.
func (r *run) probe(ctx context.Context, region string) *probes {
	ctx, cancel := context.WithCancel(ctx)
	p := &probes{cancel: cancel, done: make(chan struct{})}
	var routers []*fleet.Member
	for _, m := range r.fleet.Routers {
		if regionOf(m.DataCentre) == region {
			routers = append(routers, m)
		}
	}
	go p.send(ctx, routers)
	return p
}

func (p *probes) send(ctx context.Context, routers []*fleet.Member) {
	defer close(p.done)
	var waiting sync.WaitGroup
	defer waiting.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		m, team := routers[i%len(routers)], fmt.Sprintf("team-%02d", i%teamCount)
		waiting.Go(func() { p.add(m.Chat(context.WithoutCancel(ctx), team, 1)) })
		time.Sleep(probePause)
	}
}

func (p *probes) add(reply *fleet.Reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replies = append(p.replies, reply)
}

// stop ends the probes and returns all replies.
func (p *probes) stop() []*fleet.Reply {
	p.cancel()
	<-p.done
	return p.replies
}

// codes counts replies by the name of their result code.
func codes(replies []*fleet.Reply) map[string]int {
	counts := map[string]int{}
	for _, reply := range replies {
		info, _ := result.Lookup(reply.Code)
		counts[info.Name]++
	}
	return counts
}
