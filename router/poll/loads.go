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

// maxConcurrentQueries limits the number of endpoints that are queried at the same time.
const maxConcurrentQueries = 64

// LoadsConfig holds the settings of Loads and what it works with.
type LoadsConfig struct {
	Endpoints   Endpoints
	Coordinator *coordination.Coordinator // Coordinator says which endpoints to query, and receives the answers.
	Timings     coordination.Timings
}

// Endpoints queries endpoints. Both methods return an error if there is no valid answer.
type Endpoints interface {
	// Load returns the endpoint's load report.
	Load(ctx context.Context, address netip.AddrPort) (endpoint.Load, error)
	// Kept returns the prompt parts that an engine has cached.
	Kept(ctx context.Context, address netip.AddrPort) ([]cell.Part, error)
}

// rareInterval is the least interval between reports of an endpoint whose reports are rarely needed.
const rareInterval = time.Second

// Loads is the background task that queries endpoints for their load reports and cached prompt parts.
type Loads struct {
	config      LoadsConfig
	lastQueried map[cell.EndpointID]time.Time // lastQueried is when each endpoint was last queried; only Run's goroutine uses it.

	mu      sync.Mutex
	pending map[cell.EndpointID]bool // pending holds the endpoints that have not yet answered the last query.
}

// NewLoads returns a task that does nothing until Run is called.
func NewLoads(config LoadsConfig) *Loads {
	return &Loads{
		config:      config,
		lastQueried: make(map[cell.EndpointID]time.Time),
		pending:     make(map[cell.EndpointID]bool),
	}
}

// Run queries endpoints until ctx ends, waits for the queries that are running, and then returns nil.
func (l *Loads) Run(ctx context.Context) error {
	timer := time.NewTimer(l.config.Timings.LoadPoll)
	defer timer.Stop()
	slots := make(chan struct{}, maxConcurrentQueries)
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.config.Coordinator.PollNow():
		case <-timer.C:
		}
		next := l.startQueries(ctx, slots, &group)
		timer.Reset(max(time.Until(next), minRoundPause))
	}
}

// minRoundPause is the least time between two calls of startQueries, unless the coordinator requests the second one.
const minRoundPause = time.Millisecond

// startQueries starts queries to the endpoints that are due, except those that have not answered the last
// query yet, and returns when it must be called next. It blocks while maxConcurrentQueries are running.
func (l *Loads) startQueries(ctx context.Context, slots chan struct{}, group *sync.WaitGroup) (next time.Time) {
	now := time.Now()
	next = now.Add(l.config.Timings.LoadPoll)
	targets := l.config.Coordinator.PollTargets()
	l.prune(targets)
	for _, target := range targets {
		if due := l.due(target); due.After(now) {
			next = earlier(next, due)
			continue
		}
		if !l.begin(target.Endpoint) {
			continue
		}
		l.lastQueried[target.Endpoint] = now
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			l.end(target.Endpoint)
			return next
		}
		group.Go(func() {
			if target.Kept {
				l.queryKept(ctx, target)
			} else {
				l.queryLoad(ctx, target)
			}
			l.end(target.Endpoint)
			<-slots
		})
	}
	return next
}

// due returns when an endpoint is to be queried next.
func (l *Loads) due(target dispatching.Target) time.Time {
	lastQueried := l.lastQueried[target.Endpoint]
	interval := l.config.Timings.LoadPoll
	if target.Kept && !lastQueried.IsZero() {
		return time.Now().Add(interval) // Cached prompt parts are queried only once, so the next query is always in the future.
	}
	if target.Need.Rare {
		interval = max(interval, rareInterval)
	}
	due := lastQueried.Add(interval)
	if target.Need.Due.After(lastQueried) {
		due = earlier(due, target.Need.Due)
	}
	return due
}

// prune removes the query times of endpoints that are no longer targets.
func (l *Loads) prune(targets []dispatching.Target) {
	if len(l.lastQueried) <= len(targets) {
		return
	}
	maps.DeleteFunc(l.lastQueried, func(id cell.EndpointID, _ time.Time) bool {
		return !slices.ContainsFunc(targets, func(t dispatching.Target) bool { return t.Endpoint == id })
	})
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// begin marks an endpoint's query as pending and reports whether no other one was pending.
func (l *Loads) begin(endpoint cell.EndpointID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending[endpoint] {
		return false
	}
	l.pending[endpoint] = true
	return true
}

// end marks an endpoint's query as finished.
func (l *Loads) end(endpoint cell.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, endpoint)
}

// queryKept queries the prompt parts that an engine has cached and passes them, or the error, to the coordinator.
func (l *Loads) queryKept(ctx context.Context, target dispatching.Target) {
	queryCtx, cancel := context.WithTimeout(ctx, keptQueryTimeout)
	defer cancel()
	parts, err := l.config.Endpoints.Kept(queryCtx, target.Address)
	l.config.Coordinator.Holds(ctx, target, parts, err)
}

// keptQueryTimeout is the timeout of a query for cached prompt parts. The answer is long, and the
// engine serves requests at the same time.
const keptQueryTimeout = time.Second

// queryLoad queries the load of an endpoint and passes the report, or the error, to the coordinator. The endpoint
// may have sampled its load as early as Timings.ReportLag before the query.
func (l *Loads) queryLoad(ctx context.Context, target dispatching.Target) {
	queryCtx, cancel := context.WithTimeout(ctx, l.config.Timings.LoadTimeout)
	defer cancel()
	sampled := time.Now().Add(-l.config.Timings.ReportLag)
	load, err := l.config.Endpoints.Load(queryCtx, target.Address)
	l.config.Coordinator.Measured(ctx, target, sampled, load, err)
}
