package admission

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// activePeriod is how long Counters includes a team after its last demand or service.
const activePeriod = 10 * time.Second

// Snapshot returns the state after the last Step, for metrics.
func (d *Dispatcher) Snapshot() dispatch.Snapshot {
	snapshot := dispatch.Snapshot{Cell: d.cell, Entries: d.entries.Live(), Waiting: d.waiting.Len(), Paced: d.pacedSnapshot(), EndpointsEvaluated: d.endpoints.EndpointsEvaluated()}
	snapshot.Held, snapshot.Total = d.stakes.HeldSince(d.now, d.now)
	for i := range d.teams {
		state := &d.teams[i]
		if queued := d.waiting.LenOf(int32(i)); queued+state.inFlight > 0 {
			snapshot.Teams = append(snapshot.Teams, dispatch.TeamSnapshot{Team: state.id, Queued: queued, InFlight: state.inFlight, Counter: d.ledger.Counter(i)})
		}
	}
	snapshot.RejectedParts = len(d.suspects.List(d.now))
	snapshot.Endpoints = d.endpoints.States(d.now, nil)
	snapshot.Crossings = d.endpoints.Crossing().Paths()
	return snapshot
}

// Counters appends the virtual time, under the name dispatch.VirtualTime, and then the settled virtual counters of the
// teams that have waiting or running requests or were active within activePeriod. Notes about a roll-out follow, if there is one. It returns the extended slice.
func (d *Dispatcher) Counters(dst []cell.TeamCounter) []cell.TeamCounter {
	dst = append(dst, cell.TeamCounter{Team: dispatch.VirtualTime, Service: d.ledger.SettledVirtual()})
	for i := range d.teams {
		state := &d.teams[i]
		if d.waiting.LenOf(int32(i)) > 0 || state.inFlight > 0 || !state.active.IsZero() && d.now.Sub(state.active) < activePeriod {
			dst = append(dst, cell.TeamCounter{Team: state.id, Service: d.ledger.Settled(i)})
		}
	}
	if d.rollout != nil {
		dst = d.rollout.trial.Notes(dst)
	}
	return dst
}
