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
	noEndpoint       int32 = -1
	activeWindow           = 10 * time.Second // activeWindow is how long a team counts as active after its last request or service.
	mergeWindow            = 2 * time.Second  // mergeWindow is how long after a Join its teams count as backlogged without interruption.
	closedRetryAfter       = 5 * time.Second  // closedRetryAfter is the RetryAfter of rejections while no endpoint is open.
)

// teamState holds the cost estimate and the accounts of one team.
type teamState struct {
	id               cell.TeamID
	estimate         fair.Estimate
	inFlight         int       // inFlight is the number of granted requests that have not ended.
	lastActive       time.Time // lastActive is the time of the last request, service or merged counter; zero if none.
	mergedAt         time.Time // mergedAt is when a joining entry router last brought the team's counter; zero if never.
	served           cell.Cost // served is the total cost that this cell has served the team.
	siblingServiceAt time.Time // siblingServiceAt is when another cell of the pool last reported service to the team; zero if never.
	servedTold       cell.Cost // servedTold is the value of served that the other cells of the pool were told last.
}

// ensureTeam returns the index of a team and adds the team if it is new.
func (d *Dispatcher) ensureTeam(id cell.TeamID) int32 {
	team, isNew := d.teamIndexes.Ensure(id)
	if isNew {
		d.teams = append(d.teams, teamState{id: id})
		d.ledger.Grow(len(d.teams))
		d.waiting.Grow(len(d.teams))
	}
	return team
}

func (d *Dispatcher) want(now time.Time, ev *Want) {
	index, ok := d.entries.FindCurrent(ev.Router, ev.Session)
	if !ok {
		return
	}
	for i := range ev.Demands {
		d.demand(now, index, &ev.Demands[i])
	}
}

func (d *Dispatcher) demand(now time.Time, index int32, demand *cell.Demand) {
	entry := d.entries.At(index)
	if entry.Knows(demand.Attempt) {
		return
	}
	team := d.ensureTeam(demand.Team)
	d.teams[team].lastActive = now
	if d.isFull(team) {
		d.grantWaiting(now)
	}
	switch {
	case d.isClosed():
		d.out.Refuse(entry, demand.Attempt, result.NoCapacity, closedRetryAfter, RefusalDetails{})
	case d.isFull(team):
		d.out.Refuse(entry, demand.Attempt, result.TeamQueueFull, d.drainTime(now, team), RefusalDetails{})
	default:
		avoid := noEndpoint
		if endpoint, ok := d.flights.Find(demand.Avoid); ok {
			avoid = endpoint
		}
		d.enqueue(queue.Request{
			Entry: index, Attempt: demand.Attempt, Team: team, Avoid: avoid, EstimatedCost: demand.Estimate, Since: now,
			Moves: demand.Moves,
		})
	}
}

func (d *Dispatcher) isFull(team int32) bool {
	return d.policy.QueueLimit > 0 && d.waiting.LenOf(team) >= d.policy.QueueLimit
}

// drainTime estimates how long a team's queue takes to drain, at most the queue timeout.
func (d *Dispatcher) drainTime(now time.Time, team int32) time.Duration {
	return d.waiting.DrainTime(now, team, d.ledger.Backlogged(), d.policy.QueueTimeout)
}

func (d *Dispatcher) enqueue(request queue.Request) {
	d.waiting.Add(request, d.counterFloor(&d.teams[request.Team], request.Since))
}

// counterFloor returns the value to which the counter of a team that was without
// backlog is raised: the virtual time, so that idle time earns no credit. There are two
// exceptions. A team that was active at the previous dispatcher gets the virtual time
// there, if it is lower, but no less than maxSpread below the virtual time here. A team
// that other cells serve has not been idle, and their last service to it may not be
// reported yet: its floor is lower by returnLagCosts times the largest cost divided by
// the least share.
func (d *Dispatcher) counterFloor(returning *teamState, now time.Time) float64 {
	virtual := d.ledger.Virtual()
	if !returning.siblingServiceAt.IsZero() && now.Sub(returning.siblingServiceAt) <= siblingActiveWindow {
		return virtual - fair.CounterSpread(d.policy.LargestCost, returnLagCosts, d.leastShare)
	}
	if returning.mergedAt.IsZero() || now.Sub(returning.mergedAt) > mergeWindow {
		return virtual
	}
	return min(virtual, max(d.mergedVirtual, virtual-d.maxSpread()))
}

// expireWaiting rejects the requests that have waited for the queue timeout or longer.
func (d *Dispatcher) expireWaiting(now time.Time) {
	if d.policy.QueueTimeout <= 0 {
		return
	}
	for slotIndex := d.waiting.First(); slotIndex != slot.None; slotIndex = d.waiting.First() {
		request := d.waiting.At(slotIndex)
		if now.Sub(request.Since) < d.policy.QueueTimeout {
			return
		}
		d.refuseWaiting(slotIndex, result.QueueTimeout, d.drainTime(now, request.Team))
	}
}

// refuseAll rejects all waiting requests, because no endpoint is open.
func (d *Dispatcher) refuseAll() {
	for slotIndex := d.waiting.First(); slotIndex != slot.None; slotIndex = d.waiting.First() {
		d.refuseWaiting(slotIndex, result.NoCapacity, closedRetryAfter)
	}
}

func (d *Dispatcher) refuseWaiting(slotIndex int32, code result.Code, after time.Duration) {
	request := d.waiting.Take(slotIndex)
	d.out.Refuse(d.entries.At(request.Entry), request.Attempt, code, after, RefusalDetails{})
}
