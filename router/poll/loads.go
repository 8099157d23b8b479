package poll

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"ryelug/core/cell"
	"ryelug/io/endpoint"
	"ryelug/router/coordination"
	"ryelug/router/dispatching"
)

// loadPollers bounds the endpoints that are asked for their report at the same time.
const loadPollers = 64

// LoadsConfig sets up Loads.
type LoadsConfig struct {
	Endpoints   Endpoints
	Coordinator *coordination.Coordinator
	Timings     coordination.Timings
}

// Endpoints gives reports.
type Endpoints interface {
	// Load asks an endpoint for its report.
	Load(ctx context.Context, address netip.AddrPort) (endpoint.Load, error)
	// Kept asks an engine which parts of prompts it keeps.
	Kept(ctx context.Context, address netip.AddrPort) ([]cell.Part, error)
}

// rarePoll is the interval between the reports of an endpoint that are rarely needed.
const rarePoll = time.Second

// Loads is the duty that asks endpoints for their reports.
type Loads struct {
	config LoadsConfig
	asked  map[cell.EndpointID]time.Time // asked is when each endpoint was last asked.

	mu   sync.Mutex
	busy map[cell.EndpointID]bool // busy endpoints have not answered the last question.
}

// NewLoads returns the duty, which Run starts.
func NewLoads(config LoadsConfig) *Loads {
	return &Loads{
		config: config,
		asked:  make(map[cell.EndpointID]time.Time),
		busy:   make(map[cell.EndpointID]bool),
	}
}

// Run polls until ctx ends.
func (p *Loads) Run(ctx context.Context) error {
	timer := time.NewTimer(p.config.Timings.LoadPoll)
	defer timer.Stop()
	slots := make(chan struct{}, loadPollers)
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.config.Coordinator.PollNow():
		case <-timer.C:
		}
		next := p.round(ctx, slots, &group)
		timer.Reset(max(time.Until(next), leastPause))
	}
}

// leastPause is the least time between two rounds of which nobody has asked for the second.
const leastPause = time.Millisecond

// round asks the endpoints whose report is due and returns when the next one is.
func (p *Loads) round(ctx context.Context, slots chan struct{}, group *sync.WaitGroup) (next time.Time) {
	now := time.Now()
	next = now.Add(p.config.Timings.LoadPoll)
	targets := p.config.Coordinator.Targets()
	p.forget(targets)
	for _, target := range targets {
		if due := p.due(target); due.After(now) {
			next = earlier(next, due)
			continue
		}
		if !p.begin(target.Endpoint) {
			continue
		}
		p.asked[target.Endpoint] = now
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			p.end(target.Endpoint)
			return next
		}
		group.Go(func() {
			if target.Kept {
				p.askKept(ctx, target)
			} else {
				p.poll(ctx, target)
			}
			p.end(target.Endpoint)
			<-slots
		})
	}
	return next
}

// due returns when an endpoint is to be asked.
func (p *Loads) due(target dispatching.Target) time.Time {
	asked := p.asked[target.Endpoint]
	interval := p.config.Timings.LoadPoll
	if target.Kept && !asked.IsZero() {
		return time.Now().Add(interval) // It is asked once.
	}
	if target.Need.Rare {
		interval = max(interval, rarePoll)
	}
	due := asked.Add(interval)
	if target.Need.Due.After(asked) {
		due = earlier(due, target.Need.Due)
	}
	return due
}

// forget drops the endpoints whose reports are not needed here any more.
func (p *Loads) forget(targets []dispatching.Target) {
	if len(p.asked) <= len(targets) {
		return
	}
	maps.DeleteFunc(p.asked, func(id cell.EndpointID, _ time.Time) bool {
		return !slices.ContainsFunc(targets, func(t dispatching.Target) bool { return t.Endpoint == id })
	})
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (p *Loads) begin(endpoint cell.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[endpoint] {
		return false
	}
	p.busy[endpoint] = true
	return true
}

func (p *Loads) end(endpoint cell.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, endpoint)
}

// askKept asks an engine what it keeps.
func (p *Loads) askKept(ctx context.Context, target dispatching.Target) {
	asking, cancel := context.WithTimeout(ctx, keptTimeout)
	defer cancel()
	parts, err := p.config.Endpoints.Kept(asking, target.Address)
	p.config.Coordinator.Holds(ctx, target, parts, err)
}

// keptTimeout bounds a question for what an engine keeps, which is long and comes from an engine at work.
const keptTimeout = time.Second

// poll asks one endpoint. The report can be as old as the report lag when it is written.
func (p *Loads) poll(ctx context.Context, target dispatching.Target) {
	asking, cancel := context.WithTimeout(ctx, p.config.Timings.LoadTimeout)
	defer cancel()
	sampled := time.Now().Add(-p.config.Timings.ReportLag)
	load, err := p.config.Endpoints.Load(asking, target.Address)
	p.config.Coordinator.Measured(ctx, target, sampled, load, err)
}
