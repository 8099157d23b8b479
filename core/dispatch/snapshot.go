package dispatch

import (
	"ryelug/core/cell"
	"ryelug/core/flight"
)

// Snapshot is a Dispatcher's state for metrics.
type Snapshot struct {
	Cell      cell.ID
	Held      int
	Total     int
	Entries   int // Entries is the number of live sessions.
	Waiting   int
	Teams     []TeamSnapshot // Teams lists the teams with a queue or work in flight.
	Endpoints []flight.State

	Weighed int64 // Weighed counts the endpoints that were looked at for requests so far; zero where the dispatcher does not predict.
}

// TeamSnapshot is a team's state.
type TeamSnapshot struct {
	Team     cell.TeamID
	Queued   int
	InFlight int
	Counter  float64
}

// Snapshot returns the state after the last Step.
func (d *Dispatcher) Snapshot() Snapshot {
	shot := Snapshot{Cell: d.cell, Entries: d.entries.Live(), Waiting: d.waiting.Len(), Endpoints: d.flights.States()}
	shot.Held, shot.Total = d.flights.Held()
	for i := range d.teams {
		of := &d.teams[i]
		if queued := d.waiting.LenOf(int32(i)); queued+of.inFlight > 0 {
			shot.Teams = append(shot.Teams, TeamSnapshot{of.id, queued, of.inFlight, d.ledger.Counter(i)})
		}
	}
	return shot
}

// VirtualTime is the name under which Counters and Join carry the virtual time.
const VirtualTime cell.TeamID = ""

// Counters appends the settled counters of the teams with demand or service in
// the last seconds, after the virtual time under the empty name. What requests in
// flight are charged is left out, since entries bring it with their flights.
func (d *Dispatcher) Counters(dst []cell.TeamCounter) []cell.TeamCounter {
	dst = append(dst, cell.TeamCounter{Team: VirtualTime, Service: d.ledger.SettledVirtual()})
	for i := range d.teams {
		of := &d.teams[i]
		if d.waiting.LenOf(int32(i)) > 0 || of.inFlight > 0 || !of.active.IsZero() && d.now.Sub(of.active) < activeSpan {
			dst = append(dst, cell.TeamCounter{Team: of.id, Service: d.ledger.Settled(i)})
		}
	}
	return dst
}
