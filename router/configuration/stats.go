package configuration

import "sync/atomic"

// counters hold the current values of Stats, updated by all goroutines of a Syncer.
type counters struct {
	generation    atomic.Uint64
	watching      atomic.Bool
	reads         atomic.Int64
	failedReads   atomic.Int64
	watches       atomic.Int64
	silentWatches atomic.Int64
	rejected      atomic.Int64
}

// Stats holds the state of a Syncer and its counts since the start of the router.
type Stats struct {
	Generation    uint64 `json:"generation"`     // Generation is the one in force at this router; 0 before the first.
	Watching      bool   `json:"watching"`       // Watching is true if this router keeps a watch on the platform for its data centre.
	Reads         int64  `json:"reads"`          // Reads counts the reads of the root and of parts from the platform.
	FailedReads   int64  `json:"failed_reads"`   // FailedReads counts the reads that ended with an error.
	Watches       int64  `json:"watches"`        // Watches counts the watches that were opened.
	SilentWatches int64  `json:"silent_watches"` // SilentWatches counts the watches that ended because they missed a change or were silent past their deadline.
	Rejected      int64  `json:"rejected"`       // Rejected counts the generations that could not be adopted.
}

// Watching reports whether this router is one of those that watch the platform for its data centre.
func (d *Syncer) Watching() bool { return d.counters.watching.Load() }

// Stats returns the current state and counts.
func (d *Syncer) Stats() Stats {
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
