package dispatch

import (
	"ryelug/core/cell"
	"ryelug/core/crossing"
	"ryelug/core/flight"
)

// Snapshot holds the state of a Dispatcher, for metrics.
type Snapshot struct {
	Cell      cell.ID
	Held      int            // Held is the number of hosts whose capacity stakes this dispatcher holds.
	Total     int            // Total is the number of all capacity stakes.
	Entries   int            // Entries is the number of entry routers with a session.
	Waiting   int            // Waiting is the number of requests without a grant.
	Teams     []TeamSnapshot // Teams lists the teams with requests waiting or in flight.
	Endpoints []flight.State

	Paced     *PacedSnapshot       // Paced is the state of the admission of a service whose endpoints report their pace; nil for other cells.
	Crossings []crossing.PathState // Crossings lists the paths to other data centres that requests have taken; nil if the dispatcher does not decide on them.

	RejectedParts int // RejectedParts is the number of prompt parts whose requests are rejected, since they crash engines.

	EndpointsEvaluated int64 // EndpointsEvaluated counts the endpoints evaluated for requests so far; zero if the dispatcher does not predict answer times.
}

// PacedSnapshot holds the state of the admission of a service whose endpoints report their pace, for metrics.
type PacedSnapshot struct {
	CallRate float64 // CallRate is how many calls a second the endpoints answer at their present pace.
	Margin   float64 // Margin is the factor by which a call may take longer than expected and still be in time.

	Told     int64 // Told counts the refused callers that were told when to return.
	Returned int64 // Returned counts the calls that were taken for those of callers that return as told.
	Again    int64 // Again counts those of Returned that were refused again.
}

// TeamSnapshot holds the state of one team, for metrics.
type TeamSnapshot struct {
	Team     cell.TeamID
	Queued   int
	InFlight int
	Counter  float64 // Counter is the team's virtual counter: the cost charged divided by its share.
}

// Snapshot returns the state after the last Step.
func (d *Dispatcher) Snapshot() Snapshot {
	snapshot := Snapshot{Cell: d.cell, Entries: d.entries.Live(), Waiting: d.waiting.Len(), Endpoints: d.flights.States()}
	snapshot.Held, snapshot.Total = d.flights.Held()
	for i := range d.teams {
		team := &d.teams[i]
		if queued := d.waiting.LenOf(int32(i)); queued+team.inFlight > 0 {
			snapshot.Teams = append(snapshot.Teams, TeamSnapshot{team.id, queued, team.inFlight, d.ledger.Counter(i)})
		}
	}
	return snapshot
}

// VirtualTime is the empty team name under which Counters and Join.Counters hold the virtual time.
const VirtualTime cell.TeamID = ""

// Counters appends to dst the virtual time, under the team name VirtualTime, and then the
// virtual counters of the teams that have requests or had some in the last 10 s. The
// charges of requests in flight are excluded, since entry routers send them with their
// flights when they join another dispatcher.
func (d *Dispatcher) Counters(dst []cell.TeamCounter) []cell.TeamCounter {
	dst = append(dst, cell.TeamCounter{Team: VirtualTime, Service: d.ledger.SettledVirtual()})
	for i := range d.teams {
		team := &d.teams[i]
		if d.waiting.LenOf(int32(i)) > 0 || team.inFlight > 0 || !team.lastActive.IsZero() && d.now.Sub(team.lastActive) < activeWindow {
			dst = append(dst, cell.TeamCounter{Team: team.id, Service: d.ledger.Settled(i)})
		}
	}
	return dst
}
