package flight

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/limit"
)

// SetVoters replaces the hosts whose stakes count, and the number that stakes are divided by.
func (t *Table) SetVoters(now time.Time, hosts []cell.HostID, total int) {
	t.stakes.SetVoters(now, hosts, total, t.longest+t.window)
	t.refreshAll(now)
}

// Lend notes that a router lends its stake, which no other dispatcher has counted since joined.
func (t *Table) Lend(now, joined time.Time, router cell.RouterID) {
	t.stakes.Lend(joined, router)
	t.refreshAll(now)
}

// Revoke notes that a router no longer lends its stake.
func (t *Table) Revoke(now time.Time, router cell.RouterID) {
	t.stakes.Revoke(router)
	t.refreshAll(now)
}

// Renew notes until when a router's stake may be counted on.
func (t *Table) Renew(now time.Time, router cell.RouterID, until time.Time) {
	t.stakes.Renew(router, until)
	if held, _ := t.stakes.HeldSince(now, now); held != t.held {
		t.refreshAll(now)
		return
	}
	t.stakeExpiry = t.stakes.NextExpiry(now)
}

// ReportDue returns the latest time, after one time and not after the other, from
// which on a report lets further stakes count at endpoints that are not warm; zero
// if there is none.
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

// hasCold tells whether an open endpoint is not warm.
func (t *Table) hasCold() bool {
	for i := range t.endpoints {
		if t.endpoints[i].open && !t.endpoints[i].warm {
			return true
		}
	}
	return false
}

// Held returns the number of stakes that count, and the number that they are divided by.
func (t *Table) Held() (held, total int) { return t.held, t.total }

// Expire drops the stakes that no longer count; it is due before each decision.
func (t *Table) Expire(now time.Time) {
	if !t.stakeExpiry.IsZero() && !now.Before(t.stakeExpiry) {
		t.refreshAll(now)
	}
}

func (t *Table) refreshAll(now time.Time) {
	t.stakeExpiry = t.stakes.NextExpiry(now)
	t.held, t.total = t.stakes.HeldSince(now, now)
	for i := range t.endpoints {
		t.refresh(now, int32(i))
	}
}

// refresh works out the caps of an endpoint from the stakes and its limit.
func (t *Table) refresh(now time.Time, index int32) {
	at := &t.endpoints[index]
	size := at.limit()
	at.warm = at.gate.State() == limit.Warm
	at.capHeld = limit.Cap(size, t.held, t.total)
	if !at.warm {
		proven := at.proven
		if t.longest > 0 {
			proven = later(proven, now.Add(-t.longest))
		}
		at.capMature = t.capSince(now, proven.Add(-t.window), size)
		at.capSampled = t.capSince(now, at.recentSince, size)
	}
	t.wake(now, at)
	t.rank(index)
}

// capSince returns the cap of the stakes that joined at a time or before.
func (t *Table) capSince(now, joined time.Time, size int) int {
	held, total := t.stakes.HeldSince(now, joined)
	return limit.Cap(size, held, total)
}

// inFlight returns the flights that count towards the stake cap.
func (at *endpoint) inFlight() int {
	return at.flights.Length - at.lingering - at.orphans + at.orphanBound
}

// free returns how many grants the endpoint may get now.
func (at *endpoint) free() int {
	if !at.open || !at.gate.Reachable() {
		return 0
	}
	if at.warm {
		return max(0, at.capHeld-at.inFlight())
	}
	counted := at.inFlight() + at.lingering
	mature := at.capMature - counted
	sampled := at.capSampled - max(counted, at.reported+at.recent)
	return max(0, mature, sampled)
}

// rank puts an endpoint in its place among those with room.
func (t *Table) rank(index int32) {
	at := &t.endpoints[index]
	free := at.free()
	if free == 0 {
		t.room.Remove(int(index))
		return
	}
	busy := float64(at.inFlight())
	t.room.Set(int(index), busy/(busy+float64(free)))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
