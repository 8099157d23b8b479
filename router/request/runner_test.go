package request_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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

// serveCallers starts a callers' server before a Runner and returns its URL.
func serveCallers(t testing.TB, config request.Config, route request.Route) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveCallersOn(t, ln, config, route)
}

func serveCallersOn(t testing.TB, ln net.Listener, config request.Config, route request.Route) string {
	if config.Endpoints == nil {
		config.Endpoints = endpoint.New(endpoint.Config{})
	}
	route.Team, route.Pool = "team", "pool"
	server := caller.New(caller.Config{Handler: &handler{request.New(config), route}})
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { ln.Close() })
	return "http://" + ln.Addr().String() + "/v1/chat/completions"
}

// post sends a body and returns the whole answer.
func post(t testing.TB, url, body string, header ...string) (int, string) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer)
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
	grants := &fakeGrants{endpoints: []target{newFakeEndpoint(t, script)}, valid: time.Second}
	url := serveCallers(t, request.Config{Grants: grants}, request.Route{Idempotent: true})
	t.Run("whole", func(t *testing.T) {
		status, body := post(t, url, `{"model":"m"}`)
		is.New(t).Equal([]any{status, body}, []any{200, "whole"})
	})
	t.Run("stream", func(t *testing.T) {
		status, body := post(t, url, `{"model":"m","stream":true}`)
		is.New(t).Equal([]any{status, body}, []any{200, "id: 1\ndata: one\n\nid: 2\ndata: two\n\ndata: [DONE]\n\n"})
	})
}

// TestCallerLeaves cancels the engine's work and settles what it has cost so far.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{Name: "e", Tokens: 10_000, TokenGap: 5 * time.Millisecond})
	grants := &fakeGrants{endpoints: []target{e}, valid: time.Second}
	url := serveCallers(t, request.Config{Grants: grants}, request.Route{Idempotent: true})
	resp, err := http.Post(url, "application/json", strings.NewReader(`{"model":"m","stream":true}`))
	is.NoErr(err)
	_, err = io.ReadFull(resp.Body, make([]byte, 500))
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(grants.ended(1), []cell.Outcome{cell.Cancelled})
	is.True(grants.cost > 2 && grants.cost < 1000)
	is.Equal(e.History().Count(standin.CancelledRun), 1)
}

// TestLateEngine leaves an engine that does not begin in time, stops its work, and answers from another.
func TestLateEngine(t *testing.T) {
	is := is.New(t)
	slow := startEngine(t, engine.Config{Name: "slow", FirstToken: time.Hour})
	quick := startEngine(t, engine.Config{Name: "quick", Tokens: 3})
	grants := &fakeGrants{endpoints: []target{slow, quick}, valid: time.Second}
	client := endpoint.New(endpoint.Config{FirstTimeout: 100 * time.Millisecond, AnswerTimeout: 100 * time.Millisecond})
	route := request.Route{Idempotent: true, QueueTimeout: 50 * time.Millisecond} // The attempt takes longer than a wait may.
	counts := &reasons{}
	url := serveCallers(t, request.Config{Grants: grants, Endpoints: client, Counter: counts}, route)
	for _, body := range []string{`{"model":"m"}`, `{"model":"m","stream":true}`} {
		status, _ := post(t, url, body)
		is.Equal(status, 200)
	}
	is.Equal(grants.ended(4), []cell.Outcome{cell.Failed, cell.Completed, cell.Failed, cell.Completed})
	is.Equal(slow.History().Count(standin.CancelledRun), 2)
	is.Equal(counts.retried, []entry.Reason{entry.AnswerLate, entry.AnswerLate})
}

// reasons is a Counter that keeps the reasons of retries of requests that follow each other.
type reasons struct{ retried []entry.Reason }

func (r *reasons) Retried(reason entry.Reason) { r.retried = append(r.retried, reason) }
func (*reasons) Refused(result.Code)           {}
func (*reasons) Completed()                    {}
func (*reasons) Abandoned()                    {}

// TestLateGrant hands back grants that came too late, and sends under the next one in time.
func TestLateGrant(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent %t", idempotent), func(t *testing.T) {
			is := is.New(t)
			e := startEngine(t, engine.Config{Name: "e"})
			grants := &fakeGrants{endpoints: []target{e}, valid: time.Second, late: 2}
			status, _ := post(t, serveCallers(t, request.Config{Grants: grants}, request.Route{Idempotent: idempotent}), `{"model":"m"}`)
			is.Equal(status, 200)
			is.Equal(grants.ended(3), []cell.Outcome{cell.Unused, cell.Unused, cell.Completed})
			is.Equal(e.History().Count(standin.Started), 1)
		})
	}
}

// TestRefusedOnUsedConnection believes an endpoint's refusal also on a connection that has carried calls.
func TestRefusedOnUsedConnection(t *testing.T) {
	is := is.New(t)
	e := startEngine(t, engine.Config{Name: "e"})
	e.Inject(nil, &standin.Refuse{})
	url := serveCallers(t, request.Config{Grants: &fakeGrants{endpoints: []target{e}, valid: time.Second}}, request.Route{})
	status, _ := post(t, url, `{"model":"m"}`)
	is.Equal(status, 200)
	_, body := post(t, url, `{"model":"m"}`)
	got := parseRefusal(t, body).Error
	is.Equal([]any{got.Code, got.NotRun}, []any{result.EndpointRefused, true})
}

// noGrants refuses at once, or keeps every demand waiting.
type noGrants struct{ err error }

func (g *noGrants) Ask(ctx context.Context, _ cell.ID, _ cell.TeamID, _ cell.Cost, _ cell.EndpointID) (request.Permit, error) {
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
			is := is.New(t)
			url := serveCallers(t, request.Config{Grants: &noGrants{c.err}}, request.Route{QueueTimeout: 50 * time.Millisecond})
			began := time.Now()
			_, body := post(t, url, `{}`)
			is.True(time.Since(began) < 500*time.Millisecond)
			got := parseRefusal(t, body).Error
			is.Equal([]any{got.Code, got.NotRun, got.RetryAfterMS}, []any{c.code, true, c.retryAfter})
		})
	}
}
