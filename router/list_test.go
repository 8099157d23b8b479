package router_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/standin/fleet"
)

// platformCallsWhenIdle returns how many calls of the platform an idle fleet makes in 20 s.
func platformCallsWhenIdle(t *testing.T, routers int) (calls int64) {
	withTestFleet(t, fleet.Config{Routers: routers, Engines: 1}, func(_ context.Context, _ *testing.T, fl *fleet.Fleet) {
		time.Sleep(5 * time.Second)
		before := fl.Platform.Calls().Total()
		time.Sleep(20 * time.Second)
		calls = fl.Platform.Calls().Total() - before
	})
	return calls
}

// The number of platform calls depends on the number of data centres, not on that of routers.
func TestPlatformCallsOfRouters(t *testing.T) {
	small, large := platformCallsWhenIdle(t, 7), platformCallsWhenIdle(t, 28)
	t.Logf("platform calls in 20 s: %d from 7 routers, %d from 28", small, large)
	is.New(t).True(large*2 < small*3)
}

// Routers that can't reach the platform learn of a new host from the lists that their peers read.
func TestListIsHeard(t *testing.T) {
	withTestFleet(t, fleet.Config{Routers: 6, Engines: 1, DataCentres: []string{"dc-a"}}, func(_ context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		for _, m := range fl.Routers[1:] {
			fl.CutFromPlatform(m)
		}
		_, err := fl.AddRouter("late", "dc-a")
		is.NoErr(err)
		time.Sleep(5 * time.Second)
		for _, m := range fl.Routers[:6] {
			view, _ := m.Router().View(context.Background())
			is.Equal(view.Total, 7)
			is.Equal(view.Links, 6)
		}
	})
}
