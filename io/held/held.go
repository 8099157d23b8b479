package held

import (
	"time"

	"ryelug/core/holding"
)

// pollInterval is the time between two attempts to take bytes. Each looks at all holders, so a thousand waiting ones would use a quarter
// of a core at 10 ms.
const pollInterval = 50 * time.Millisecond

// Take takes bytes from the budget for a holder, and evicts others where the budget says so. It waits for them up to the given
// time, in which its caller must not read from the peer, and returns holding.None if they were taken. A nil budget has no limit.
func Take(budget *holding.Budget, h *holding.Holder, bytes int64, wait time.Duration) holding.Cause {
	if budget == nil {
		return holding.None
	}
	for began := time.Now(); ; time.Sleep(pollInterval) {
		now := time.Now()
		ok, victim := budget.Take(now, h, bytes)
		if ok {
			return holding.None
		}
		if victim != nil && victim != h {
			victim.Evict()
		}
		if cause := budget.Evicted(h); cause != holding.None {
			return cause
		}
		if now.Sub(began) >= wait {
			return holding.Full
		}
	}
}
