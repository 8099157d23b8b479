package poll

import (
	"context"
	"net/netip"
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
}

// Loads is the duty that asks endpoints for their reports.
type Loads struct {
	config LoadsConfig

	mu   sync.Mutex
	busy map[cell.EndpointID]bool // busy endpoints have not answered the last question.
}

// NewLoads returns the duty, which Run starts.
func NewLoads(config LoadsConfig) *Loads {
	return &Loads{config: config, busy: make(map[cell.EndpointID]bool)}
}

// Run polls until ctx ends.
func (p *Loads) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.config.Timings.LoadPoll)
	defer ticker.Stop()
	slots := make(chan struct{}, loadPollers)
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.config.Coordinator.TargetsGrew():
			p.round(ctx, slots, &group)
		case <-ticker.C:
			p.round(ctx, slots, &group)
		}
	}
}

func (p *Loads) round(ctx context.Context, slots chan struct{}, group *sync.WaitGroup) {
	for _, target := range p.config.Coordinator.Targets() {
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

// poll asks one endpoint. The report can be as old as the report lag when it is written.
func (p *Loads) poll(ctx context.Context, target dispatching.Target) {
	asking, cancel := context.WithTimeout(ctx, p.config.Timings.LoadTimeout)
	defer cancel()
	sampled := time.Now().Add(-p.config.Timings.ReportLag)
	load, err := p.config.Endpoints.Load(asking, target.Address)
	p.config.Coordinator.Measured(ctx, target, sampled, load, err)
}
