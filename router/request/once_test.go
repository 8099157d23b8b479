package request_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/core/cell"
	"ryelug/core/result"
	"ryelug/io/endpoint"
	"ryelug/router/request"
)

// refusal is the JSON body that a refused caller receives.
type refusal struct {
	Error struct {
		Code         result.Code `json:"code"`
		NotRun       bool        `json:"not_run"`
		RetryAfterMS int64       `json:"retry_after_ms"`
	} `json:"error"`
}

// parseRefusal decodes the body of a refusal.
func parseRefusal(t testing.TB, body string) refusal {
	var r refusal
	if err := json.Unmarshal([]byte(body), &r); err != nil {
		t.Errorf("not a refusal: %q", body)
	}
	return r
}

// libraryClient sends calls with fasthttp's client in its default settings, which pools connections
// and retries by itself.
type libraryClient struct{ http fasthttp.Client }

func newLibraryClient(h *harness) *libraryClient {
	dial := func(to string) (net.Conn, error) { return h.dial(h.Context(), netip.MustParseAddrPort(to)) }
	return &libraryClient{http: fasthttp.Client{Dial: dial}}
}

func (c *libraryClient) Send(_ context.Context, call endpoint.Call) (*endpoint.Answer, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + call.Address.String() + call.Path)
	req.Header.SetMethod(http.MethodPut)
	req.Header.Set("X-Request-Id", call.RequestID)
	if err := c.http.Do(req, resp); err != nil {
		return nil, &endpoint.ErrUnknown{Endpoint: call.Endpoint, Err: err}
	}
	return &endpoint.Answer{Status: resp.StatusCode(), Body: resp.Body()}, nil
}

func (c *libraryClient) Cancel(context.Context, netip.AddrPort, string) error { return nil }

// TestNonIdempotentDrops lets a service fail at each point of a call. The service must see exactly
// one send and at most one run, and no run if the caller is told that the request did not run.
func TestNonIdempotentDrops(t *testing.T) {
	var service *fakeEndpoint
	run := func(req *fasthttp.Request) { service.run(requestID(req)) }
	cases := []struct {
		name   string
		script func(net.Conn, *fasthttp.Request, int) bool
		code   result.Code
		notRun bool
		end    cell.Outcome
	}{
		{"after read", func(net.Conn, *fasthttp.Request, int) bool { return false },
			result.OutcomeUnknown, false, cell.Failed},
		{"after run", func(_ net.Conn, req *fasthttp.Request, _ int) bool { run(req); return false },
			result.OutcomeUnknown, false, cell.Failed},
		{"mid head", func(c net.Conn, req *fasthttp.Request, _ int) bool {
			run(req)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-")
			return false
		}, result.OutcomeUnknown, false, cell.Failed},
		{"mid body", func(c net.Conn, req *fasthttp.Request, _ int) bool {
			run(req)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			return false
		}, result.OutcomeUnknown, false, cell.Failed},
		{"no length", func(c net.Conn, req *fasthttp.Request, _ int) bool {
			run(req)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
			return false
		}, result.OutcomeUnknown, false, cell.Failed},
		{"crossed", func(c net.Conn, req *fasthttp.Request, _ int) bool {
			run(req)
			write(c, "text/plain", "another", "theirs")
			return true
		}, result.OutcomeUnknown, false, cell.Failed},
		{"late", func(_ net.Conn, req *fasthttp.Request, _ int) bool {
			run(req)
			time.Sleep(400 * time.Millisecond)
			return false
		}, result.AnswerTimeout, false, cell.Failed},
		{"refused", func(c net.Conn, _ *fasthttp.Request, _ int) bool {
			fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n")
			return true
		}, result.EndpointRefused, true, cell.Refused},
	}
	route := request.Route{Service: true, LongestRequest: 200 * time.Millisecond}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				is := is.New(h.T)
				service = newFakeEndpoint(h.T, h.listen(), c.script)
				grants := &fakeGrants{endpoints: []grantedEndpoint{service}, valid: time.Second}
				url := h.serveCallers(request.Config{Grants: grants}, route)
				_, body := h.post(url, `{}`)
				got := parseRefusal(h.T, body)
				is.Equal([]any{got.Error.Code, got.Error.NotRun}, []any{c.code, c.notRun})
				is.True(got.Error.RetryAfterMS > 0)
				is.Equal(service.sends(), 1)
				is.Equal(grants.waitForOutcomes(1), []cell.Outcome{c.end})
				runs := service.runsOf(service.receivedIDs[0])
				is.True(runs <= 1)
				is.True(runs == 0 || !got.Error.NotRun)
			})
		})
	}
	t.Run("a client that retries is detected", func(t *testing.T) {
		withHarness(t, func(h *harness) {
			service = newFakeEndpoint(h.T, h.listen(), cases[0].script)
			grants := &fakeGrants{endpoints: []grantedEndpoint{service}, valid: time.Second}
			url := h.serveCallers(request.Config{Grants: grants, Endpoints: newLibraryClient(h)}, route)
			h.post(url, `{}`)
			is.New(h.T).True(service.sends() > 1)
		})
	})
}
