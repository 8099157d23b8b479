package admission

import (
	"cmp"
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/fair"
	"ryelug/core/placing"
	"ryelug/core/queue"
	"ryelug/core/result"
	"ryelug/core/slot"
)

const (
	smallBacklog       = 4                     // backlog up to which each event retries all waiting requests, and least number of requests ahead of one for it to be refused as too late
	newestFirstBacklog = 64                    // backlog of one team from which its newest requests come first, as most of its older ones would miss their deadlines
	minPassInterval    = 10 * time.Millisecond // minimum time between two retry passes over a larger backlog
	maxTriedPerPass    = 4096                  // largest number of waiting requests that one pass sorts and tries
	maxFailedTries     = 32                    // failed tries of a kind after which a pass skips the rest; with 5 classes and 90 engines it takes less than half of minPassInterval
)

// handleWant handles new demands. A demand that no waiting request precedes is tried at once. The others join the backlog
// and are tried in its order, so that freed capacity does not go to the team that asks most often.
func (d *Dispatcher) handleWant(now time.Time, ev *dispatch.Want) {
	index, ok := d.entries.FindCurrent(ev.Router, ev.Session)
	if !ok {
		return
	}
	mustWait, isPaced := false, d.endpoints.HasPacedCalls()
	for i := range ev.Demands {
		demand := &ev.Demands[i]
		if d.entries.At(index).Knows(demand.Attempt) {
			continue
		}
		team := d.teamOf(demand.Team)
		d.teams[team].active = now
		d.shares.AddDemand(now, int(team), max(1, demand.Estimate))
		if demand.Avoid == "" { // An endpoint to avoid means a retry of a request whose demand was counted before.
			d.dues.AddDemand(now, int(team), max(1, demand.Estimate))
		}
		d.countDemand(team, demand)
		if d.endpoints.DecidesCrossing() {
			d.endpoints.Arrived(now, d.dataCentres[ev.Router.Host()])
		}
		slotIndex := d.waiting.Add(queue.Request{
			IsReturn: d.isReturn(now, team, demand), Entry: index, Attempt: demand.Attempt, Team: team, Avoid: d.endpoints.Find(demand.Avoid), EstimatedCost: demand.Estimate, Since: now,
			Class: demand.Class, Prompt: demand.Prompt, Deadline: demand.Deadline,
		}, d.ledger.Virtual())
		if !isPaced && d.isFirstInOrder(now, int(team)) {
			d.try(now, slotIndex)
		} else {
			mustWait = true
		}
	}
	if mustWait {
		d.tryWaiting(now)
	}
}

// isFirstInOrder reports whether no waiting request of another team precedes the next request of the team.
func (d *Dispatcher) isFirstInOrder(now time.Time, team int) bool {
	least, ok := d.ledger.Least()
	return !ok || least == team || compareTurns(d.turnOf(now, team, 0), d.turnOf(now, least, 0)) <= 0
}

// tryWaiting tries to grant the waiting requests: those within their team's share first, and among these the requests
// of the least served teams. It refuses a request when so many others precede it that its deadline will pass.
//
// A backlog of more than smallBacklog requests is not retried at every event, but at most once per minPassInterval, and
// each kind only until maxFailedTries of its requests have found no capacity. Otherwise the cost of a pass would grow
// with the backlog of an overload.
func (d *Dispatcher) tryWaiting(now time.Time) {
	if d.waiting.Len() > d.smallBacklog() && now.Sub(d.lastPassAt) < minPassInterval {
		return
	}
	d.lastPassAt = now
	callTime := d.endpoints.LeastCallTime(now)
	d.callRate = d.endpoints.CallRate(now)
	clear(d.failedTries)
	clear(d.ahead)
	for _, turn := range d.turns(now) {
		slotIndex := turn.slotIndex
		kind := d.kindOf(now, slotIndex)
		if d.failedTries[kind] < max(maxFailedTries, d.smallBacklog()) {
			if d.try(now, slotIndex) {
				continue
			}
			d.failedTries[kind]++
		}
		if !d.wouldMissDeadline(now, slotIndex, d.ahead[kind.from], callTime) {
			d.ahead[kind.from]++
			continue
		}
		d.refuseForDeadline(now, slotIndex, placing.Choice{})
	}
}

// kind is what determines which endpoints may take a request, besides its size.
type kind struct {
	class string
	from  string // from is the data centre of the entry if the request can't reach all others; otherwise empty.
}

// kindOf returns the kind of the waiting request at the index. Requests that can't leave their data centre, as a path is disturbed,
// wait for other slots than the rest, which they must not keep from being tried.
func (d *Dispatcher) kindOf(now time.Time, slotIndex int32) kind {
	request := d.waiting.At(slotIndex)
	if !d.endpoints.DecidesCrossing() {
		return kind{class: request.Class}
	}
	from := d.dataCentres[d.entries.At(request.Entry).Router.Host()]
	if !d.endpoints.IsConfined(now, from, request.Deadline) {
		from = ""
	}
	return kind{class: request.Class, from: from}
}

// turn is the position of a waiting request in the order in which requests are tried.
type turn struct {
	slotIndex int32   // slotIndex is the index of the request in Dispatcher.waiting.
	within    bool    // within is true if the team's next request lies within its max-min share.
	isReturn  bool    // isReturn is true if the request's caller was refused and returns as told.
	counter   float64 // counter is the virtual counter that the team would have if its earlier requests in the order were granted.
}

// turns returns the waiting requests, at most maxTriedPerPass of them, in the order in which they are tried, in a
// buffer that the next call uses again. The position of a request assumes that the earlier requests of its team are
// granted, so that teams alternate. A team's oldest requests come first, unless it has newestFirstBacklog or more:
// then the newest do, as they have the most time left and the oldest would miss their deadlines even if granted.
func (d *Dispatcher) turns(now time.Time) []turn {
	d.order = d.order[:0]
	for at := d.waiting.Last(); at != slot.None && len(d.order) < maxTriedPerPass; at = d.waiting.Previous(at) {
		team := d.waiting.At(at).Team
		state, slotIndex := &d.teams[team], at
		if d.waiting.LenOf(team) < newestFirstBacklog {
			slotIndex = d.takeNextOldest(state, team)
		}
		next := d.turnOf(now, int(team), state.ahead)
		next.slotIndex, next.isReturn = slotIndex, d.waiting.At(slotIndex).IsReturn
		d.order = append(d.order, next)
		state.ahead += max(1, d.waiting.At(slotIndex).EstimatedCost)
	}
	for _, item := range d.order {
		d.teams[d.waiting.At(item.slotIndex).Team].ahead = 0
	}
	slices.SortStableFunc(d.order, compareTurns)
	return d.order
}

// takeNextOldest returns the index of the team's oldest request that turns has not yet ordered, and advances team.oldest.
func (d *Dispatcher) takeNextOldest(state *team, team int32) int32 {
	if state.ahead == 0 {
		state.oldest = d.waiting.FirstOf(team)
	}
	slotIndex := state.oldest
	state.oldest = d.waiting.NextOf(slotIndex)
	return slotIndex
}

// turnOf returns the turn of a team's request that follows other requests of the team with the total cost ahead.
func (d *Dispatcher) turnOf(now time.Time, team int, ahead cell.Cost) turn {
	return turn{within: d.shares.WithinShare(now, team), counter: d.ledger.After(team, ahead)}
}

// compareTurns orders requests within their team's share first, then those whose callers return as told, then by ascending
// virtual counter of the team.
func compareTurns(a, b turn) int {
	if a.within != b.within {
		if a.within {
			return -1
		}
		return 1
	}
	if a.isReturn != b.isReturn {
		if a.isReturn {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.counter, b.counter)
}

// wouldMissDeadline reports whether a waiting request will have missed its deadline, less the time of a call, by the time that the
// requests ahead of it are granted, at the recent rate of grants. Requests without a deadline and those with fewer than
// smallBacklog ahead never do.
func (d *Dispatcher) wouldMissDeadline(now time.Time, slotIndex int32, ahead int, callTime time.Duration) bool {
	request := d.waiting.At(slotIndex)
	if request.Deadline.IsZero() {
		return false
	}
	if d.callRate > 0 {
		return d.wouldMissPaced(now, request, ahead, callTime)
	}
	if ahead < smallBacklog {
		return false
	}
	return d.returns.Drain(now, ahead)+placing.NeededTime(request.Since, request.Deadline, callTime) > request.Deadline.Sub(now)
}

// try grants or refuses the waiting request at the index and returns true, or leaves it waiting and returns false.
func (d *Dispatcher) try(now time.Time, slotIndex int32) bool {
	if d.rejectHarmful(now, slotIndex) {
		return true
	}
	request := d.waiting.At(slotIndex)
	sizes := d.sizesOfClass(request)
	placingRequest := d.placingRequest(request, sizes)
	choice := d.choose(now, &placingRequest, request.Class)
	switch choice.Verdict {
	case placing.Admitted:
		sizes.Record(request.EstimatedCost, true)
		d.grant(now, slotIndex, choice)
	case placing.Hopeless:
		d.refuseForDeadline(now, slotIndex, choice)
	case placing.Closed:
		d.refuse(slotIndex, result.NoCapacity, closedRetry, choice)
	case placing.Waits:
		return false
	}
	return true
}

// refuseForDeadline refuses a waiting request that can't be answered before its deadline.
func (d *Dispatcher) refuseForDeadline(now time.Time, slotIndex int32, choice placing.Choice) {
	request := d.waiting.At(slotIndex)
	d.sizesOfClass(request).Record(request.EstimatedCost, false)
	d.refuse(slotIndex, result.QueueTimeout, d.retryAfter(now, request.Team), choice)
}

// placingRequest returns the properties of a waiting request that the choice of an endpoint depends on.
func (d *Dispatcher) placingRequest(request *queue.Request, sizes *fair.SizeStats) placing.Request {
	objective := time.Duration(0)
	if d.endpoints.HasPacedCalls() {
		objective = d.objectives[request.Class]
	}
	within := d.shares.WithinShare(d.now, int(request.Team)) || request.Class != "" && sizes.Favours(request.EstimatedCost)
	return placing.Request{
		Prompt: &request.Prompt, Since: request.Since, Deadline: request.Deadline, Objective: objective, Avoid: request.Avoid, WithinShare: within, Long: sizes.LacksLong(request.EstimatedCost), Class: request.Class,
		From: d.dataCentres[d.entries.At(request.Entry).Router.Host()],
	}
}

// sizesOfClass returns the size statistics of the request's class, creating them for a new class.
func (d *Dispatcher) sizesOfClass(request *queue.Request) *fair.SizeStats {
	classSizes, known := d.sizes[request.Class]
	if !known {
		classSizes = &fair.SizeStats{}
		d.sizes[request.Class] = classSizes
	}
	return classSizes
}

// grant moves a waiting request to the endpoint of the choice and charges its estimated cost to the team.
func (d *Dispatcher) grant(now time.Time, slotIndex int32, choice placing.Choice) {
	request := d.waiting.At(slotIndex)
	granted := attempt{entry: request.Entry, attempt: request.Attempt, team: request.Team, charged: max(1, request.EstimatedCost), prompt: request.Prompt, grantedAt: now}
	var cellGrant cell.Grant
	granted.placed, cellGrant = d.endpoints.Grant(now, choice, &request.Prompt)
	cellGrant.Attempt = request.Attempt
	d.countGrant(request)
	taken := d.waiting.Take(slotIndex)
	d.shares.Charge(int(granted.team), granted.charged)
	d.dues.Begin(now, int(granted.team), granted.charged)
	d.returns.Granted(now)
	index := d.addAttempt(granted)
	if d.rollout != nil {
		d.noteGrant(index, taken.Class, &granted.placed, &cellGrant)
	}
	d.outbox.Grant(d.entries.At(granted.entry), cellGrant)
}
