package flight

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/limit"
)

// SetVoters replaces the hosts whose capacity stakes count, and the total number of stakes.
func (t *Table) SetVoters(now time.Time, hosts []cell.HostID, total int) {
	t.stakes.SetVoters(now, hosts, total, t.longest+t.window)
	t.updateAllCaps(now)
}

// Lend records that a router lends its host's capacity stake; joined is the time since which no other dispatcher has
// used the stake. The caps include it once Renew has set its expiry.
func (t *Table) Lend(now, joined time.Time, router cell.RouterID) {
	t.stakes.Lend(joined, router)
	t.updateAllCaps(now)
}

// Revoke records that a router no longer lends its host's capacity stake.
func (t *Table) Revoke(now time.Time, router cell.RouterID) {
	t.stakes.Revoke(router)
	t.updateAllCaps(now)
}

// Renew extends the lease of a router's capacity stake until the given time.
func (t *Table) Renew(now time.Time, router cell.RouterID, until time.Time) {
	t.stakes.Renew(router, until)
	if held, _ := t.stakes.HeldSince(now, now); held != t.held {
		t.updateAllCaps(now)
		return
	}
	t.stakeExpiry = t.stakes.NextExpiry(now)
}

// ReportDue returns the latest time in the interval (after, by] at which a recently lent stake
// becomes usable for endpoints that are not warm: a load report sampled from then on includes
// every request that the stake's previous holder granted and that still runs. It returns the
// zero time if there is no such time or all open endpoints are warm.
func (t *Table) ReportDue(after, by time.Time) time.Time {
	if !t.hasCold() {
		return time.Time{}
	}
	joined := t.stakes.LastJoined(after.Add(-t.window), by.Add(-t.window))
	if joined.IsZero() {
		return joined
	}
	return joined.Add(t.window)
}

// hasCold reports whether any open endpoint is not warm.
func (t *Table) hasCold() bool {
	for i := range t.endpoints {
		if t.endpoints[i].open && !t.endpoints[i].warm {
			return true
		}
	}
	return false
}

// Held returns the number of capacity stakes held, and the total number of stakes.
func (t *Table) Held() (held, total int) { return t.held, t.total }

// Expire removes expired capacity stakes from the caps. It must be called before each grant.
func (t *Table) Expire(now time.Time) {
	if !t.stakeExpiry.IsZero() && !now.Before(t.stakeExpiry) {
		t.updateAllCaps(now)
	}
}

func (t *Table) updateAllCaps(now time.Time) {
	t.stakeExpiry = t.stakes.NextExpiry(now)
	t.held, t.total = t.stakes.HeldSince(now, now)
	for i := range t.endpoints {
		t.updateCaps(now, int32(i))
	}
}

// updateCaps computes the caps of an endpoint from the stakes held and its limit.
func (t *Table) updateCaps(now time.Time, index int32) {
	ep := &t.endpoints[index]
	endpointLimit := ep.limit()
	ep.warm = ep.slowStart.State() == limit.Warm
	ep.capHeld = limit.Cap(endpointLimit, t.held, t.total)
	if !ep.warm {
		drainedAt := ep.drainedAt
		if t.longest > 0 {
			drainedAt = later(drainedAt, now.Add(-t.longest))
		}
		ep.capMature = t.capSince(now, drainedAt.Add(-t.window), endpointLimit)
		ep.capSampled = t.capSince(now, ep.recentSince, endpointLimit)
	}
	t.requestReportIfNeeded(now, ep)
	t.updateRoom(index)
}

// capSince returns the cap for the held stakes that no other dispatcher has used since the time joined.
func (t *Table) capSince(now, joined time.Time, endpointLimit int) int {
	held, total := t.stakes.HeldSince(now, joined)
	return limit.Cap(endpointLimit, held, total)
}

// inFlight returns the number of flights that count towards the cap. Lingering flights, which ended without an answer and
// may still run, are left out. Of the orphans, whose entry router's session has ended, it counts no more than can still run.
func (ep *endpoint) inFlight() int {
	return ep.flights.Length - ep.lingering - ep.orphans + ep.orphanBound
}

// free returns how many grants the endpoint may get now.
//
// For a warm endpoint it is the cap for all stakes held minus the flights that inFlight counts. At an endpoint that is not
// warm, requests that previous holders of the stakes granted may still run, so each of two caps includes only some of the stakes:
//   - capMature includes the stakes whose previous holders' requests must have ended.
//   - capSampled includes the stakes whose previous holders' requests are in the last load report if they still run.
//
// The result is then the greater of these two differences, or zero if both are negative:
//   - capMature minus the flights, including lingering ones
//   - capSampled minus the greater of two counts: the flights, including lingering ones; and the requests in the last load
//     report plus the flights that it may not include
func (ep *endpoint) free() int {
	if !ep.open || !ep.slowStart.Reachable() {
		return 0
	}
	if ep.warm {
		return max(0, ep.capHeld-ep.inFlight())
	}
	counted := ep.inFlight() + ep.lingering
	mature := ep.capMature - counted
	sampled := ep.capSampled - max(counted, ep.reportedInFlight+ep.recent)
	return max(0, mature, sampled)
}

// updateRoom updates the position of an endpoint in the heap of those with free slots, or removes it if it has none.
func (t *Table) updateRoom(index int32) {
	ep := &t.endpoints[index]
	free := ep.free()
	if free == 0 {
		t.withRoom.Remove(int(index))
		return
	}
	busy := float64(ep.inFlight())
	t.withRoom.Set(int(index), busy/(busy+float64(free)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
