package flight

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/limit"
)

// calmSpan is how long an endpoint must be calm (see isCalm) before it is polled rarely.
const calmSpan = time.Second

// Need states how soon a load report of an endpoint is needed.
type Need struct {
	Rare bool      // Rare is true if infrequent reports suffice, because the endpoint gets no more requests than its cold limit.
	Due  time.Time // Due is when a load report is needed ahead of schedule; zero if none is.
}

// Need returns how soon a load report of an endpoint is needed; it is the zero Need for an unknown endpoint.
func (t *Table) Need(id cell.EndpointID) Need {
	index, ok := t.index.Find(id)
	if !ok {
		return Need{}
	}
	ep := &t.endpoints[index]
	return Need{Rare: ep.rarelyPolled && ep.reportDue.IsZero(), Due: ep.reportDue}
}

// TakeReportRequested reports whether any load report has become due ahead of schedule since the last call.
func (t *Table) TakeReportRequested() bool {
	reportWanted := t.reportWanted
	t.reportWanted = false
	return reportWanted
}

// limit returns how many requests may be in flight at the endpoint, over all dispatchers.
// A rarely polled endpoint may have turned cold since its last load report, so the cold
// limit applies until the next report.
func (ep *endpoint) limit() int {
	if ep.rarelyPolled {
		return ep.slowStart.ColdLimit()
	}
	return ep.slowStart.Limit()
}

// updatePollRate decides, after a load report, whether the endpoint may be polled rarely from now on.
func (t *Table) updatePollRate(now time.Time, ep *endpoint) {
	ep.reportDue = time.Time{}
	if ep.notCalmAt.IsZero() || !t.isCalm(now, ep) {
		ep.notCalmAt = now
	}
	ep.rarelyPolled = now.Sub(ep.notCalmAt) >= calmSpan
}

// isCalm reports whether an endpoint has no orphans, lingering flights or signs of failure, its last load report is recent
// enough for all stakes held, and its flights use at most half of the dispatcher's part of the cold limit; it is false if
// that part is zero. An endpoint that is not warm must also have nothing in flight.
func (t *Table) isCalm(now time.Time, ep *endpoint) bool {
	isUncertain := ep.orphans > 0 || ep.lingering > 0 || ep.slowStart.Suspect() || t.lacksRecentReport(now, ep)
	coldCap := limit.Cap(ep.slowStart.ColdLimit(), t.held, t.total)
	isLight := ep.inFlight() < coldCap && 2*ep.inFlight() <= coldCap
	return !isUncertain && isLight && (ep.slowStart.State() == limit.Warm || ep.inFlight() == 0)
}

// lacksRecentReport reports whether the last load report is too old for a cap that includes every stake held; see capSampled.
func (t *Table) lacksRecentReport(now time.Time, ep *endpoint) bool {
	sampled, _ := t.stakes.HeldSince(now, ep.recentSince)
	return sampled < t.held
}

// requestReportIfNeeded requests a load report of a rarely polled endpoint if it has no free slot, is warming up, shows
// signs of failure, or needs a newer report before its caps can include every stake held.
func (t *Table) requestReportIfNeeded(now time.Time, ep *endpoint) {
	if !ep.rarelyPolled || !ep.open {
		return
	}
	isWarmingUp := ep.slowStart.State() != limit.Warm && ep.inFlight() > 0
	if ep.free() == 0 || isWarmingUp || ep.slowStart.Suspect() || t.lacksRecentReport(now, ep) {
		t.requestReport(now, ep)
	}
}

// RequestReports makes load reports due at once for the open endpoints that are not warm and need a newer report before their
// caps can include every capacity stake held.
func (t *Table) RequestReports(now time.Time) {
	for i := range t.endpoints {
		ep := &t.endpoints[i]
		if ep.open && !ep.warm && t.lacksRecentReport(now, ep) {
			t.requestReport(now, ep)
		}
	}
}

// requestReport makes a load report of an endpoint due now, unless one is due already.
func (t *Table) requestReport(now time.Time, ep *endpoint) {
	if ep.reportDue.IsZero() {
		ep.reportDue, ep.notCalmAt = now, now
		t.reportWanted = true
	}
}
