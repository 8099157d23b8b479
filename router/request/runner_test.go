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

// serveCallersOn starts a callers' server on a listener before a Runner and returns its URL.
func serveCallersOn(t testing.TB, ln net.Listener, config request.Config, route request.Route) string {
	route.Team, route.Pool = "team", "pool"
	server := caller.New(caller.Config{Handler: &handler{request.New(config), route}})
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { ln.Close() })
	return "http://" + ln.Addr().String() + "/v1/chat/completions"
}

func TestMainPath(t *testing.T) {
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
			onHosts(t, func(h *hosts) {
				grants := &fakeGrants{endpoints: []target{newFakeEndpoint(h.T, h.listen(), script)}, valid: time.Second}
				url := h.serveCallers(request.Config{Grants: grants}, request.Route{Idempotent: true})
				status, body := h.post(url, c.sent)
				is.New(h.T).Equal([]any{status, body}, []any{200, c.answer})
			})
		})
	}
}

// orders counts the orders to stop a run; the end of a silent connection would not stop it.
type orders struct {
	request.Endpoints
	sent atomic.Int64
}

func (o *orders) Cancel(ctx context.Context, address netip.AddrPort, requestID string) error {
	o.sent.Add(1)
	return o.Endpoints.Cancel(ctx, address, requestID)
}

// TestCallerLeaves cancels the engine's work and settles what it has cost so far.
func TestCallerLeaves(t *testing.T) {
	onHosts(t, func(h *hosts) {
		is := is.New(h.T)
		e := startEngine(h, engine.Config{Name: "e", Tokens: 10_000, TokenGap: 5 * time.Millisecond})
		grants := &fakeGrants{endpoints: []target{e}, valid: time.Second}
		stops := &orders{Endpoints: h.endpoints()}
		url := h.serveCallers(request.Config{Grants: grants, Endpoints: stops}, request.Route{Idempotent: true})
		resp, err := h.client.Post(url, "application/json", strings.NewReader(`{"model":"m","stream":true}`))
		is.NoErr(err)
		_, err = io.ReadFull(resp.Body, make([]byte, 500))
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(grants.ended(1), []cell.Outcome{cell.Cancelled})
		is.True(grants.cost > 2 && grants.cost < 1000)
		is.Equal(e.History().Count(standin.CancelledRun), 1)
		is.Equal(stops.sent.Load(), int64(1))
	})
}

// TestLateEngine leaves an engine that does not begin in time, stops its work, and answers from another.
func TestLateEngine(t *testing.T) {
	onHosts(t, func(h *hosts) {
		is := is.New(h.T)
		slow := startEngine(h, engine.Config{Name: "slow", FirstToken: time.Hour})
		quick := startEngine(h, engine.Config{Name: "quick", Tokens: 3})
		grants := &fakeGrants{endpoints: []target{slow, quick}, valid: time.Second}
		client := endpoint.New(endpoint.Config{Dial: h.dial, FirstTimeout: 100 * time.Millisecond, AnswerTimeout: 100 * time.Millisecond})
		route := request.Route{Idempotent: true, QueueTimeout: 50 * time.Millisecond} // The attempt takes longer than a wait may.
		counts := &reasons{}
		url := h.serveCallers(request.Config{Grants: grants, Endpoints: client, Counter: counts}, route)
		for _, body := range []string{`{"model":"m"}`, `{"model":"m","stream":true}`} {
			status, _ := h.post(url, body)
			is.Equal(status, 200)
		}
		is.Equal(grants.ended(4), []cell.Outcome{cell.Failed, cell.Completed, cell.Failed, cell.Completed})
		is.Equal(slow.History().Count(standin.CancelledRun), 2)
		is.Equal(counts.retried, []entry.Reason{entry.AnswerLate, entry.AnswerLate})
	})
}

// reasons is a Counter that keeps the reasons of retries of requests that follow each other.
type reasons struct{ retried []entry.Reason }

func (r *reasons) Retried(reason entry.Reason) { r.retried = append(r.retried, reason) }
func (*reasons) Refused(result.Code)           {}
func (*reasons) Completed(request.Latency)     {}
func (*reasons) Abandoned()                    {}

// TestLateGrant hands back grants that came too late, and sends under the next one in time.
func TestLateGrant(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent %t", idempotent), func(t *testing.T) {
			onHosts(t, func(h *hosts) {
				is := is.New(h.T)
				e := startEngine(h, engine.Config{Name: "e"})
				grants := &fakeGrants{endpoints: []target{e}, valid: time.Second, late: 2}
				status, _ := h.post(h.serveCallers(request.Config{Grants: grants}, request.Route{Idempotent: idempotent}), `{"model":"m"}`)
				is.Equal(status, 200)
				is.Equal(grants.ended(3), []cell.Outcome{cell.Unused, cell.Unused, cell.Completed})
				is.Equal(e.History().Count(standin.Started), 1)
			})
		})
	}
}

// TestRefusedOnUsedConnection believes an endpoint's refusal also on a connection that has carried calls.
func TestRefusedOnUsedConnection(t *testing.T) {
	onHosts(t, func(h *hosts) {
		is := is.New(h.T)
		e := startEngine(h, engine.Config{Name: "e"})
		e.Inject(nil, &standin.Refuse{})
		url := h.serveCallers(request.Config{Grants: &fakeGrants{endpoints: []target{e}, valid: time.Second}}, request.Route{})
		status, _ := h.post(url, `{"model":"m"}`)
		is.Equal(status, 200)
		_, body := h.post(url, `{"model":"m"}`)
		got := parseRefusal(h.T, body).Error
		is.Equal([]any{got.Code, got.NotRun}, []any{result.EndpointRefused, true})
	})
}

// noGrants refuses at once, or keeps every demand waiting.
type noGrants struct{ err error }

func (g *noGrants) Ask(ctx context.Context, _ request.Wanted) (request.Permit, error) {
	if g.err != nil {
		return nil, g.err
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestNoGrant gives the final answer as soon as it is known, with when to come back.
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
			onHosts(t, func(h *hosts) {
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
