package router_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"ryelug/standin/bubble"
	"ryelug/standin/fleet"
)

// withTestFleet runs body in virtual time with a fleet that is ready to serve, and closes the fleet afterwards.
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

// assertNoExcess fails the test for each time at which an endpoint had more requests in flight than its limit at
// that time.
func assertNoExcess(t *testing.T, fl *fleet.Fleet) {
	t.Helper()
	for _, excess := range fl.Excesses() {
		t.Error(excess)
	}
}
