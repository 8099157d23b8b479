package changes_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"ryelug/standin/bubble"
	"ryelug/standin/fleet"
)

// withTestFleet runs body in virtual time with a simulated fleet of routers and endpoints that is ready to serve.
func withTestFleet(t *testing.T, conf fleet.Config, body func(ctx context.Context, t *testing.T, fl *fleet.Fleet)) {
	t.Helper()
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl, err := fleet.StartReady(t.Context(), conf)
		is.NoErr(err)
		defer func() { is.NoErr(fl.Close()) }()
		body(t.Context(), t, fl)
	})
}

// assertNone fails the test for each violation found, such as those of fleet.Broken or Fleet.Excesses.
func assertNone[T any](t *testing.T, found []T) {
	t.Helper()
	for _, one := range found {
		t.Error(one)
	}
}
