package dispatch

import (
	"ryelug/core/cell"
	"ryelug/core/limit"
)

// Snapshot is a Dispatcher's state for metrics.
type Snapshot struct {
	Cell      cell.ID
	Held      int
	Total     int
	Entries   int // Entries is the number of live sessions.
	Waiting   int
	Teams     []TeamSnapshot // Teams lists the teams with a queue or work in flight.
	Endpoints []EndpointSnapshot
}

// TeamSnapshot is a team's state.
type TeamSnapshot struct {
	Team     cell.TeamID
	Queued   int
	InFlight int
	Counter  float64
}

// EndpointSnapshot is an endpoint's state.
type EndpointSnapshot struct {
	Endpoint cell.EndpointID
	State    limit.State
	Open     bool
	Limit    int
	InFlight int
	Free     int
}

// Snapshot returns the state after the last Step.
func (d *Dispatcher) Snapshot() Snapshot {
	shot := Snapshot{
		Cell:    d.cell,
		Held:    d.stakes.Held(d.now),
		Total:   d.stakes.Total(),
		Waiting: d.arrivals.length,
	}
	for i := range d.entries {
		if d.entries[i].live {
			shot.Entries++
		}
	}
	for i := range d.teams {
		of := &d.teams[i]
		if of.queue.length+of.inFlight > 0 {
			shot.Teams = append(shot.Teams, TeamSnapshot{of.id, of.queue.length, of.inFlight, d.ledger.Counter(i)})
		}
	}
	for i := range d.endpoints {
		at := &d.endpoints[i]
		shot.Endpoints = append(shot.Endpoints, EndpointSnapshot{
			at.id, at.gate.State(), at.open, at.gate.Limit(), at.inFlight() + at.lingering, at.free(),
		})
	}
	return shot
}

// virtualTime is the name under which Counters and Join carry the virtual time.
const virtualTime cell.TeamID = ""

// Counters appends the settled counters of the teams with demand or service in
// the last seconds, after the virtual time under the empty name. What requests in
// flight are charged is left out, since entries bring it with their flights.
func (d *Dispatcher) Counters(dst []cell.TeamCounter) []cell.TeamCounter {
	dst = append(dst, cell.TeamCounter{Team: virtualTime, Service: d.ledger.SettledVirtual()})
	for i := range d.teams {
		of := &d.teams[i]
		if of.queue.length > 0 || of.inFlight > 0 || !of.active.IsZero() && d.now.Sub(of.active) < activeSpan {
			dst = append(dst, cell.TeamCounter{Team: of.id, Service: d.ledger.Settled(i)})
		}
	}
	return dst
}
