package router

import (
	"context"

	"golang.org/x/sync/errgroup"

	"ryelug/router/keyed"
)

// shareKeyedRate gives this router its part of the rate of keyed requests.
func (r *Router) shareKeyedRate(routers int) {
	if r.config.Keys != nil {
		r.config.Keys.SetRate(r.config.KeyedRate / float64(routers))
	}
}

// startSweeper starts the duty that deletes old records while it is this router's turn.
func (r *Router) startSweeper(ctx context.Context, group *errgroup.Group) {
	if r.config.OldRecords == nil {
		return
	}
	sweeper := keyed.NewSweeper(keyed.SweeperConfig{
		Records: r.config.OldRecords,
		Turn:    r.coordinator.Sweeps,
		Rate:    r.config.KeyedRate, // A lower one would let records pile up.
	})
	group.Go(func() error { return sweeper.Run(ctx) })
}
