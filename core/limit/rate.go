package limit

import "time"

const (
	requestWay = 200 * time.Millisecond // requestWay is the longest way of a request from its grant to the endpoint, in which arrivals bunch.
	coldMargin = time.Second            // coldMargin is added to the time that an endpoint takes to get warm.

	// RateWindow is the span in which the grants to a cold endpoint are counted, so that no second has more arrivals than it bears.
	RateWindow = time.Second + requestWay
)

// Rate bounds the grants to an endpoint while it may be cold.
type Rate struct {
	most   int // most is how many requests a second the endpoint bears while it is cold; zero is no bound.
	span   time.Duration
	until  time.Time   // until is when the endpoint is warm, unless it fails.
	grants []time.Time // grants holds the grants of the last window.
}

// SetStart forgets what is known, as the endpoint has started anew and is cold for the span after any doubt.
func (r *Rate) SetStart(span time.Duration) { r.span, r.until = span, time.Time{} }

// SetMost sets the number of requests a second that the endpoint bears while it is cold; zero is no bound.
func (r *Rate) SetMost(most int) { r.most = most }

// ColdUntil notes that the endpoint is cold until the given time at least.
func (r *Rate) ColdUntil(at time.Time) {
	if at = at.Add(coldMargin); at.After(r.until) {
		r.until = at
	}
}

// Doubt notes that the endpoint may have turned cold just now.
func (r *Rate) Doubt(now time.Time) { r.ColdUntil(now.Add(r.span)) }

// IsCold tells whether the endpoint may be cold.
func (r *Rate) IsCold(now time.Time) bool { return r.most > 0 && now.Before(r.until) }

// Granted notes a grant.
func (r *Rate) Granted(now time.Time) {
	if r.most > 0 {
		r.grants = append(r.recent(now), now)
	}
}

// Bears tells whether the endpoint bears one more request of a dispatcher that held so many
// of all stakes since the window began.
func (r *Rate) Bears(now time.Time, held, total int) bool {
	if !r.IsCold(now) {
		return true
	}
	r.grants = r.recent(now)
	return len(r.grants) < Cap(r.most, held, total)
}

func (r *Rate) recent(now time.Time) []time.Time {
	old := 0
	for old < len(r.grants) && now.Sub(r.grants[old]) > RateWindow {
		old++
	}
	return append(r.grants[:0], r.grants[old:]...)
}
