package request_test

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/io/caller"
	"ryelug/io/endpoint"
	"ryelug/router/request"
)

// deadEndpoints takes every call of the endpoint e0 and never answers it.
type deadEndpoints struct{ sends, lost atomic.Int64 }

func (d *deadEndpoints) Send(_ context.Context, call endpoint.Call) (*endpoint.Answer, error) {
	d.sends.Add(1)
	if call.Endpoint != "e0" {
		return &endpoint.Answer{Status: 200}, nil
	}
	d.lost.Add(1)
	return nil, &endpoint.ErrUnknown{Endpoint: call.Endpoint, Err: errors.New("no answer")}
}

func (d *deadEndpoints) Cancel(context.Context, netip.AddrPort, string) error { return nil }

// noAddress is an endpoint that no connection is made to.
type noAddress struct{}

func (noAddress) address() netip.AddrPort { return netip.AddrPort{} }
func (noAddress) startID() cell.StartID   { return "s" }

// lastWord notes only whether a refusal came.
type lastWord struct{ refused bool }

func (*lastWord) Start(caller.Answer) error     { return nil }
func (w *lastWord) Whole(caller.Answer) error   { return nil }
func (w *lastWord) Event(caller.Event) error    { return nil }
func (w *lastWord) Close() error                { return nil }
func (w *lastWord) Refuse(caller.Refusal) error { w.refused = true; return nil }

// load sends n idempotent requests to a pool whose endpoint e0 is dead, through one of some routers, and
// returns sends and refusals.
func load(n, routers, endpoints int, config request.Config) (sends, refused int) {
	dead := &deadEndpoints{}
	grants := &fakeGrants{valid: time.Second}
	for range endpoints {
		grants.endpoints = append(grants.endpoints, noAddress{})
	}
	config.Endpoints, config.Grants, config.BackoffStart = dead, grants, time.Nanosecond
	runner := request.New(config)
	runner.Share(routers)
	for range n {
		word := &lastWord{}
		runner.Serve(context.Background(), request.Route{Idempotent: true}, &caller.Request{}, word)
		if word.refused {
			refused++
		}
	}
	return int(dead.sends.Load()), refused
}

const unlimited = 1e9

// TestRetryBudget bounds the sends that dead endpoints add.
func TestRetryBudget(t *testing.T) {
	const n, ratio, burst = 2000, 0.1, 10
	bound := n*(1+ratio) + burst
	for name, endpoints := range map[string]int{"all dead": 1, "one of three dead": 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			with, _ := load(n, 1, endpoints, request.Config{RetryRatio: ratio, RetryBurst: burst})
			without, _ := load(n, 1, endpoints, request.Config{RetryRatio: unlimited, RetryBurst: unlimited})
			t.Logf("%d requests: %d sends with the budget, %d without", n, with, without)
			is.True(float64(with) <= bound)
			is.True(float64(without) > bound) // The baseline must break the bound.
		})
	}
}

// TestRetriesOfFleet bounds the sends of each of many routers by its part of the fleet's.
func TestRetriesOfFleet(t *testing.T) {
	const n, burst, leastShares = 400, 40, 8
	for routers, most := range map[int]int{1: burst / leastShares, 8: burst / leastShares, 20: burst / 20} {
		t.Run(strconv.Itoa(routers), func(t *testing.T) {
			is := is.New(t)
			sends, _ := load(n, routers, 1, request.Config{RetryRatio: 1e-9, RetryBurst: burst, LeastShares: leastShares})
			is.Equal(sends, n+most)
		})
	}
}

// BenchmarkDeadEndpoint reports sends and refusals for each request when one endpoint of three is dead.
func BenchmarkDeadEndpoint(b *testing.B) {
	for name, config := range map[string]request.Config{"budget": {}, "no budget": {RetryRatio: unlimited, RetryBurst: unlimited}} {
		b.Run(name, func(b *testing.B) {
			sends, refused := load(b.N, 1, 3, config)
			b.ReportMetric(float64(sends)/float64(b.N), "sends/request")
			b.ReportMetric(float64(refused)/float64(b.N), "refusals/request")
		})
	}
}
