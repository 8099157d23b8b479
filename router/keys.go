package router

import (
	"context"

	"golang.org/x/sync/errgroup"

	"ryelug/router/keyed"
)

// share gives this router its part of what the fleet shares: the rate of keyed requests, and the retries.
func (r *Router) share(routers int) {
	r.runner.Share(routers)
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
