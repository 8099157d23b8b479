package router_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"ryelug/io/caller"
	"ryelug/router"
	"ryelug/standin/fleet"
)

var _ caller.Handler = (*router.Router)(nil)

// A request gets its complete answer from whichever router it enters.
func TestWholePath(t *testing.T) {
	withTestFleet(t, fleet.Config{Routers: 3, Engines: 2, Services: 1}, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		for _, m := range fl.Routers {
			reply := m.Chat(ctx, "kiosks", 5)
			is.True(reply.Whole())
			is.True(m.Call(ctx, "kiosks", "").Whole())
		}
	})
}
