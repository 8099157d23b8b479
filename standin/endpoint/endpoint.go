package endpoint

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Handler answers one request; ctx ends when the caller has gone or the endpoint restarts.
type Handler func(ctx context.Context, req *fasthttp.RequestCtx)

// Config is what an Endpoint is made of.
type Config struct {
	Name      string
	WarmLimit int
	ColdLimit int
	WarmUp    int           // WarmUp is the number of completed requests that makes a cold endpoint warm.
	Cold      bool          // Cold says that the first start is a cold one.
	ReportLag time.Duration // ReportLag is how old a load report may be.
	FallsOver bool          // FallsOver says that a cold endpoint restarts when it gets more than ColdLimit.
	Handler   Handler
}

// Load is an endpoint's report of itself.
type Load struct {
	Start     string `json:"start"`
	Cold      bool   `json:"cold"`
	InFlight  int    `json:"in_flight"`
	Completed int    `json:"completed"`
}

// Endpoint is the part that stand-ins of engines and services share.
type Endpoint struct {
	config Config
	http   *fasthttp.Server

	mu        sync.Mutex
	starts    int
	life      context.Context // life ends with the present start.
	end       context.CancelFunc
	cold      bool
	completed int
	slots     map[*Slot]bool
	history   History
	faults    []Fault
	slow      float64
	sample    Load
	sampled   time.Time
	listeners map[net.Listener]bool
	conns     map[*conn]bool
	closed    bool
	serving   sync.WaitGroup
}

// New returns an endpoint that serves nothing yet.
func New(config Config) *Endpoint {
	endpoint := &Endpoint{
		config:    config,
		slots:     map[*Slot]bool{},
		listeners: map[net.Listener]bool{},
		conns:     map[*conn]bool{},
		slow:      1,
	}
	endpoint.http = &fasthttp.Server{
		Handler:         endpoint.handle,
		NoDefaultDate:   true,
		Name:            config.Name,
		CloseOnShutdown: true,
	}
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	endpoint.begin(config.Cold)
	return endpoint
}

// Name returns the endpoint's name.
func (e *Endpoint) Name() string {
	return e.config.Name
}

// Load returns a report that is at most ReportLag old, but for the start, which is always the present one.
func (e *Endpoint) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.sampled.IsZero() || now.Sub(e.sampled) >= e.config.ReportLag {
		e.sample = Load{Start: e.startName(), Cold: e.cold, InFlight: len(e.slots), Completed: e.completed}
		e.sampled = now
	}
	return e.sample
}

// History returns a copy of all that has happened.
func (e *Endpoint) History() History {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.history.clone()
}

// stretch returns d stretched by the present slowness.
func (e *Endpoint) stretch(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(d) * e.slow)
}

// begin starts a new life of the endpoint; e.mu is held.
func (e *Endpoint) begin(cold bool) {
	e.starts++
	e.life, e.end = context.WithCancel(context.Background())
	e.completed = 0
	e.sampled = time.Time{}
	e.setCold(cold)
}

// setCold changes the limit in force; e.mu is held.
func (e *Endpoint) setCold(cold bool) {
	e.cold = cold
	e.record(LimitSet, "")
}

func (e *Endpoint) limit() int {
	if e.cold {
		return e.config.ColdLimit
	}
	return e.config.WarmLimit
}

func (e *Endpoint) startName() string {
	return fmt.Sprintf("%s-%d", e.config.Name, e.starts)
}

func (e *Endpoint) record(kind Kind, request string) {
	e.history.add(Event{
		At:       time.Now(),
		Kind:     kind,
		Request:  request,
		Start:    e.startName(),
		InFlight: len(e.slots),
		Limit:    e.limit(),
		Cold:     e.cold,
	})
}
