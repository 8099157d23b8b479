package request_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/core/cell"
	"ryelug/core/entry"
	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/io/endpoint"
	"ryelug/router/request"
	standin "ryelug/standin/endpoint"
	"ryelug/standin/engine"
)

// serveCallersOn starts a server for callers on ln that passes requests to a new Runner. It returns
// the server's URL.
func serveCallersOn(t testing.TB, ln net.Listener, config request.Config, route request.Route) string {
	route.Team, route.Pool = "team", "pool"
	server := caller.New(caller.Config{Handler: &handler{request.New(config), route}})
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { ln.Close() })
	return "http://" + ln.Addr().String() + "/v1/chat/completions"
}

// TestAnswerIsForwarded checks that whole answers and streams reach the caller unchanged.
func TestAnswerIsForwarded(t *testing.T) {
	script := func(conn net.Conn, req *fasthttp.Request, _ int) bool {
		if !strings.Contains(string(req.Body()), "stream") {
			write(conn, "application/json", requestID(req), "whole")
			return true
		}
		body := "id: 1\ndata: one\n\nid: 2\ndata: two\n\ndata: [DONE]\n\n"
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			requestID(req), len(body), body)
		return true
	}
	cases := []struct{ name, sent, answer string }{
		{"whole", `{"model":"m"}`, "whole"},
		{"stream", `{"model":"m","stream":true}`, "id: 1\ndata: one\n\nid: 2\ndata: two\n\ndata: [DONE]\n\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				grants := &fakeGrants{endpoints: []grantedEndpoint{newFakeEndpoint(h.T, h.listen(), script)}, valid: time.Second}
				url := h.serveCallers(request.Config{Grants: grants}, request.Route{Idempotent: true})
				status, body := h.post(url, c.sent)
				is.New(h.T).Equal([]any{status, body}, []any{200, c.answer})
			})
		})
	}
}

// cancelCounter counts the orders to an endpoint to stop. An endpoint that is not sending would not
// notice the end of its connection.
type cancelCounter struct {
	request.Endpoints
	cancels atomic.Int64
}

func (o *cancelCounter) Cancel(ctx context.Context, address netip.AddrPort, requestID string) error {
	o.cancels.Add(1)
	return o.Endpoints.Cancel(ctx, address, requestID)
}

// TestCallerLeaves checks that the engine stops when its caller leaves, and that the cost so far is
// reported.
func TestCallerLeaves(t *testing.T) {
	withHarness(t, func(h *harness) {
		is := is.New(h.T)
		e := startEngine(h, engine.Config{Name: "e", Tokens: 10_000, TokenGap: 5 * time.Millisecond})
		grants := &fakeGrants{endpoints: []grantedEndpoint{e}, valid: time.Second}
		counter := &cancelCounter{Endpoints: h.endpoints()}
		url := h.serveCallers(request.Config{Grants: grants, Endpoints: counter}, request.Route{Idempotent: true})
		resp, err := h.client.Post(url, "application/json", strings.NewReader(`{"model":"m","stream":true}`))
		is.NoErr(err)
		_, err = io.ReadFull(resp.Body, make([]byte, 500))
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(grants.waitForOutcomes(1), []cell.Outcome{cell.Cancelled})
		is.True(grants.cost > 2 && grants.cost < 1000)
		is.Equal(e.History().Count(standin.CancelledRun), 1)
		is.Equal(counter.cancels.Load(), int64(1))
	})
}

// TestLateEngine checks that an engine that does not answer in time is ordered to stop, and that
// another one answers.
func TestLateEngine(t *testing.T) {
	withHarness(t, func(h *harness) {
		is := is.New(h.T)
		slow := startEngine(h, engine.Config{Name: "slow", FirstToken: time.Hour})
		quick := startEngine(h, engine.Config{Name: "quick", Tokens: 3})
		grants := &fakeGrants{endpoints: []grantedEndpoint{slow, quick}, valid: time.Second}
		client := endpoint.New(endpoint.Config{Dial: h.dial, FirstTimeout: 100 * time.Millisecond, AnswerTimeout: 100 * time.Millisecond})
		route := request.Route{Idempotent: true, QueueTimeout: 50 * time.Millisecond} // Shorter than an attempt: the limit on waits must not end the request.
		counter := &retryReasons{}
		url := h.serveCallers(request.Config{Grants: grants, Endpoints: client, Counter: counter}, route)
		for _, body := range []string{`{"model":"m"}`, `{"model":"m","stream":true}`} {
			status, _ := h.post(url, body)
			is.Equal(status, 200)
		}
		is.Equal(grants.waitForOutcomes(4), []cell.Outcome{cell.Failed, cell.Completed, cell.Failed, cell.Completed})
		is.Equal(slow.History().Count(standin.CancelledRun), 2)
		is.Equal(counter.retried, []entry.Reason{entry.AnswerLate, entry.AnswerLate})
	})
}

// retryReasons is a Counter that records the reasons of retries. It is for requests that follow
// each other only.
type retryReasons struct{ retried []entry.Reason }

func (r *retryReasons) Retried(reason entry.Reason) { r.retried = append(r.retried, reason) }
func (*retryReasons) Refused(result.Code)           {}
func (*retryReasons) Completed(request.Latency)     {}
func (*retryReasons) Abandoned()                    {}

// TestLateGrant checks that grants that have expired on arrival are handed back, and that the next
// valid one is used.
func TestLateGrant(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent %t", idempotent), func(t *testing.T) {
			withHarness(t, func(h *harness) {
				is := is.New(h.T)
				e := startEngine(h, engine.Config{Name: "e"})
				grants := &fakeGrants{endpoints: []grantedEndpoint{e}, valid: time.Second, expiredGrants: 2}
				status, _ := h.post(h.serveCallers(request.Config{Grants: grants}, request.Route{Idempotent: idempotent}), `{"model":"m"}`)
				is.Equal(status, 200)
				is.Equal(grants.waitForOutcomes(3), []cell.Outcome{cell.Unused, cell.Unused, cell.Completed})
				is.Equal(e.History().Count(standin.Started), 1)
			})
		})
	}
}

// TestRefusedOnUsedConnection checks that an endpoint's refusal counts as not run on a reused
// connection too.
func TestRefusedOnUsedConnection(t *testing.T) {
	withHarness(t, func(h *harness) {
		is := is.New(h.T)
		e := startEngine(h, engine.Config{Name: "e"})
		e.Inject(nil, &standin.Refuse{})
		url := h.serveCallers(request.Config{Grants: &fakeGrants{endpoints: []grantedEndpoint{e}, valid: time.Second}}, request.Route{})
		status, _ := h.post(url, `{"model":"m"}`)
		is.Equal(status, 200)
		_, body := h.post(url, `{"model":"m"}`)
		got := parseRefusal(h.T, body).Error
		is.Equal([]any{got.Code, got.NotRun}, []any{result.EndpointRefused, true})
	})
}

// noGrants fails each demand with err, or lets it wait until its context ends if err is nil.
type noGrants struct{ err error }

func (g *noGrants) Ask(ctx context.Context, _ request.GrantRequest) (request.Permit, error) {
	if g.err != nil {
		return nil, g.err
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestNoGrant checks that a request without a grant is refused as soon as that is known, with the
// time to try again.
func TestNoGrant(t *testing.T) {
	cases := []struct {
		name       string
		err        error
		code       result.Code
		retryAfter int64
	}{
		{"queue timeout", nil, result.QueueTimeout, 1000},
		{"queue full", &request.RefusedError{Code: result.TeamQueueFull, RetryAfter: 3 * time.Second}, result.TeamQueueFull, 3000},
		{"no dispatcher", io.ErrUnexpectedEOF, result.NoDispatcher, 1000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				is := is.New(h.T)
				url := h.serveCallers(request.Config{Grants: &noGrants{c.err}}, request.Route{QueueTimeout: 50 * time.Millisecond})
				began := time.Now()
				_, body := h.post(url, `{}`)
				is.True(time.Since(began) < 500*time.Millisecond)
				got := parseRefusal(h.T, body).Error
				is.Equal([]any{got.Code, got.NotRun, got.RetryAfterMS}, []any{c.code, true, c.retryAfter})
			})
		})
	}
}
