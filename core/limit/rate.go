package limit

import "time"

const (
	maxTransit = 200 * time.Millisecond // maxTransit is the longest time from a grant to the request's arrival at the endpoint; requests granted within it may arrive together.
	coldMargin = time.Second            // coldMargin is a safety margin added to the time at which an endpoint is expected to be warm.

	// RateWindow is the sliding window in which grants to a cold endpoint are counted. It is one second plus the longest transit
	// time, so that requests that arrive together don't exceed the endpoint's rate in any second either.
	RateWindow = time.Second + maxTransit
)

// Rate is the rate limit on grants to an endpoint that may be cold. The zero value has no limit.
type Rate struct {
	coldRate   int           // coldRate is the number of requests a second that the cold endpoint can handle; zero means no limit.
	warmUpTime time.Duration // warmUpTime is how long the endpoint is cold after a call of MarkCold, without coldMargin.
	coldUntil  time.Time     // coldUntil is when the endpoint is expected to be warm; failures may postpone it.
	grants     []time.Time   // grants holds the times of the grants within RateWindow, oldest first.
}

// SetStart begins a new run of the endpoint's process. The run counts as cold only after a call of ColdUntil or MarkCold; after MarkCold
// it does so for warmUpTime and coldMargin.
func (r *Rate) SetStart(warmUpTime time.Duration) {
	r.warmUpTime, r.coldUntil = warmUpTime, time.Time{}
}

// SetRate sets the number of requests a second that the endpoint can handle while it is cold; zero means no limit.
func (r *Rate) SetRate(coldRate int) { r.coldRate = coldRate }

// ColdUntil records that the endpoint is cold at least until the given time.
func (r *Rate) ColdUntil(at time.Time) {
	if at = at.Add(coldMargin); at.After(r.coldUntil) {
		r.coldUntil = at
	}
}

// MarkCold records that the endpoint may have become cold just now.
func (r *Rate) MarkCold(now time.Time) { r.ColdUntil(now.Add(r.warmUpTime)) }

// IsCold reports whether the endpoint may be cold. It is false while no limit is set.
func (r *Rate) IsCold(now time.Time) bool { return r.coldRate > 0 && now.Before(r.coldUntil) }

// Granted records that a request was granted to the endpoint now.
func (r *Rate) Granted(now time.Time) {
	if r.coldRate > 0 {
		r.grants = append(r.recent(now), now)
	}
}

// Allows reports whether the endpoint can take one more request from a dispatcher. held is the number of stakes, out
// of total, that the dispatcher has held since the window began.
func (r *Rate) Allows(now time.Time, held, total int) bool {
	if !r.IsCold(now) {
		return true
	}
	r.grants = r.recent(now)
	return len(r.grants) < Cap(r.coldRate, held, total)
}

// recent returns the grants within RateWindow. It reuses the slice's memory.
func (r *Rate) recent(now time.Time) []time.Time {
	expired := 0
	for expired < len(r.grants) && now.Sub(r.grants[expired]) > RateWindow {
		expired++
	}
	return append(r.grants[:0], r.grants[expired:]...)
}
