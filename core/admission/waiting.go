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
	fewWaiting = 4                     // waiting requests that are tried at each event
	manyOfTeam = 64                    // waiting requests of a team from which on it can't get most of them in time, so that its newest come first
	tryPause   = 10 * time.Millisecond // between two tries of more of them
	mostTried  = 4096                  // waiting requests that are put in order at a time
	mostFailed = 32                    // tries of one class that find no room, after which a pass leaves the others of it alone: with 5 classes and 90 engines a pass then takes less than half of the time between two
)

// want takes in demands. One that comes after none that waits is tried at once, the others with those that wait:
// room that becomes free must not go to the team that asks most often.
func (d *Dispatcher) want(now time.Time, ev *dispatch.Want) {
	index, ok := d.entries.Present(ev.Router, ev.Session)
	if !ok {
		return
	}
	isBehind := false
	for i := range ev.Demands {
		demand := &ev.Demands[i]
		if d.entries.At(index).Knows(demand.Attempt) {
			continue
		}
		of := d.teamOf(demand.Team)
		d.teams[of].active = now
		d.shares.Ask(now, int(of), max(1, demand.Estimate))
		if demand.Avoid == "" { // Otherwise it was asked for before, and sent to another endpoint.
			d.dues.Ask(now, int(of), max(1, demand.Estimate))
		}
		d.countDemand(of, demand)
		place := d.waiting.Add(queue.Request{
			Entry: index, Attempt: demand.Attempt, Team: of, Avoid: d.places.Find(demand.Avoid), Hint: demand.Estimate, Since: now,
			Class: demand.Class, Prompt: demand.Prompt, Due: demand.Due,
		}, d.ledger.Virtual())
		if d.isNext(now, int(of)) {
			d.try(now, place)
		} else {
			isBehind = true
		}
	}
	if isBehind {
		d.tryWaiting(now)
	}
}

// isNext tells whether no request that waits comes before those of a team.
func (d *Dispatcher) isNext(now time.Time, team int) bool {
	least, ok := d.ledger.Least()
	return !ok || least == team || compareTurns(d.turnOf(now, team, 0), d.turnOf(now, least, 0)) <= 0
}

// tryWaiting tries the requests that wait: those within their team's share first,
// and among them those of the teams that were served least. It refuses those that so many come before
// that their time will be over.
//
// Many are tried once in a while only, not at each event that may have made room, and of each class only as long as some
// find room: what a pass costs must not grow with what a flood lets wait.
func (d *Dispatcher) tryWaiting(now time.Time) {
	if d.waiting.Len() > fewWaiting && now.Sub(d.triedAt) < tryPause {
		return
	}
	d.triedAt = now
	ahead := 0
	clear(d.failed)
	for _, turn := range d.turns(now) {
		place := turn.place
		class := d.waiting.At(place).Class
		if d.failed[class] < mostFailed {
			if d.try(now, place) {
				continue
			}
			d.failed[class]++
		}
		if !d.comesTooLate(now, place, ahead) {
			ahead++
			continue
		}
		d.refuseLate(now, place, placing.Choice{})
	}
}

// turn is a waiting request in the order in which requests are tried.
type turn struct {
	place   int32
	within  bool    // within tells that the request lies within its team's share.
	counter float64 // counter is that of the team once its requests before this one are granted.
}

// turns returns the requests that wait in their order. Each counts as granted for those of its team that come after
// it, so that teams take turns. Of a team with many the newest comes first: it has most time left, and one that has waited
// for long would be late even if it was granted.
func (d *Dispatcher) turns(now time.Time) []turn {
	d.order = d.order[:0]
	for at := d.waiting.Last(); at != slot.None && len(d.order) < mostTried; at = d.waiting.Previous(at) {
		team := d.waiting.At(at).Team
		of, place := &d.teams[team], at
		if d.waiting.LenOf(team) < manyOfTeam {
			place = d.nextOldest(of, team)
		}
		next := d.turnOf(now, int(team), of.ahead)
		next.place = place
		d.order = append(d.order, next)
		of.ahead += max(1, d.waiting.At(place).Hint)
	}
	for _, one := range d.order {
		d.teams[d.waiting.At(one.place).Team].ahead = 0
	}
	slices.SortStableFunc(d.order, compareTurns)
	return d.order
}

// nextOldest returns the place of the request that comes next of a team whose oldest come first.
func (d *Dispatcher) nextOldest(of *team, team int32) int32 {
	if of.ahead == 0 {
		of.oldest = d.waiting.FirstOf(team)
	}
	place := of.oldest
	of.oldest = d.waiting.NextOf(place)
	return place
}

// turnOf returns the turn of a team's request that comes after some of this cost.
func (d *Dispatcher) turnOf(now time.Time, team int, ahead cell.Cost) turn {
	return turn{within: d.shares.Within(now, team), counter: d.ledger.After(team, ahead)}
}

// compareTurns puts requests within their team's share first, and those of the teams that were served least.
func compareTurns(a, b turn) int {
	if a.within != b.within {
		if a.within {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.counter, b.counter)
}

// comesTooLate tells whether a waiting request will be late by the time that those ahead of it are granted.
func (d *Dispatcher) comesTooLate(now time.Time, place int32, ahead int) bool {
	due := d.waiting.At(place).Due
	return ahead >= fewWaiting && !due.IsZero() && d.returns.Drain(now, ahead) > due.Sub(now)
}

// try grants or refuses a waiting request and returns true, or leaves it waiting.
func (d *Dispatcher) try(now time.Time, place int32) bool {
	request := d.waiting.At(place)
	sizes := d.sizesOf(request)
	asked := d.asked(request, sizes)
	choice := d.places.Choose(now, &asked)
	switch choice.Verdict {
	case placing.Admitted:
		sizes.Decide(request.Hint, true)
		d.grant(now, place, choice)
	case placing.Hopeless:
		d.refuseLate(now, place, choice)
	case placing.Closed:
		d.refuse(place, result.NoCapacity, closedRetry, choice)
	case placing.Waits:
		return false
	}
	return true
}

// refuseLate refuses a waiting request that can't be answered in time.
func (d *Dispatcher) refuseLate(now time.Time, place int32, choice placing.Choice) {
	request := d.waiting.At(place)
	d.sizesOf(request).Decide(request.Hint, false)
	d.refuse(place, result.QueueTimeout, d.returns.Next(now), choice)
}

// asked returns what a waiting request is placed by.
func (d *Dispatcher) asked(request *queue.Request, sizes *fair.Sizes) placing.Request {
	within := d.shares.Within(d.now, int(request.Team)) || request.Class != "" && sizes.Favours(request.Hint)
	return placing.Request{
		Prompt: &request.Prompt, Since: request.Since, Due: request.Due, Avoid: request.Avoid, Within: within, Long: sizes.LacksLong(request.Hint),
		From: d.dataCentres[d.entries.At(request.Entry).Router.Host()],
	}
}

// sizesOf returns what is known of the sizes of a request's kind.
func (d *Dispatcher) sizesOf(request *queue.Request) *fair.Sizes {
	of, known := d.sizes[request.Class]
	if !known {
		of = &fair.Sizes{}
		d.sizes[request.Class] = of
	}
	return of
}

func (d *Dispatcher) grant(now time.Time, place int32, choice placing.Choice) {
	request := d.waiting.At(place)
	flying := attempt{entry: request.Entry, attempt: request.Attempt, team: request.Team, charged: max(1, request.Hint)}
	var given cell.Grant
	flying.placed, given = d.places.Grant(now, choice, &request.Prompt)
	given.Attempt = request.Attempt
	d.countGrant(request)
	d.waiting.Take(place)
	d.shares.Use(int(flying.team), flying.charged)
	d.dues.Begin(now, int(flying.team), flying.charged)
	d.returns.Granted(now)
	d.add(flying)
	d.out.Grant(d.entries.At(flying.entry), given)
}
