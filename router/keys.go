package router

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"ryelug/core/cell"
	"ryelug/router/keyed"
)

// sweepOrder stands for a cell in the order that names the sweeping router.
const sweepOrder cell.ID = "calls"

// shareKeys notes this router's part of the work on the records of keys.
func (c *coordinator) shareKeys(now time.Time) {
	if c.config.Keys == nil {
		return
	}
	order := c.table.Order(now, sweepOrder)
	c.sweeps.Store(len(order) > 0 && order[0] == c.config.Host)
	if _, total := c.table.Voters(); total > 0 && total != c.keyShares {
		c.keyShares = total
		c.config.Keys.SetRate(c.config.KeyedRate / float64(total))
	}
}

// startSweeper starts the duty that deletes old records while it is this router's turn.
func (r *Router) startSweeper(ctx context.Context, group *errgroup.Group) {
	if r.config.OldRecords == nil {
		return
	}
	sweeper := keyed.NewSweeper(keyed.SweeperConfig{
		Records: r.config.OldRecords,
		Turn:    r.coordinator.sweeps.Load,
		Rate:    r.config.KeyedRate, // A lower one would let records pile up.
	})
	group.Go(func() error { return sweeper.Run(ctx) })
}
