package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/result"
	"ryelug/standin/fleet"
)

// TestFloodStaysAtItsEntry lets a team send as fast as it can, whatever it is told.
// What the dispatcher refuses anyway must not reach it: each entry asks for the team
// once in the time that a refusal speaks for others, with the callers that it has.
func TestFloodStaysAtItsEntry(t *testing.T) {
	const (
		routers, callers = 3, 60
		span             = 10 * time.Second
		leastFull        = 50 * time.Millisecond // half of the least RetryAfter of a full queue
	)
	withTestFleet(t, fleet.Config{Routers: routers, Engines: 2, QueueLimit: 10}, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		before := demandsIn(ctx, t, fl)
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
		asked := demandsIn(ctx, t, fl) - before
		bound := served + callers*int(span/leastFull)
		t.Logf("%d served, %d refused, %d demands reached the dispatcher (bound %d)", served, refused, asked, bound)
		is.True(refused > 2*bound) // The flood must be able to break the bound.
		is.True(asked <= bound)
	})
}

// demandsIn returns the demands that all routers have sent to dispatchers elsewhere.
func demandsIn(ctx context.Context, t *testing.T, fl *fleet.Fleet) int {
	t.Helper()
	demands := 0
	for _, m := range fl.Routers {
		view, ok := m.Router().View(ctx)
		if !ok {
			t.Fatal("no view of a router")
		}
		demands += int(view.Peers.Out["want"].Messages)
	}
	return demands
}
