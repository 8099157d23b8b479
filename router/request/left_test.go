package request_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/core/cell"
	"ryelug/io/caller"
	"ryelug/io/endpoint"
	"ryelug/router/request"
)

// refusalSink is a caller.Writer that drops a refusal. Every other method panics.
type refusalSink struct{ caller.Writer }

// Refuse implements caller.Writer.
func (refusalSink) Refuse(caller.Refusal) error { return nil }

// TestLeftRequestIsNotSent checks that a request is not sent after its caller has left. An
// overloaded router may not have cancelled the request's context yet.
func TestLeftRequestIsNotSent(t *testing.T) {
	withHarness(t, func(h *harness) {
		is := is.New(h.T)
		script := func(conn net.Conn, req *fasthttp.Request, _ int) bool {
			write(conn, "application/json", requestID(req), "whole")
			return true
		}
		server := newFakeEndpoint(h.T, h.listen(), script)
		grants := &fakeGrants{endpoints: []grantedEndpoint{server}, valid: time.Second}
		runner := request.New(request.Config{Grants: grants, Endpoints: endpoint.New(endpoint.Config{Dial: h.dial})})
		runner.Serve(context.Background(), request.Route{Idempotent: true}, &caller.Request{
			ID: "a", Received: time.Now().Add(-time.Second), HasDisconnected: func() bool { return true },
		}, refusalSink{})
		is.Equal(server.sends(), 0)
		is.Equal(grants.waitForOutcomes(1), []cell.Outcome{cell.Unused})
	})
}
