package fair

import "ryelug/core/cell"

// rebaseAt is the virtual time from which a Ledger moves its base: beyond it, small charges would be lost to the
// rounding of large counters.
const rebaseAt = 1 << 30

// Ledger keeps a virtual counter per team, the total cost charged divided by the team's share, and the order of the
// backlogged teams by their counters. The virtual time is the smallest counter of the backlogged teams.
type Ledger struct {
	base        float64 // base is added to the values below wherever they are returned.
	counters    []float64
	shares      []float64
	floors      []float64 // floors holds, per team, the value below which no refund lowers its counter.
	pending     []float64 // pending holds, per team, the part of the counter that is charged for requests in flight.
	backlog     Heap
	lastVirtual float64 // lastVirtual is the last virtual time; it holds while no team is backlogged.
}

// Grow adds teams up to n-1, with share 1 and counter 0.
func (l *Ledger) Grow(n int) {
	for len(l.counters) < n {
		l.counters = append(l.counters, 0)
		l.shares = append(l.shares, 1)
		l.floors = append(l.floors, 0)
		l.pending = append(l.pending, 0)
	}
	l.backlog.Grow(n)
}

// SetShare sets the share of a team; a share below one counts as one.
func (l *Ledger) SetShare(team, share int) {
	l.shares[team] = float64(max(share, 1))
}

// Counter returns the virtual counter of a team, in cost units divided by share.
func (l *Ledger) Counter(team int) float64 { return l.base + l.counters[team] }

// After returns the virtual counter that a team would have after a charge of this cost.
func (l *Ledger) After(team int, cost cell.Cost) float64 {
	return l.Counter(team) + float64(cost)/l.shares[team]
}

// Backlogged returns the number of backlogged teams.
func (l *Ledger) Backlogged() int { return l.backlog.Len() }

// Virtual returns the virtual time: the smallest counter of the backlogged teams, or its last value while no team
// is backlogged.
func (l *Ledger) Virtual() float64 { return l.base + l.virtual() }

func (l *Ledger) virtual() float64 {
	if team, ok := l.backlog.Min(); ok {
		l.lastVirtual = l.counters[team]
	}
	return l.lastVirtual
}

// Enter marks a team as backlogged and raises its counter to at least the floor, usually the virtual time, so that
// an idle team accumulates no credit. It does nothing if the team is backlogged already.
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

// Decay multiplies the excess of each counter over the virtual time by the factor.
func (l *Ledger) Decay(factor float64) {
	virtual := l.virtual()
	for team, counter := range l.counters {
		if counter > virtual {
			l.set(team, virtual+factor*(counter-virtual))
		}
	}
}

// Least returns the backlogged team with the smallest counter; ok is false if no team is backlogged.
func (l *Ledger) Least() (team int, ok bool) { return l.backlog.Min() }

// Charge adds the estimated cost of a request in flight to its team's counter.
func (l *Ledger) Charge(team int, cost cell.Cost) {
	part := float64(cost) / l.shares[team]
	l.pending[team] += part
	l.set(team, l.counters[team]+part)
}

// Settle replaces the charge of a request in flight by its final cost. A refund does not lower the counter below the
// floor of the last Enter.
func (l *Ledger) Settle(team int, charged, cost cell.Cost) {
	l.pending[team] -= float64(charged) / l.shares[team]
	counter := l.counters[team] + float64(cost-charged)/l.shares[team]
	if cost < charged {
		counter = max(counter, min(l.floors[team], l.counters[team]))
	}
	l.set(team, counter)
}

// Settled returns a team's counter without the charges of requests in flight.
func (l *Ledger) Settled(team int) float64 { return l.base + l.settled(team) }

func (l *Ledger) settled(team int) float64 { return l.counters[team] - l.pending[team] }

// SettledVirtual returns the smallest settled counter of the backlogged teams, or the virtual time if that is smaller or no
// team is backlogged.
func (l *Ledger) SettledVirtual() float64 {
	l.rebase()
	least := l.virtual()
	for _, team := range l.backlog.items {
		least = min(least, l.settled(int(team)))
	}
	return l.base + least
}

// Merge raises a team's settled counter to the value that another dispatcher had; it never lowers it.
func (l *Ledger) Merge(team int, settled float64) {
	if more := settled - l.base - l.settled(team); more > 0 {
		l.set(team, l.counters[team]+more)
	}
}

// Advance raises the virtual time, to which Enter raises the counters of returning teams. It does nothing while a
// team is backlogged.
func (l *Ledger) Advance(virtual float64) {
	if l.backlog.Len() == 0 {
		l.lastVirtual = max(l.lastVirtual, virtual-l.base)
		l.rebase()
	}
}

// rebase adds the virtual time to the base and subtracts it from all counters once it reaches rebaseAt.
func (l *Ledger) rebase() {
	by := l.virtual()
	if by < rebaseAt {
		return
	}
	l.base += by
	l.lastVirtual = 0
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
