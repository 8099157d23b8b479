package operator

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

const (
	varsPath     = "/debug/vars"
	healthPath   = "/healthz"
	readTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second
	closeTimeout = time.Second
	maxConns     = 64
)

// Health tells the balancer and operators whether this router takes new requests.
type Health struct {
	Leaving         bool   `json:"leaving"`
	Strained        bool   `json:"strained"`
	CutOff          bool   `json:"cut_off"`
	NoConfiguration bool   `json:"no_configuration"`
	Generation      uint64 `json:"generation"`
}

// Healthy tells whether the balancer should send requests.
func (h Health) Healthy() bool {
	return !h.Leaving && !h.Strained && !h.CutOff && !h.NoConfiguration
}

// Config is what a Server is made of.
type Config struct {
	Listener net.Listener
	Vars     *Vars
	Health   func() Health
	Log      logrus.FieldLogger
}

// Server answers operators and the balancer.
type Server struct {
	config Config
	http   *fasthttp.Server
}

// New returns a server that serves nothing yet.
func New(config Config) *Server {
	server := &Server{config: config}
	server.http = &fasthttp.Server{
		Handler:         server.handle,
		Name:            "ryelug",
		NoDefaultDate:   true,
		ReadTimeout:     readTimeout,
		WriteTimeout:    writeTimeout,
		IdleTimeout:     readTimeout,
		Concurrency:     maxConns,
		CloseOnShutdown: true,
		Logger:          quiet{},
	}
	return server
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := s.http.Serve(s.config.Listener); err != nil && ctx.Err() == nil {
			return trace.Wrap(err, "the operators' listener failed")
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		_ = s.http.ShutdownWithContext(closing) // A reader that keeps its connection open does not hold up the end.
		_ = s.config.Listener.Close()           // The library closes only a listener that it has seen.
		return nil
	})
	return group.Wait()
}

func (s *Server) handle(req *fasthttp.RequestCtx) {
	if !req.IsGet() && !req.IsHead() {
		req.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	switch string(req.Path()) {
	case varsPath:
		req.SetContentType("application/json; charset=utf-8")
		s.config.Vars.write(req)
	case healthPath:
		s.health(req)
	default:
		req.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) health(req *fasthttp.RequestCtx) {
	health := s.config.Health()
	body, err := json.Marshal(struct {
		Healthy bool `json:"healthy"`
		Health
	}{health.Healthy(), health})
	if err != nil {
		s.config.Log.WithError(err).Error("Health can't be written.")
		req.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	status, answer := fasthttp.StatusOK, CheckReady
	if !health.Healthy() {
		status, answer = fasthttp.StatusServiceUnavailable, CheckNotReady
	}
	s.config.Vars.Add(Checks, answer, 1)
	req.SetStatusCode(status)
	req.SetContentType("application/json")
	req.SetBody(body)
}

// quiet drops fasthttp's own log lines: they tell of readers that left.
type quiet struct{}

// Printf drops a line.
func (quiet) Printf(string, ...any) {}
