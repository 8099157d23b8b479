package dispatch

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/fair"
	"ryelug/core/queue"
	"ryelug/core/result"
	"ryelug/core/slot"
)

const (
	noEndpoint  int32 = -1
	activeSpan        = 10 * time.Second // activeSpan is how long a team counts as active after demand or service.
	mergeSpan         = 2 * time.Second  // mergeSpan is the time after a Join in which its teams continue their backlog.
	closedRetry       = 5 * time.Second  // closedRetry is the RetryAfter while no endpoint is open.
)

// team is what is known of a team's requests.
type team struct {
	id       cell.TeamID
	estimate fair.Estimate
	inFlight int
	active   time.Time
	merged   time.Time // merged is when an entry brought the team's counter.
	served   cell.Cost // served is what this cell has served the team.
	heard    time.Time // heard is when another cell of the pool told of service to the team.
	told     cell.Cost // told is the part of served that the other cells of the pool were told.
}

// teamOf returns the index of a team and makes one for a new name.
func (d *Dispatcher) teamOf(id cell.TeamID) int32 {
	place, isNew := d.teamIndex.Ensure(id)
	if isNew {
		d.teams = append(d.teams, team{id: id})
		d.ledger.Grow(len(d.teams))
		d.waiting.Grow(len(d.teams))
	}
	return place
}

func (d *Dispatcher) want(now time.Time, ev *Want) {
	index, ok := d.entries.Present(ev.Router, ev.Session)
	if !ok {
		return
	}
	for i := range ev.Demands {
		d.demand(now, index, &ev.Demands[i])
	}
}

func (d *Dispatcher) demand(now time.Time, index int32, demand *cell.Demand) {
	by := d.entries.At(index)
	if by.Knows(demand.Attempt) {
		return
	}
	of := d.teamOf(demand.Team)
	d.teams[of].active = now
	if d.isFull(of) {
		d.grantWaiting(now)
	}
	switch {
	case d.isClosed():
		d.out.Refuse(by, demand.Attempt, result.NoCapacity, closedRetry, Grounds{})
	case d.isFull(of):
		d.out.Refuse(by, demand.Attempt, result.TeamQueueFull, d.drainTime(now, of), Grounds{})
	default:
		avoid := noEndpoint
		if at, ok := d.flights.Find(demand.Avoid); ok {
			avoid = at
		}
		d.enqueue(queue.Request{
			Entry: index, Attempt: demand.Attempt, Team: of, Avoid: avoid, Hint: demand.Estimate, Since: now,
			Moves: demand.Moves,
		})
	}
}

func (d *Dispatcher) isFull(of int32) bool {
	return d.policy.QueueLimit > 0 && d.waiting.LenOf(of) >= d.policy.QueueLimit
}

// drainTime returns how long a team's queue takes to empty, at most the queue timeout.
func (d *Dispatcher) drainTime(now time.Time, of int32) time.Duration {
	return d.waiting.DrainTime(now, of, d.ledger.Backlogged(), d.policy.QueueTimeout)
}

func (d *Dispatcher) enqueue(request queue.Request) {
	d.waiting.Add(request, d.floorOf(&d.teams[request.Team], request.Since))
}

// floorOf returns what a returning team's counter is lifted to: the virtual time,
// but for a team that was active at the former dispatcher the virtual time there. A
// team that other cells serve has not been idle, and what they served it last may
// not be told yet; it keeps what it is behind.
func (d *Dispatcher) floorOf(returning *team, now time.Time) float64 {
	virtual := d.ledger.Virtual()
	if !returning.heard.IsZero() && now.Sub(returning.heard) <= siblingSpan {
		return virtual - fair.Spread(d.policy.LargestCost, keptCosts, d.leastShare)
	}
	if returning.merged.IsZero() || now.Sub(returning.merged) > mergeSpan {
		return virtual
	}
	return min(virtual, max(d.mergedVirtual, virtual-d.spread()))
}

// expireWaiting refuses the requests that have waited for the queue timeout.
func (d *Dispatcher) expireWaiting(now time.Time) {
	if d.policy.QueueTimeout <= 0 {
		return
	}
	for place := d.waiting.First(); place != slot.None; place = d.waiting.First() {
		request := d.waiting.At(place)
		if now.Sub(request.Since) < d.policy.QueueTimeout {
			return
		}
		d.refuseWaiting(place, result.QueueTimeout, d.drainTime(now, request.Team))
	}
}

// refuseAll refuses all that waits, since no endpoint is open.
func (d *Dispatcher) refuseAll() {
	for place := d.waiting.First(); place != slot.None; place = d.waiting.First() {
		d.refuseWaiting(place, result.NoCapacity, closedRetry)
	}
}

func (d *Dispatcher) refuseWaiting(place int32, code result.Code, after time.Duration) {
	request := d.waiting.Take(place)
	d.out.Refuse(d.entries.At(request.Entry), request.Attempt, code, after, Grounds{})
}
