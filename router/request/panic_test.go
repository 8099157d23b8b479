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

// panickingEndpoints panics after sending a request whose body contains "panic".
type panickingEndpoints struct{ request.Endpoints }

func (b *panickingEndpoints) Send(ctx context.Context, call endpoint.Call) (*endpoint.Answer, error) {
	answer, err := b.Endpoints.Send(ctx, call)
	if strings.Contains(string(call.Body), "panic") {
		panic("a broken client")
	}
	return answer, err
}

// panickingPermit panics at the first report of progress, which comes in the middle of a stream.
type panickingPermit struct{ request.Permit }

func (*panickingPermit) ReportCost(cell.Cost) { panic("a broken report") }

// panickingGrants gives permits that panic.
type panickingGrants struct{ request.Grants }

func (b *panickingGrants) Ask(ctx context.Context, wanted request.GrantRequest) (request.Permit, error) {
	permit, err := b.Grants.Ask(ctx, wanted)
	return &panickingPermit{permit}, err
}

// TestPanicEndsPermit checks that the permit of a request that panics ends exactly once, and that
// the engine stops working on it.
func TestPanicEndsPermit(t *testing.T) {
	start := func(h *harness, panicInStream bool) (*servedEngine, *fakeGrants, string) {
		e := startEngine(h, engine.Config{Name: "e", Tokens: 200, TokenGap: 5 * time.Millisecond})
		grants := &fakeGrants{endpoints: []grantedEndpoint{e}, valid: time.Second}
		config := request.Config{Grants: grants, Endpoints: &panickingEndpoints{h.endpoints()}}
		if panicInStream {
			config.Grants = &panickingGrants{grants}
		}
		return e, grants, h.serveCallers(config, request.Route{Idempotent: true})
	}
	check := func(h *harness, e *servedEngine, grants *fakeGrants) {
		h.Helper()
		is := is.New(h.T)
		is.Equal(grants.waitForOutcomes(1), []cell.Outcome{cell.Failed})
		for deadline := time.Now().Add(2 * time.Second); e.Load().InFlight > 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		is.Equal(e.Load().InFlight, 0)
	}
	t.Run("in a send", func(t *testing.T) {
		withHarness(t, func(h *harness) {
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
		withHarness(t, func(h *harness) {
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

// TestPanicWithKey checks that a panic leaves a record from which repeats learn at once that the
// outcome is unknown.
func TestPanicWithKey(t *testing.T) {
	withHarness(t, func(h *harness) {
		is := is.New(h.T)
		_, client := h.startPlatform()
		grants := &fakeGrants{endpoints: []grantedEndpoint{noAddress{}}, valid: time.Second}
		keys := keyed.New(keyed.Config{Records: client})
		url := h.serveCallers(request.Config{Keys: keys, Grants: grants, Endpoints: alwaysPanics{}}, request.Route{Service: true})
		var codes []result.Code
		for range 2 {
			_, body := h.post(url, `{}`, "Idempotency-Key", "k")
			got := parseRefusal(h.T, body)
			is.True(!got.Error.NotRun)
			codes = append(codes, got.Error.Code)
			is.Equal(grants.waitForOutcomes(1), []cell.Outcome{cell.Failed})
		}
		is.Equal(codes, []result.Code{result.InternalFailure, result.KeyOutcomeUnknown})
	})
}

// alwaysPanics is an Endpoints whose methods panic.
type alwaysPanics struct{}

func (alwaysPanics) Send(context.Context, endpoint.Call) (*endpoint.Answer, error) { panic("send") }
func (alwaysPanics) Cancel(context.Context, netip.AddrPort, string) error          { panic("cancel") }
