package request_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/io/endpoint"
	"ryelug/router/request"
)

// refusalKeeper is a caller.Writer that keeps the first refusal. Every other method panics.
type refusalKeeper struct {
	caller.Writer
	refusals chan caller.Refusal
}

// Refuse implements caller.Writer.
func (k refusalKeeper) Refuse(refusal caller.Refusal) error {
	k.refusals <- refusal
	return nil
}

// waitingGrants grants nothing until the context ends.
type waitingGrants struct{}

// Ask implements request.Grants.
func (waitingGrants) Ask(ctx context.Context, _ request.GrantRequest) (request.Permit, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// refusalAtStop returns the refusal of a request in progress when its router stops after a moment.
func refusalAtStop(config request.Config) caller.Refusal {
	ctx, cancel := context.WithCancelCause(context.Background())
	time.AfterFunc(time.Second, func() { cancel(caller.ErrStopping) })
	writer := refusalKeeper{refusals: make(chan caller.Refusal, 1)}
	request.New(config).Serve(ctx, request.Route{Idempotent: true, QueueTimeout: time.Minute}, &caller.Request{ID: "a", Received: time.Now()}, writer)
	return <-writer.refusals
}

// Guards against an unknown outcome of a request that waits for a grant while its router stops.
func TestStopSaysWhetherARequestHasRun(t *testing.T) {
	withHarness(t, func(h *harness) {
		is := is.New(h.T)
		is.Equal(refusalAtStop(request.Config{Grants: waitingGrants{}}), caller.Refusal{Code: result.ShuttingDown, NotRun: true})
	})
	withHarness(t, func(h *harness) {
		is := is.New(h.T)
		silent := newFakeEndpoint(h.T, h.listen(), func(net.Conn, *fasthttp.Request, int) bool { time.Sleep(time.Minute); return false })
		grants := &fakeGrants{endpoints: []grantedEndpoint{silent}, valid: time.Second}
		is.Equal(refusalAtStop(request.Config{Grants: grants, Endpoints: endpoint.New(endpoint.Config{Dial: h.dial})}), caller.Refusal{Code: result.OutcomeUnknown})
	})
}
