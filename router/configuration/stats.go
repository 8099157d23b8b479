package configuration

import "sync/atomic"

// counters count what the duty has done.
type counters struct {
	generation    atomic.Uint64
	watching      atomic.Bool
	reads         atomic.Int64
	failedReads   atomic.Int64
	watches       atomic.Int64
	silentWatches atomic.Int64
	rejected      atomic.Int64
}

// Stats tells what a duty has done so far.
type Stats struct {
	Generation    uint64 `json:"generation"`
	Watching      bool   `json:"watching"`
	Reads         int64  `json:"reads"`
	FailedReads   int64  `json:"failed_reads"`
	Watches       int64  `json:"watches"`
	SilentWatches int64  `json:"silent_watches"`
	Rejected      int64  `json:"rejected"`
}

// Watching tells whether this router is one of those that read the platform for its data centre.
func (d *Duty) Watching() bool { return d.counters.watching.Load() }

// Stats returns the present counts.
func (d *Duty) Stats() Stats {
	c := &d.counters
	return Stats{
		Generation:    c.generation.Load(),
		Watching:      c.watching.Load(),
		Reads:         c.reads.Load(),
		FailedReads:   c.failedReads.Load(),
		Watches:       c.watches.Load(),
		SilentWatches: c.silentWatches.Load(),
		Rejected:      c.rejected.Load(),
	}
}
