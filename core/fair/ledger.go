package fair

import "ryelug/core/cell"

// rebaseAt is the virtual time at which a Ledger moves its base, so that small
// charges are not lost beside large counters.
const rebaseAt = 1 << 30

// Ledger holds a virtual counter per team, the cost charged divided by the
// share, and keeps the backlogged teams in the order of their counters.
type Ledger struct {
	base      float64 // base is what is added to all values below for the outside.
	counters  []float64
	shares    []float64
	floors    []float64 // floors hold the value below which no refund takes a counter.
	open      []float64 // open holds the part of a counter that requests in flight are charged.
	backlog   Heap
	leastSeen float64 // leastSeen is the least backlogged counter, kept while no team is backlogged.
}

// Grow makes room for teams 0 to n-1; new teams have share 1.
func (l *Ledger) Grow(n int) {
	for len(l.counters) < n {
		l.counters = append(l.counters, 0)
		l.shares = append(l.shares, 1)
		l.floors = append(l.floors, 0)
		l.open = append(l.open, 0)
	}
	l.backlog.Grow(n)
}

// SetShare sets the share of a team; shares below one count as one.
func (l *Ledger) SetShare(team, share int) {
	l.shares[team] = float64(max(share, 1))
}

// Counter returns the virtual counter of a team.
func (l *Ledger) Counter(team int) float64 { return l.base + l.counters[team] }

// After returns the virtual counter of a team once it is charged a cost.
func (l *Ledger) After(team int, cost cell.Cost) float64 {
	return l.Counter(team) + float64(cost)/l.shares[team]
}

// Backlogged returns the number of backlogged teams.
func (l *Ledger) Backlogged() int { return l.backlog.Len() }

// Virtual returns the least counter of the backlogged teams, or the last such value while there are none.
func (l *Ledger) Virtual() float64 { return l.base + l.virtual() }

func (l *Ledger) virtual() float64 {
	if team, ok := l.backlog.Min(); ok {
		l.leastSeen = l.counters[team]
	}
	return l.leastSeen
}

// Enter marks a team as backlogged and lifts its counter to the floor, in
// general the virtual time, so that idleness banks no credit.
func (l *Ledger) Enter(team int, floor float64) {
	if l.backlog.Has(team) {
		return
	}
	l.rebase()
	floor -= l.base
	l.counters[team] = max(l.counters[team], floor)
	l.floors[team] = floor
	l.backlog.Set(team, l.counters[team])
}

// Exit marks a team as no longer backlogged.
func (l *Ledger) Exit(team int) {
	l.virtual()
	l.backlog.Remove(team)
}

// Fade multiplies by a factor what the counters stand above the virtual time.
func (l *Ledger) Fade(factor float64) {
	virtual := l.virtual()
	for team, counter := range l.counters {
		if counter > virtual {
			l.set(team, virtual+factor*(counter-virtual))
		}
	}
}

// Least returns the backlogged team with the least counter.
func (l *Ledger) Least() (team int, ok bool) { return l.backlog.Min() }

// Charge adds to a team's counter the cost of a request in flight.
func (l *Ledger) Charge(team int, cost cell.Cost) {
	part := float64(cost) / l.shares[team]
	l.open[team] += part
	l.set(team, l.counters[team]+part)
}

// Settle replaces what a request in flight was charged by its final cost.
func (l *Ledger) Settle(team int, charged, cost cell.Cost) {
	l.open[team] -= float64(charged) / l.shares[team]
	counter := l.counters[team] + float64(cost-charged)/l.shares[team]
	if cost < charged {
		counter = max(counter, min(l.floors[team], l.counters[team]))
	}
	l.set(team, counter)
}

// Settled returns a team's counter without what requests in flight are charged.
func (l *Ledger) Settled(team int) float64 { return l.base + l.settled(team) }

func (l *Ledger) settled(team int) float64 { return l.counters[team] - l.open[team] }

// SettledVirtual returns the least settled counter of the backlogged teams, or the virtual time while there are none.
func (l *Ledger) SettledVirtual() float64 {
	l.rebase()
	least := l.virtual()
	for _, team := range l.backlog.items {
		least = min(least, l.settled(int(team)))
	}
	return l.base + least
}

// Merge raises a team's settled counter to one that another dispatcher kept.
func (l *Ledger) Merge(team int, settled float64) {
	if more := settled - l.base - l.settled(team); more > 0 {
		l.set(team, l.counters[team]+more)
	}
}

// Advance raises the virtual time that returning teams are lifted to; it does nothing while a team is backlogged.
func (l *Ledger) Advance(virtual float64) {
	if l.backlog.Len() == 0 {
		l.leastSeen = max(l.leastSeen, virtual-l.base)
		l.rebase()
	}
}

// rebase moves the base to the virtual time if that has grown large.
func (l *Ledger) rebase() {
	by := l.virtual()
	if by < rebaseAt {
		return
	}
	l.base += by
	l.leastSeen = 0
	for team := range l.counters {
		l.counters[team] -= by
		l.floors[team] -= by
		if l.backlog.Has(team) {
			l.backlog.Set(team, l.counters[team])
		}
	}
}

func (l *Ledger) set(team int, counter float64) {
	l.counters[team] = counter
	if l.backlog.Has(team) {
		l.backlog.Set(team, counter)
	}
}
