package changes_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"ryelug/standin/bubble"
	"ryelug/standin/fleet"
)

// withTestFleet runs body in virtual time with a fleet that is ready to serve.
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

// assertAllWhole checks that every caller got its whole answer.
func assertAllWhole(t *testing.T, replies []*fleet.Reply) {
	t.Helper()
	for _, broken := range fleet.Broken(replies) {
		t.Error(broken)
	}
}

// assertNoExcess checks that no endpoint had more in flight than it bore at that time.
func assertNoExcess(t *testing.T, fl *fleet.Fleet) {
	t.Helper()
	for _, excess := range fl.Excesses() {
		t.Error(excess)
	}
}
