package admission

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/placing"
	"ryelug/core/queue"
)

// pacedTries is the number of waiting requests times endpoints up to which each event retries all waiting requests of a service
// whose endpoints report their pace. With few slots and short calls, a slot must not stay idle until the next pass; with many, a
// pass for each event would use up the processor.
const pacedTries = 512

// smallBacklog returns the backlog up to which each event retries all waiting requests.
func (d *Dispatcher) smallBacklog() int {
	if d.endpoints.HasPacedCalls() {
		return max(smallBacklog, pacedTries/max(1, d.endpoints.Len()))
	}
	return smallBacklog
}

// isReturn reports whether the caller of a new demand counts as one that was refused and returns as told. It records the demand.
func (d *Dispatcher) isReturn(now time.Time, team int32, demand *cell.Demand) bool {
	if !d.endpoints.HasPacedCalls() || demand.Avoid != "" {
		return false
	}
	d.learnObjective(now, demand)
	if d.returnTimes.Returns(now, team) {
		d.paced.Returned++
		return true
	}
	d.returnTimes.Asked(now)
	return false
}

// objectiveDivisor is the inverse weight of a demand with less time than those before it in the objective of its class. Demands
// have less time the longer they were on their way, so that the largest ones show the objective.
const objectiveDivisor = 1024

// learnObjective learns the objective of a class from the time that a new demand of it has.
func (d *Dispatcher) learnObjective(now time.Time, demand *cell.Demand) {
	if demand.Deadline.IsZero() {
		return
	}
	known, left := d.objectives[demand.Class], demand.Deadline.Sub(now)
	if left < known {
		left = known - (known-left)/objectiveDivisor
	}
	d.objectives[demand.Class] = left
}

// retryAfter returns the time after which the team's caller that is refused now may retry.
func (d *Dispatcher) retryAfter(now time.Time, team int32) time.Duration {
	if rate := d.endpoints.CallRate(now); rate > 0 {
		d.paced.Told++
		return d.returnTimes.Next(now, team, d.waiting.Len(), rate)
	}
	return d.returns.Next(now)
}

// wouldMissPaced reports whether a waiting call can't be in time behind the ones ahead of it, at the rate at which the
// endpoints answer calls at their present pace.
func (d *Dispatcher) wouldMissPaced(now time.Time, request *queue.Request, ahead int, callTime time.Duration) bool {
	wait := time.Duration(float64(ahead) / d.callRate * float64(time.Second))
	return wait+placing.PacedTime(d.objectives[request.Class], callTime) > request.Deadline.Sub(now)
}

// describePaced adds to the details of a refusal what the endpoints' pace contributed, and counts callers that returned in vain.
func (d *Dispatcher) describePaced(details *dispatch.RefusalDetails, request *queue.Request) {
	if !d.endpoints.HasPacedCalls() {
		return
	}
	if request.IsReturn {
		d.paced.Again++
	}
	details.CallRate, details.CallTime = d.endpoints.CallRate(d.now), d.endpoints.LeastCallTime(d.now)
}

// pacedSnapshot returns the state for metrics; nil unless calls are paced.
func (d *Dispatcher) pacedSnapshot() *dispatch.PacedSnapshot {
	if !d.endpoints.HasPacedCalls() {
		return nil
	}
	snapshot := d.paced
	snapshot.CallRate, snapshot.Margin = d.endpoints.CallRate(d.now), d.endpoints.Margin()
	return &snapshot
}
