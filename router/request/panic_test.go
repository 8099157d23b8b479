package request_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/result"
	"ryelug/io/endpoint"
	"ryelug/router/keyed"
	"ryelug/router/request"
	"ryelug/standin/engine"
)

// brokenEndpoints panics in the sends of the requests that say so.
type brokenEndpoints struct{ request.Endpoints }

func (b *brokenEndpoints) Send(ctx context.Context, call endpoint.Call) (*endpoint.Answer, error) {
	answer, err := b.Endpoints.Send(ctx, call)
	if strings.Contains(string(call.Body), "panic") {
		panic("a broken client")
	}
	return answer, err
}

// brokenPermit panics at the first report of progress, in the middle of a stream.
type brokenPermit struct{ request.Permit }

func (*brokenPermit) Progress(cell.Cost) { panic("a broken report") }

// brokenGrants gives brokenPermits.
type brokenGrants struct{ request.Grants }

func (b *brokenGrants) Ask(ctx context.Context, wanted request.Wanted) (request.Permit, error) {
	permit, err := b.Grants.Ask(ctx, wanted)
	return &brokenPermit{permit}, err
}

// TestPanicEndsPermit ends the permit of a request that panics, once, and stops the engine's work.
func TestPanicEndsPermit(t *testing.T) {
	start := func(h *hosts, broken bool) (*servedEngine, *fakeGrants, string) {
		e := startEngine(h, engine.Config{Name: "e", Tokens: 200, TokenGap: 5 * time.Millisecond})
		grants := &fakeGrants{endpoints: []target{e}, valid: time.Second}
		config := request.Config{Grants: grants, Endpoints: &brokenEndpoints{h.endpoints()}}
		if broken {
			config.Grants = &brokenGrants{grants}
		}
		return e, grants, h.serveCallers(config, request.Route{Idempotent: true})
	}
	check := func(h *hosts, e *servedEngine, grants *fakeGrants) {
		h.Helper()
		is := is.New(h.T)
		is.Equal(grants.ended(1), []cell.Outcome{cell.Failed})
		for deadline := time.Now().Add(2 * time.Second); e.Load().InFlight > 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		is.Equal(e.Load().InFlight, 0)
	}
	t.Run("in a send", func(t *testing.T) {
		onHosts(t, func(h *hosts) {
			e, grants, url := start(h, false)
			_, body := h.post(url, `{"model":"panic","stream":true}`)
			got := parseRefusal(h.T, body)
			is.New(h.T).Equal([]any{got.Error.Code, got.Error.NotRun}, []any{result.InternalFailure, false})
			check(h, e, grants)
			status, _ := h.post(url, `{"model":"m"}`)
			is.New(h.T).Equal(status, 200)
		})
	})
	t.Run("in a stream", func(t *testing.T) {
		onHosts(t, func(h *hosts) {
			e, grants, url := start(h, true)
			status, body := h.post(url, `{"model":"m","stream":true}`)
			is := is.New(h.T)
			is.Equal(status, 200)
			is.True(strings.Contains(body, "event: error\ndata: {\"error\":{\"code\":3999,"))
			is.True(strings.Count(body, "data: ") > 10)
			check(h, e, grants)
		})
	})
}

// TestPanicWithKey leaves a record that tells repeats at once that the outcome is unknown.
func TestPanicWithKey(t *testing.T) {
	onHosts(t, func(h *hosts) {
		is := is.New(h.T)
		_, client := h.startPlatform()
		grants := &fakeGrants{endpoints: []target{noAddress{}}, valid: time.Second}
		keys := keyed.New(keyed.Config{Records: client})
		url := h.serveCallers(request.Config{Keys: keys, Grants: grants, Endpoints: panicking{}}, request.Route{Service: true})
		var codes []result.Code
		for range 2 {
			_, body := h.post(url, `{}`, "Idempotency-Key", "k")
			got := parseRefusal(h.T, body)
			is.True(!got.Error.NotRun)
			codes = append(codes, got.Error.Code)
			is.Equal(grants.ended(1), []cell.Outcome{cell.Failed})
		}
		is.Equal(codes, []result.Code{result.InternalFailure, result.KeyOutcomeUnknown})
	})
}

// panicking panics at every call.
type panicking struct{}

func (panicking) Send(context.Context, endpoint.Call) (*endpoint.Answer, error) { panic("send") }
func (panicking) Cancel(context.Context, netip.AddrPort, string) error          { panic("cancel") }
