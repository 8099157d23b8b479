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

// refusals is a caller.Writer that takes a refusal alone.
type refusals struct{ caller.Writer }

// Refuse implements caller.Writer.
func (refusals) Refuse(caller.Refusal) error { return nil }

// Guards against a request that is sent on after its caller has left, since a late router has not come to the close yet.
func TestLeftRequestIsNotSent(t *testing.T) {
	onHosts(t, func(h *hosts) {
		is := is.New(h.T)
		script := func(conn net.Conn, req *fasthttp.Request, _ int) bool {
			write(conn, "application/json", requestID(req), "whole")
			return true
		}
		at := newFakeEndpoint(h.T, h.listen(), script)
		grants := &fakeGrants{endpoints: []target{at}, valid: time.Second}
		runner := request.New(request.Config{Grants: grants, Endpoints: endpoint.New(endpoint.Config{Dial: h.dial})})
		runner.Serve(context.Background(), request.Route{Idempotent: true}, &caller.Request{
			ID: "a", Received: time.Now().Add(-time.Second), HasLeft: func() bool { return true },
		}, refusals{})
		is.Equal(at.sends(), 0)
		is.Equal(grants.ended(1), []cell.Outcome{cell.Unused})
	})
}
