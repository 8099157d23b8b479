package dispatch

import (
	"time"

	"ryelug/core/cell"
)

// flight is a granted attempt that has not been seen to end, or whose end at
// the endpoint is in doubt.
type flight struct {
	entry    int32
	attempt  cell.AttemptID
	team     int32
	endpoint int32
	start    cell.StartID
	charged  cell.Cost
	granted  time.Time
	orphaned time.Time
	kind     kind
}

// heldPart divides the charge of an attempt that did not complete.
const heldPart = 16

// kind says how a flight counts at its endpoint.
type kind uint8

const (
	live      kind = iota // live: its entry has a session.
	orphan                // orphan: its entry has left; it counts until a report or its end proves otherwise.
	lingering             // lingering: it ended without an answer; the endpoint may still run it.
	void                  // void: the endpoint has restarted; only the cost is open.
)

// fly counts a new flight at its endpoint and its entry.
func (d *Dispatcher) fly(flying flight) {
	slot := d.newFlight()
	d.flights[slot] = flying
	d.entries[flying.entry].flights[flying.attempt] = slot
	d.teams[flying.team].inFlight++
	d.ledger.Charge(int(flying.team), flying.charged)
	at := &d.endpoints[flying.endpoint]
	d.byEndpoint.push(&at.flights, slot)
	if flying.granted.After(at.recentSince) {
		at.recent++
	}
	d.rank(flying.endpoint)
}

func (d *Dispatcher) newFlight() int32 {
	if last := len(d.freeFlights) - 1; last >= 0 {
		slot := d.freeFlights[last]
		d.freeFlights = d.freeFlights[:last]
		return slot
	}
	d.flights = append(d.flights, flight{})
	d.growLinks()
	return int32(len(d.flights) - 1)
}

func (d *Dispatcher) growLinks() {
	d.byTeam.grow(len(d.waits))
	d.byArrival.grow(len(d.waits))
	d.byEndpoint.grow(len(d.flights))
	d.byOrphaned.grow(len(d.flights))
}

// land frees a flight that needs no more attention.
func (d *Dispatcher) land(slot int32) {
	flying := &d.flights[slot]
	d.uncount(slot)
	d.forget(slot)
	d.rank(flying.endpoint)
	d.freeFlights = append(d.freeFlights, slot)
}

// uncount takes a flight out of its endpoint's count.
func (d *Dispatcher) uncount(slot int32) {
	flying := &d.flights[slot]
	at := &d.endpoints[flying.endpoint]
	switch flying.kind {
	case void:
		return
	case orphan:
		at.orphans--
		at.orphanBound = min(at.orphanBound, at.orphans)
	case lingering:
		at.lingering--
	}
	d.byEndpoint.remove(&at.flights, slot)
	if flying.granted.After(at.recentSince) {
		at.recent--
	}
}

// forget takes a flight out of its entry's account.
func (d *Dispatcher) forget(slot int32) {
	flying := &d.flights[slot]
	if !flying.orphaned.IsZero() {
		d.byOrphaned.remove(&d.orphans, slot)
		flying.orphaned = time.Time{}
	}
	if flying.kind == lingering {
		return
	}
	d.teams[flying.team].inFlight--
	d.ledger.Settle(int(flying.team), flying.charged, flying.charged)
	delete(d.entries[flying.entry].flights, flying.attempt)
	d.dropEntry(flying.entry)
}

// orphanFlight marks a flight whose entry has left.
func (d *Dispatcher) orphanFlight(now time.Time, slot int32) {
	flying := &d.flights[slot]
	if flying.kind == live {
		flying.kind = orphan
		at := &d.endpoints[flying.endpoint]
		at.orphans++
		at.orphanBound++
	}
	if flying.orphaned.IsZero() {
		flying.orphaned = now
		d.byOrphaned.push(&d.orphans, slot)
	}
}

// adopt marks an orphan as live again: its entry is back and says that it runs.
func (d *Dispatcher) adopt(slot int32) {
	flying := &d.flights[slot]
	if !flying.orphaned.IsZero() {
		d.byOrphaned.remove(&d.orphans, slot)
		flying.orphaned = time.Time{}
	}
	if flying.kind != orphan {
		return
	}
	flying.kind = live
	at := &d.endpoints[flying.endpoint]
	at.orphans--
	at.orphanBound = min(max(0, at.orphanBound-1), at.orphans)
}

// expireOrphans drops the flights of left entries, and those that linger, after the longest request time.
func (d *Dispatcher) expireOrphans(now time.Time) {
	if d.policy.LongestRequest <= 0 {
		return
	}
	for slot := d.orphans.head; slot != none; slot = d.orphans.head {
		if now.Sub(d.flights[slot].orphaned) < d.policy.LongestRequest+d.window {
			return
		}
		d.land(slot)
	}
}

func (d *Dispatcher) progressed(now time.Time, ev *Progressed) {
	index, ok := d.sessionOf(ev.Router, ev.Session)
	if !ok {
		return
	}
	for _, progress := range ev.Progress {
		slot, flies := d.entries[index].flights[progress.Attempt]
		if !flies {
			continue
		}
		flying := &d.flights[slot]
		d.teams[flying.team].active = now
		if more := progress.Cost - flying.charged; more > 0 {
			flying.charged = progress.Cost
			d.ledger.Charge(int(flying.team), more)
		}
	}
}

func (d *Dispatcher) ended(now time.Time, ev *Ended) {
	index, ok := d.entryIndex[ev.Router]
	if !ok {
		return
	}
	for i := range ev.Ends {
		slot, flies := d.entries[index].flights[ev.Ends[i].Attempt]
		if flies {
			d.end(now, slot, &ev.Ends[i])
		}
	}
}

func (d *Dispatcher) end(now time.Time, slot int32, end *cell.End) {
	flying := &d.flights[slot]
	d.settle(now, flying, end)
	d.judge(now, flying, end)
	at := flying.endpoint
	inDoubt := end.Outcome == cell.Failed || end.Outcome == cell.Cancelled
	if inDoubt && flying.kind != void {
		d.linger(now, slot)
	} else {
		d.land(slot)
	}
	d.refreshCaps(now, at)
}

// settle replaces the charge of a flight by its cost. Whatever does not complete
// costs a part of its charge at least, for the time in which it held the endpoint.
func (d *Dispatcher) settle(now time.Time, flying *flight, end *cell.End) {
	cost := max(1, end.Cost)
	of := &d.teams[flying.team]
	of.active = now
	if end.Outcome == cell.Completed {
		of.estimate.Seen(cost)
	} else {
		cost = max(cost, flying.charged/heldPart)
	}
	d.ledger.Settle(int(flying.team), flying.charged, cost)
	flying.charged = 0
}

// judge tells the endpoint's gate what an attempt showed of it.
func (d *Dispatcher) judge(now time.Time, flying *flight, end *cell.End) {
	gate := &d.endpoints[flying.endpoint].gate
	if flying.start != gate.Start() {
		return
	}
	switch end.Outcome {
	case cell.Completed:
		gate.Completed(now, end.FirstToken)
	case cell.Failed, cell.Refused:
		gate.Failed(now)
	case cell.StartChanged:
		gate.Outdated(now)
	}
}

// linger keeps a flight counted whose end was not the endpoint's word.
func (d *Dispatcher) linger(now time.Time, slot int32) {
	flying := &d.flights[slot]
	if flying.kind == orphan {
		d.adopt(slot)
	}
	d.forget(slot)
	flying.kind = lingering
	flying.orphaned = now
	d.byOrphaned.push(&d.orphans, slot)
	d.endpoints[flying.endpoint].lingering++
}
