package stops_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/router/process"
	"ryelug/standin/endpoint"
)

// Capacity of an endpoint, in requests in flight.
const (
	warmLimit = 64
	coldLimit = 16
	warmUp    = 4
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// job is the body of a request.
type job struct {
	Model  string `json:"model,omitempty"`
	Stream bool   `json:"stream"`
	Mark   string `json:"mark"`    // Mark identifies the request among all of the soak.
	WorkMS int    `json:"work_ms"` // WorkMS is how long an endpoint works before its answer, or before each event.
	Events int    `json:"events"`
}

// run is the time that an endpoint worked on a request.
type run struct {
	began, ended time.Time // ended is zero while the endpoint still works.
}

// runs holds the runs of all requests by their marks.
type runs struct {
	mu sync.Mutex
	of map[string][]*run
}

// begin records that a request runs, until the returned function is called.
func (r *runs) begin(mark string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one := &run{began: time.Now()}
	r.of[mark] = append(r.of[mark], one)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		one.ended = time.Now()
	}
}

// snapshot returns the runs of a request.
func (r *runs) snapshot(mark string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []run
	for _, one := range r.of[mark] {
		all = append(all, *one)
	}
	return all
}

// startEndpoint starts an endpoint that records its runs, and returns its address.
func startEndpoint(t *testing.T, name string, seen *runs) netip.AddrPort {
	is := is.New(t)
	var self *endpoint.Endpoint
	self = endpoint.New(endpoint.Config{
		Name: name, WarmLimit: warmLimit, ColdLimit: coldLimit, WarmUp: warmUp,
		Handler: func(ctx context.Context, req *fasthttp.RequestCtx) { work(ctx, self, req, seen) },
	})
	ln, err := process.Listen(loopback)
	is.NoErr(err)
	go func() { _ = self.Serve(ln) }()
	t.Cleanup(self.Close)
	return netip.MustParseAddrPort(ln.Addr().String())
}

// work answers one request whole or as a stream.
func work(ctx context.Context, self *endpoint.Endpoint, req *fasthttp.RequestCtx, seen *runs) {
	var asked job
	if err := json.Unmarshal(req.PostBody(), &asked); err != nil {
		endpoint.WriteError(req, fasthttp.StatusBadRequest, err.Error())
		return
	}
	end := seen.begin(asked.Mark)
	slot := self.Begin(ctx, string(req.Request.Header.Peek("X-Request-Id")), endpoint.FirstRun)
	pause := time.Duration(asked.WorkMS) * time.Millisecond
	if asked.Stream {
		req.SetContentType("text/event-stream")
		req.Response.ImmediateHeaderFlush = true
		req.SetBodyStreamWriter(func(to *bufio.Writer) {
			defer end()
			slot.End(stream(slot, to, asked.Events, pause))
		})
		return
	}
	defer end()
	if !slot.Sleep(pause) {
		slot.End(endpoint.CancelledRun)
		endpoint.Hang(req)
		return
	}
	slot.End(endpoint.CompletedRun)
	endpoint.WriteJSON(req, fasthttp.StatusOK, asked)
}

// stream writes the events of an answer and returns how the run ended.
func stream(slot *endpoint.Slot, to *bufio.Writer, events int, gap time.Duration) endpoint.Kind {
	for i := range events {
		if !slot.Sleep(gap) {
			return endpoint.CancelledRun
		}
		fmt.Fprintf(to, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"}}]}\n\n", i+1)
		if i == events-1 {
			fmt.Fprint(to, endOfStream)
		}
		if err := to.Flush(); err != nil {
			return endpoint.CancelledRun
		}
	}
	return endpoint.CompletedRun
}

const endOfStream = "data: [DONE]\n\n"
