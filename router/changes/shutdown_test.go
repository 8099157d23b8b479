package changes_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/result"
	"ryelug/standin/fleet"
)

// Every router is replaced in turn under load. No request may be cut off or refused.
func TestRollingReplacement(t *testing.T) {
	conf := fleet.Config{Routers: 5, Engines: 6, Services: 2, BalancerLag: 500 * time.Millisecond}
	conf.Engine.Cold = true
	conf.Engine.TokenGap = 20 * time.Millisecond
	withTestFleet(t, conf, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		run := fl.Drive(ctx, fleet.Load{Team: "kiosks", Callers: 20, Tokens: 40}, fleet.Load{Team: "schools", Callers: 20, Tokens: 40},
			fleet.Load{Team: "kiosks", Callers: 4, Service: true})
		for i := range 5 {
			time.Sleep(3 * time.Second)
			_, err := fl.AddRouter(fmt.Sprintf("new-%d", i), "dc-a")
			is.NoErr(err)
			time.Sleep(3 * time.Second)
			run.Refresh()
			is.NoErr(fl.Routers[i].Leave())
		}
		replies := run.Stop()
		is.True(len(replies) > 500)
		assertNone(t, fleet.Broken(replies))
		assertNone(t, fl.Excesses())
	})
}

// longestWait returns the longest time to the first event of the requests sent after since.
func longestWait(replies []*fleet.Reply, since time.Time) time.Duration {
	var longest time.Duration
	for _, reply := range replies {
		if reply.Sent.After(since) {
			longest = max(longest, reply.First)
		}
	}
	return longest
}

// The router that dispatches the requests for the engines leaves while capacity is free, and then its
// successor does. No request may wait 100 ms or longer for its first event.
func TestDispatcherLeavesWithoutPause(t *testing.T) {
	conf := fleet.Config{Routers: 4, Engines: 3, BalancerLag: time.Second}
	withTestFleet(t, conf, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		run := fl.Drive(ctx, fleet.Load{Team: "schools", Callers: 6, Tokens: 4})
		time.Sleep(3 * time.Second)
		readyAt := time.Now()
		for range 2 {
			is.NoErr(fl.Dispatcher(ctx, fleet.EnginePool).Leave())
			time.Sleep(3 * time.Second)
		}
		replies := run.Stop()
		assertNone(t, fleet.Broken(replies))
		if longest := longestWait(replies, readyAt); longest >= 100*time.Millisecond {
			t.Errorf("a request waited %v for its first event", longest)
		}
	})
}

// A router that has left must refuse later requests at once, as not run and with a time to
// retry at. Such requests come from a load balancer that learns of the departure too late.
func TestLateRequestIsRefused(t *testing.T) {
	withTestFleet(t, fleet.Config{Routers: 2, Engines: 1}, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		is.NoErr(fl.Routers[0].Leave())
		reply := fl.Routers[0].Chat(ctx, "kiosks", 5)
		is.Equal(reply.Code, result.ShuttingDown)
		is.True(reply.NotRun)
		is.True(reply.RetryAfter > 0)
		is.Equal(reply.Took, 0*time.Second)
	})
}

// Each router gets a fraction of every endpoint's capacity. As soon as a router has left, the
// fractions of the other routers must add up to the whole capacity again.
func TestDepartedRouterIsNotCounted(t *testing.T) {
	withTestFleet(t, fleet.Config{Routers: 4, Engines: 1}, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		is.NoErr(fl.Routers[3].Leave())
		time.Sleep(time.Second)
		for _, m := range fl.Routers[:3] {
			view, _ := m.Router().View(ctx)
			is.Equal(view.Total, 3)
		}
	})
}
