package service

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/standin/endpoint"
)

// Config is what a Service is made of; WarmLimit and ColdLimit bound the calls in flight that it can bear.
type Config struct {
	Name      string
	WarmLimit int
	ColdLimit int
	WarmUp    int // WarmUp is the number of completed calls that makes a cold service warm.
	Cold      bool
	FallsOver bool          // FallsOver says that a cold service restarts when it gets more than ColdLimit.
	ReportLag time.Duration // ReportLag is how old a load report may be.
	Duration  time.Duration // Duration is the time that a call takes.
}

// Service is a stand-in of a plain service.
type Service struct {
	*endpoint.Endpoint
	config Config

	mu     sync.Mutex
	number int
	last   string
}

type receipt struct {
	ID     string `json:"id"`
	Path   string `json:"path"`
	Number int    `json:"number"`
	By     string `json:"by"`
}

// New returns a service that serves nothing yet.
func New(config Config) *Service {
	service := &Service{config: config}
	service.Endpoint = endpoint.New(endpoint.Config{
		Name:      config.Name,
		WarmLimit: config.WarmLimit,
		ColdLimit: config.ColdLimit,
		WarmUp:    config.WarmUp,
		Cold:      config.Cold,
		ReportLag: config.ReportLag,
		FallsOver: config.FallsOver,
		Handler:   service.handle,
	})
	return service
}

func (s *Service) handle(ctx context.Context, req *fasthttp.RequestCtx) {
	if !req.IsPost() {
		endpoint.WriteError(req, fasthttp.StatusMethodNotAllowed, "calls are POST")
		return
	}
	number, id, last := s.arrive(req)
	fault := s.NextFault()
	if _, refuses := fault.(*endpoint.Refuse); refuses {
		s.Refused(id)
		endpoint.WriteError(req, fasthttp.StatusServiceUnavailable, "the service takes no work now")
		return
	}
	slot := s.Begin(ctx, id, endpoint.FirstRun)
	if !slot.Sleep(s.config.Duration) {
		slot.End(endpoint.CancelledRun)
		endpoint.Hang(req)
		return
	}
	slot.End(endpoint.CompletedRun)
	answering := id
	switch fault.(type) {
	case *endpoint.Drop, *endpoint.Break:
		endpoint.Hang(req)
		return
	case *endpoint.Mute:
		<-ctx.Done()
		return
	case *endpoint.Cross:
		answering = last
	}
	req.Response.Header.Set("X-Request-Id", answering)
	receipt := receipt{ID: answering, Path: string(req.Path()), Number: number, By: s.Name()}
	endpoint.WriteJSON(req, fasthttp.StatusOK, receipt)
}

// arrive numbers a call and returns its id and that of the call before.
func (s *Service) arrive(req *fasthttp.RequestCtx) (number int, id, last string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	id = string(req.Request.Header.Peek("X-Request-Id"))
	if id == "" {
		id = fmt.Sprintf("%s-anonymous-%d", s.config.Name, s.number)
	}
	last = s.last
	if last == "" {
		last = "another-request"
	}
	s.last = id
	return s.number, id, last
}
