package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/result"
	"ryelug/standin/fleet"
)

// A team whose callers ignore Retry-After must not flood the dispatcher. After a refusal for a full queue, each
// entry refuses the team's further requests by itself for half of the RetryAfter, so in that time it sends the
// dispatcher at most one demand for each of its callers.
func TestFloodStaysAtItsEntry(t *testing.T) {
	const (
		routers, callers = 3, 60
		span             = 10 * time.Second
		queueFullRetry   = 50 * time.Millisecond // half of the shortest RetryAfter of a full queue
	)
	withTestFleet(t, fleet.Config{Routers: routers, Engines: 2, QueueLimit: 10}, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		before := countDemands(ctx, t, fl)
		run := fl.Drive(ctx,
			fleet.Load{Team: "schools", Callers: callers, Tokens: 20, Pause: 5 * time.Millisecond, Hasty: true},
			fleet.Load{Team: "kiosks", Callers: routers, Tokens: 20})
		time.Sleep(span)
		replies := run.Stop()
		served, refused := 0, 0
		for _, reply := range replies {
			switch reply.Code {
			case result.OK:
				served++
			case result.TeamQueueFull:
				refused++
			default:
				t.Errorf("code %d", reply.Code)
			}
		}
		asked := countDemands(ctx, t, fl) - before
		bound := served + callers*int(span/queueFullRetry)
		t.Logf("%d served, %d refused, %d demands reached the dispatcher (bound %d)", served, refused, asked, bound)
		is.True(refused > 2*bound) // Otherwise the flood would be too small to exceed the bound.
		is.True(asked <= bound)
	})
}

// countDemands returns how many demands all routers together have sent to dispatchers on other routers.
func countDemands(ctx context.Context, t *testing.T, fl *fleet.Fleet) int {
	t.Helper()
	demands := 0
	for _, m := range fl.Routers {
		view, ok := m.Router().View(ctx)
		if !ok {
			t.Fatal("a router returned no view")
		}
		demands += int(view.Peers.Out["want"].Messages)
	}
	return demands
}
