package admission

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// activeSpan is how long a team counts as active after demand or service.
const activeSpan = 10 * time.Second

// Snapshot returns the state after the last Step.
func (d *Dispatcher) Snapshot() dispatch.Snapshot {
	shot := dispatch.Snapshot{Cell: d.cell, Entries: d.entries.Live(), Waiting: d.waiting.Len(), Weighed: d.places.Weighed()}
	shot.Held, shot.Total = d.stakes.HeldSince(d.now, d.now)
	for i := range d.teams {
		of := &d.teams[i]
		if queued := d.waiting.LenOf(int32(i)); queued+of.inFlight > 0 {
			shot.Teams = append(shot.Teams, dispatch.TeamSnapshot{Team: of.id, Queued: queued, InFlight: of.inFlight, Counter: d.ledger.Counter(i)})
		}
	}
	shot.Endpoints = d.places.States(d.now, nil)
	return shot
}

// Counters appends the settled counters of the teams with demand or service in
// the last seconds, after the virtual time under its own name.
func (d *Dispatcher) Counters(dst []cell.TeamCounter) []cell.TeamCounter {
	dst = append(dst, cell.TeamCounter{Team: dispatch.VirtualTime, Service: d.ledger.SettledVirtual()})
	for i := range d.teams {
		of := &d.teams[i]
		if d.waiting.LenOf(int32(i)) > 0 || of.inFlight > 0 || !of.active.IsZero() && d.now.Sub(of.active) < activeSpan {
			dst = append(dst, cell.TeamCounter{Team: of.id, Service: d.ledger.Settled(i)})
		}
	}
	return dst
}
