package dispatch

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/fair"
	"ryelug/core/result"
)

const (
	noEndpoint   int32 = -1
	rateWeight         = 8                      // rateWeight divides the newest interval's difference in an average.
	leastRetry         = 100 * time.Millisecond // leastRetry is the shortest RetryAfter.
	unknownRetry       = time.Second            // unknownRetry is the RetryAfter while no grant has shown a pace.
	activeSpan         = 10 * time.Second       // activeSpan is how long a team counts as active after demand or service.
	mergeSpan          = 2 * time.Second        // mergeSpan is the time after a Join in which its teams continue their backlog.
	closedRetry        = 5 * time.Second        // closedRetry is the RetryAfter while no endpoint is open.
)

// team is one team's queue and what is known of its requests.
type team struct {
	id        cell.TeamID
	queue     list
	estimate  fair.Estimate
	inFlight  int
	active    time.Time
	merged    time.Time // merged is when an entry brought the team's counter.
	grantedAt time.Time
	interval  time.Duration // interval is the average time between two grants.
}

// wait is one request that waits for a grant.
type wait struct {
	entry   int32
	attempt cell.AttemptID
	team    int32
	avoid   int32
	hint    cell.Cost
	since   time.Time
}

func (t *team) granted(now time.Time) {
	t.interval = average(t.interval, now, t.grantedAt)
	t.grantedAt, t.active = now, now
}

func (d *Dispatcher) cellGranted(now time.Time) {
	d.grantEvery = average(d.grantEvery, now, d.grantedAt)
	d.grantedAt = now
}

func average(old time.Duration, now, last time.Time) time.Duration {
	if last.IsZero() {
		return 0
	}
	if old == 0 {
		return now.Sub(last)
	}
	return old + (now.Sub(last)-old)/rateWeight
}

// teamOf returns the index of a team and makes one for a new name.
func (d *Dispatcher) teamOf(id cell.TeamID) int32 {
	if index, ok := d.teamIndex[id]; ok {
		return index
	}
	index := int32(len(d.teams))
	d.teams = append(d.teams, team{id: id})
	d.teamIndex[id] = index
	d.ledger.Grow(len(d.teams))
	return index
}

func (d *Dispatcher) want(now time.Time, ev *Want) {
	index, ok := d.sessionOf(ev.Router, ev.Session)
	if !ok {
		return
	}
	for i := range ev.Demands {
		d.demand(now, index, &ev.Demands[i])
	}
}

func (d *Dispatcher) demand(now time.Time, index int32, demand *cell.Demand) {
	by := &d.entries[index]
	if _, waits := by.waiting[demand.Attempt]; waits {
		return
	}
	if _, flies := by.flights[demand.Attempt]; flies {
		return
	}
	of := d.teamOf(demand.Team)
	from := &d.teams[of]
	from.active = now
	if d.isFull(from) {
		d.pump(now)
	}
	switch {
	case d.isClosed():
		d.out.refuse(by, demand.Attempt, result.NoCapacity, closedRetry)
	case d.isFull(from):
		d.out.refuse(by, demand.Attempt, result.TeamQueueFull, d.drainTime(now, from))
	default:
		avoid := noEndpoint
		if at, ok := d.endpointIndex[demand.Avoid]; ok {
			avoid = at
		}
		d.enqueue(wait{entry: index, attempt: demand.Attempt, team: of, avoid: avoid, hint: demand.Estimate, since: now})
	}
}

func (d *Dispatcher) isFull(of *team) bool {
	return d.policy.QueueLimit > 0 && of.queue.length >= d.policy.QueueLimit
}

// drainTime returns how long a team's queue takes to empty at the pace of its grants.
func (d *Dispatcher) drainTime(now time.Time, of *team) time.Duration {
	pace := of.interval
	if !of.grantedAt.IsZero() {
		pace = max(pace, now.Sub(of.grantedAt))
	}
	if pace == 0 {
		pace = d.grantEvery * time.Duration(max(1, d.ledger.Backlogged()))
	}
	if pace == 0 {
		return unknownRetry
	}
	most := max(leastRetry, d.policy.QueueTimeout)
	length := time.Duration(max(1, of.queue.length))
	if pace > most/length {
		return most
	}
	return max(leastRetry, pace*length)
}

func (d *Dispatcher) enqueue(waiting wait) {
	slot := d.newWait()
	d.waits[slot] = waiting
	d.entries[waiting.entry].waiting[waiting.attempt] = slot
	d.byArrival.push(&d.arrivals, slot)
	d.byTeam.push(&d.teams[waiting.team].queue, slot)
	d.ledger.Enter(int(waiting.team), d.floorOf(&d.teams[waiting.team], waiting.since))
}

// floorOf returns what a returning team's counter is lifted to: the virtual time,
// but for a team that was active at the former dispatcher the virtual time there.
func (d *Dispatcher) floorOf(returning *team, now time.Time) float64 {
	virtual := d.ledger.Virtual()
	if returning.merged.IsZero() || now.Sub(returning.merged) > mergeSpan {
		return virtual
	}
	return min(virtual, max(d.mergedVirtual, virtual-d.spread()))
}

// unqueue takes a waiting request out of all lists and frees its slot.
func (d *Dispatcher) unqueue(slot int32) {
	waiting := &d.waits[slot]
	from := &d.teams[waiting.team]
	delete(d.entries[waiting.entry].waiting, waiting.attempt)
	d.byArrival.remove(&d.arrivals, slot)
	d.byTeam.remove(&from.queue, slot)
	if from.queue.length == 0 {
		d.ledger.Exit(int(waiting.team))
	}
	d.freeWaits = append(d.freeWaits, slot)
}

func (d *Dispatcher) newWait() int32 {
	if last := len(d.freeWaits) - 1; last >= 0 {
		slot := d.freeWaits[last]
		d.freeWaits = d.freeWaits[:last]
		return slot
	}
	d.waits = append(d.waits, wait{})
	d.growLinks()
	return int32(len(d.waits) - 1)
}

func (d *Dispatcher) withdraw(ev *Withdraw) {
	index, ok := d.sessionOf(ev.Router, ev.Session)
	if !ok {
		return
	}
	for _, attempt := range ev.Attempts {
		if slot, waits := d.entries[index].waiting[attempt]; waits {
			d.unqueue(slot)
		}
	}
}

// expireWaits refuses the requests that have waited for the queue timeout.
func (d *Dispatcher) expireWaits(now time.Time) {
	if d.policy.QueueTimeout <= 0 {
		return
	}
	for slot := d.arrivals.head; slot != none; slot = d.arrivals.head {
		if now.Sub(d.waits[slot].since) < d.policy.QueueTimeout {
			return
		}
		from := &d.teams[d.waits[slot].team]
		d.refuseWaiting(slot, result.QueueTimeout, d.drainTime(now, from))
	}
}

// refuseAll refuses all that waits, since no endpoint is open.
func (d *Dispatcher) refuseAll(now time.Time) {
	for d.arrivals.head != none {
		d.teams[d.waits[d.arrivals.head].team].active = now
		d.refuseWaiting(d.arrivals.head, result.NoCapacity, closedRetry)
	}
}

func (d *Dispatcher) refuseWaiting(slot int32, code result.Code, after time.Duration) {
	waiting := d.waits[slot]
	d.unqueue(slot)
	d.out.refuse(&d.entries[waiting.entry], waiting.attempt, code, after)
}

// isClosed tells whether the policy leaves no endpoint open.
func (d *Dispatcher) isClosed() bool {
	return d.known && d.slots == 0
}
