package flight

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/limit"
)

// calmSpan is the time for which an endpoint must be calm before it rests.
const calmSpan = time.Second

// Need says how soon an endpoint's report is needed.
type Need struct {
	Rare bool      // Rare is true while the endpoint gets no more work than it bears when cold.
	Due  time.Time // Due is when a report is needed out of turn; zero when none is.
}

// Need returns how soon the report of an endpoint is needed.
func (t *Table) Need(id cell.EndpointID) Need {
	index, ok := t.index.Find(id)
	if !ok {
		return Need{}
	}
	at := &t.endpoints[index]
	return Need{Rare: at.resting && at.due.IsZero(), Due: at.due}
}

// TakeWanted tells whether a report has become due since the last call.
func (t *Table) TakeWanted() bool {
	wanted := t.wanted
	t.wanted = false
	return wanted
}

// limit returns how many requests may be in flight. An endpoint that rests may have turned
// cold since its last report, so until the next one it gets what it bears when cold.
func (at *endpoint) limit() int {
	if at.resting {
		return at.gate.ColdLimit()
	}
	return at.gate.Limit()
}

// rest decides, at a report, whether reports may be rare from now on.
func (t *Table) rest(now time.Time, at *endpoint) {
	at.due = time.Time{}
	if at.busyAt.IsZero() || !t.isCalm(now, at) {
		at.busyAt = now
	}
	at.resting = now.Sub(at.busyAt) >= calmSpan
}

// isCalm tells whether an endpoint is free of doubt and far from the work that it bears when cold.
func (t *Table) isCalm(now time.Time, at *endpoint) bool {
	isDoubtful := at.orphans > 0 || at.lingering > 0 || at.gate.Suspect() || t.isMaturing(now, at)
	bears := limit.Cap(at.gate.ColdLimit(), t.held, t.total)
	isLight := at.inFlight() < bears && 2*at.inFlight() <= bears
	return !isDoubtful && isLight && (at.gate.State() == limit.Warm || at.inFlight() == 0)
}

// isMaturing tells whether a stake that is held has joined too late for the last report.
func (t *Table) isMaturing(now time.Time, at *endpoint) bool {
	sampled, _ := t.stakes.HeldSince(now, at.recentSince)
	return sampled < t.held
}

// wake asks an endpoint that rests for a report, if one is needed now.
func (t *Table) wake(now time.Time, at *endpoint) {
	if !at.resting || !at.open {
		return
	}
	isWarmingUp := at.gate.State() != limit.Warm && at.inFlight() > 0
	if at.free() == 0 || isWarmingUp || at.gate.Suspect() || t.isMaturing(now, at) {
		t.want(now, at)
	}
}

// WantReports makes the reports due of endpoints that are not warm, where they let further stakes count.
func (t *Table) WantReports(now time.Time) {
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if at.open && !at.warm && t.isMaturing(now, at) {
			t.want(now, at)
		}
	}
}

// want makes a report of an endpoint due now.
func (t *Table) want(now time.Time, at *endpoint) {
	if at.due.IsZero() {
		at.due, at.busyAt = now, now
		t.wanted = true
	}
}
