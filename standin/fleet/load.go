package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"ryelug/core/result"
)

// Load is a number of callers of one team. Each sends its next request when it has its reply.
type Load struct {
	Team    string
	Callers int
	Routers []int // Routers are the places in Fleet.Routers that the callers use in turn; nil for all.
	Tokens  int
	Service bool          // Service sends calls of the service in place of chats.
	Pause   time.Duration // Pause is the time between a reply and the next request.
	Hasty   bool          // Hasty callers come back after Pause also when a refusal names a later time.
}

// Run is load under way.
type Run struct {
	fleet   *Fleet
	ctx     context.Context
	cancel  context.CancelFunc
	callers sync.WaitGroup

	mu      sync.Mutex
	replies []*Reply
	members []*Member
}

// leastPause is the time after a refusal that names none.
const leastPause = 50 * time.Millisecond

// Drive starts callers, which go on until Stop.
func (f *Fleet) Drive(ctx context.Context, loads ...Load) *Run {
	run := &Run{fleet: f}
	f.runs = append(f.runs, run)
	run.ctx, run.cancel = context.WithCancel(ctx)
	run.Refresh()
	for _, load := range loads {
		for i := range load.Callers {
			run.callers.Go(func() { run.call(load, i) })
		}
	}
	return run
}

// Refresh tells the callers of routers that were added; a balancer would learn of them by itself.
func (r *Run) Refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.members = append([]*Member(nil), r.fleet.Routers...)
}

// Stop lets all callers have their last reply and returns all replies.
func (r *Run) Stop() []*Reply {
	r.cancel()
	r.callers.Wait()
	return r.replies
}

func (r *Run) call(load Load, turn int) {
	for ; r.ctx.Err() == nil; turn++ {
		m := r.member(load, turn)
		if m == nil {
			time.Sleep(leastPause)
			continue
		}
		reply := r.request(m, load)
		r.mu.Lock()
		r.replies = append(r.replies, reply)
		r.mu.Unlock()
		pause := max(load.Pause, time.Nanosecond) // The race detector breaks on a timer that is due at once.
		if reply.Code != result.OK && !load.Hasty {
			pause = max(pause, leastPause, reply.RetryAfter)
		}
		select {
		case <-time.After(pause):
		case <-r.ctx.Done():
		}
	}
}

// request sends one request, which Stop does not cancel.
func (r *Run) request(m *Member, load Load) *Reply {
	ctx := m.lifetime(context.WithoutCancel(r.ctx))
	if load.Service {
		return m.Call(ctx, load.Team, "")
	}
	return m.Chat(ctx, load.Team, load.Tokens)
}

// member returns the router of the turn that a balancer would use.
func (r *Run) member(load Load, turn int) *Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var usable []*Member
	for i, m := range r.members {
		if m.takes() && (load.Routers == nil || slices.Contains(load.Routers, i)) {
			usable = append(usable, m)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[turn%len(usable)]
}
