package router

import (
	"context"

	"golang.org/x/sync/errgroup"

	"ryelug/router/keyed"
)

// divideFleetLimits sets this router's part of the limits that all routers share: the retries, and the rate of
// requests with an Idempotency-Key.
func (r *Router) divideFleetLimits(routers int) {
	r.runner.SetRouterCount(routers)
	if r.config.Keys != nil {
		r.config.Keys.SetRate(r.config.KeyedRate / float64(routers))
	}
}

// startSweeper starts the goroutine that deletes expired records of idempotency keys while this router is the one
// elected to do so.
func (r *Router) startSweeper(ctx context.Context, group *errgroup.Group) {
	if r.config.OldRecords == nil {
		return
	}
	sweeper := keyed.NewSweeper(keyed.SweeperConfig{
		Records:   r.config.OldRecords,
		IsSweeper: r.coordinator.Sweeps,
		Rate:      r.config.KeyedRate, // Records are created at up to this rate; a lower one would let them pile up.
	})
	group.Go(func() error { return sweeper.Run(ctx) })
}
