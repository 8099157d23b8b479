package router

import (
	"context"
	"sync"
	"time"

	"ryelug/router/dispatching"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// loadPollers bounds the endpoints that are asked for their report at the same time.
const loadPollers = 64

// choosePolled publishes the endpoints whose reports the dispatchers here need.
// Those of a cell that is new here are asked at once, since without a report
// its endpoints get no work.
func (c *coordinator) choosePolled() {
	targets := c.dispatch.Targets()
	before := c.polled.Swap(&targets)
	if before == nil || len(*before) < len(targets) {
		select {
		case c.pollNow <- struct{}{}:
		default: // A round is due already.
		}
	}
}

func (c *coordinator) handleMeasured(now time.Time, cmd measured) {
	if cmd.err != nil {
		c.dispatch.Report(now, cmd.cell, &dispatch.Unreachable{Endpoint: cmd.endpoint})
		return
	}
	c.dispatch.Report(now, cmd.cell, &dispatch.Load{
		Endpoint:  cmd.endpoint,
		Start:     cmd.load.Start,
		Cold:      cmd.load.Cold,
		InFlight:  cmd.load.InFlight,
		Completed: int(cmd.load.Completed),
		Sampled:   cmd.sampled,
	})
}

// loadPoller is the duty that asks endpoints for their reports.
type loadPoller struct {
	config      *Config
	coordinator *coordinator

	mu   sync.Mutex
	busy map[cell.EndpointID]bool // busy endpoints have not answered the last question.
}

func newLoadPoller(config *Config, coordinator *coordinator) *loadPoller {
	return &loadPoller{config: config, coordinator: coordinator, busy: make(map[cell.EndpointID]bool)}
}

// run polls until ctx ends.
func (p *loadPoller) run(ctx context.Context) error {
	ticker := time.NewTicker(p.config.Timings.LoadPoll)
	defer ticker.Stop()
	slots := make(chan struct{}, loadPollers)
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.coordinator.pollNow:
			p.round(ctx, slots, &group)
		case <-ticker.C:
			p.round(ctx, slots, &group)
		}
	}
}

func (p *loadPoller) round(ctx context.Context, slots chan struct{}, group *sync.WaitGroup) {
	targets := p.coordinator.polled.Load()
	if targets == nil {
		return
	}
	for _, target := range *targets {
		if !p.begin(target.Endpoint) {
			continue
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			p.end(target.Endpoint)
			return
		}
		group.Go(func() {
			p.poll(ctx, target)
			p.end(target.Endpoint)
			<-slots
		})
	}
}

func (p *loadPoller) begin(endpoint cell.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[endpoint] {
		return false
	}
	p.busy[endpoint] = true
	return true
}

func (p *loadPoller) end(endpoint cell.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, endpoint)
}

// poll asks one endpoint. The report can be as old as the report lag when it is written.
func (p *loadPoller) poll(ctx context.Context, target dispatching.Target) {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timings.LoadTimeout)
	defer cancel()
	sampled := time.Now().Add(-p.config.Timings.ReportLag)
	load, err := p.config.Endpoints.Load(ctx, target.Address)
	p.coordinator.post(ctx, measured{
		cell: target.Cell, endpoint: target.Endpoint, load: load, sampled: sampled, err: err,
	})
}
