package admission

import (
	"math"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/due"
	"ryelug/core/fair"
	"ryelug/core/limit"
	"ryelug/core/placing"
	"ryelug/core/queue"
	"ryelug/core/result"
	"ryelug/core/session"
	"ryelug/core/slot"
)

const (
	// stakeHorizon is how long a smaller number of stakes is not believed; any former holder's grants have arrived by then.
	stakeHorizon = 2 * limit.RateWindow
	// closedRetry is the RetryAfter while no endpoint is open.
	closedRetry = time.Second
	// fadeEvery is the time between two fadings of what teams got more than others.
	fadeEvery = 100 * time.Millisecond
	// fadeSpan is the time constant of it: a sixth of the span in which a team is promised its part.
	fadeSpan = time.Second
)

// Config describes a Dispatcher.
type Config struct {
	Cell cell.ID
}

// Dispatcher admits the work of one cell.
type Dispatcher struct {
	cell cell.ID
	now  time.Time

	teams     []team
	teamIndex slot.Index[cell.TeamID]
	ledger    fair.Ledger
	shares    fair.Shares
	dues      due.Table // dues holds what teams asked for in the whole fleet, and what began.

	entries     *session.Table
	dataCentres map[cell.HostID]string // dataCentres says where the entries are, as far as it is known.
	waiting     session.Waiting
	order       []turn         // order holds the waiting requests while they are tried.
	failed      map[string]int // failed counts, by class, those that found no room meanwhile.
	fadedAt     time.Time      // fadedAt is when the ledger faded last.
	triedAt     time.Time      // triedAt is when the waiting requests were tried last.
	returns     queue.Returns
	sizes       map[string]*fair.Sizes // sizes is by the class of requests.

	flights slot.Slab[attempt]
	places  *placing.Table
	stakes  limit.Stakes
	out     dispatch.Outbox
}

// team is what is known of a team's requests.
type team struct {
	id       cell.TeamID
	inFlight int
	active   time.Time
	ahead    cell.Cost // ahead is what the team's requests cost that come before one that is put in order.
	oldest   int32     // oldest is the place of the next request of a team with few, while they are put in order.
	tally    dispatch.TeamTally
}

// New returns a Dispatcher that knows no policy, voter or entry yet.
func New(config Config) *Dispatcher {
	d := &Dispatcher{
		cell:      config.Cell,
		teamIndex: slot.NewIndex[cell.TeamID](),
		entries:   session.New(),
		failed:    make(map[string]int),
		sizes:     make(map[string]*fair.Sizes),
	}
	d.waiting = session.NewWaiting(d.entries, &d.ledger)
	d.places = placing.New(&d.stakes)
	return d
}

// Step takes in one event at the given time and returns what is to be done; the
// result is valid until the next Step.
func (d *Dispatcher) Step(now time.Time, ev dispatch.Event) []dispatch.Action {
	d.now = now
	d.out.Reset()
	d.fade(now)
	switch ev := ev.(type) {
	case *dispatch.Want:
		d.want(now, ev)
		return d.out.Actions()
	case *dispatch.Policy:
		d.setPolicy(ev)
	case *dispatch.Voters:
		d.stakes.SetVoters(now, ev.Hosts, ev.Total, stakeHorizon)
	case *dispatch.Join:
		d.join(now, ev)
	case *dispatch.Renew:
		d.renew(ev)
		return d.out.Actions()
	case *dispatch.Leave:
		d.leave(ev)
	case *dispatch.Withdraw:
		d.waiting.Withdraw(ev.Router, ev.Session, ev.Attempts)
	case *dispatch.Unserved:
		d.unserved(now, ev)
		return nil
	case *dispatch.Progressed:
		d.progressed(now, ev)
	case *dispatch.Ended:
		d.ended(now, ev)
	case *dispatch.Holds:
		d.places.Learn(ev.Endpoint, ev.Parts)
		return nil
	case *dispatch.Tick:
	case *dispatch.Load, *dispatch.Unreachable, *dispatch.Siblings, *dispatch.Move:
		return nil // The platform's registry takes the place of reports, and such a pool is one cell.
	}
	d.tryWaiting(now)
	return d.out.Actions()
}

// fade lets a team that got more than others while there was room start anew when there is none.
func (d *Dispatcher) fade(now time.Time) {
	passed := now.Sub(d.fadedAt)
	if passed < fadeEvery {
		return
	}
	d.fadedAt = now
	d.ledger.Fade(math.Exp(-passed.Seconds() / fadeSpan.Seconds()))
}

func (d *Dispatcher) setPolicy(policy *dispatch.Policy) {
	d.dataCentres = policy.EntryDataCentres
	d.shares.SetRate(policy.FairRate)
	for i := range policy.Teams {
		d.ledger.SetShare(int(d.teamOf(policy.Teams[i].Team)), policy.Teams[i].Share)
	}
	d.places.SetPolicy(policy)
}

// teamOf returns the index of a team and makes one for a new name.
func (d *Dispatcher) teamOf(id cell.TeamID) int32 {
	place, isNew := d.teamIndex.Ensure(id)
	if isNew {
		d.teams = append(d.teams, team{id: id})
		d.ledger.Grow(len(d.teams))
		d.shares.Grow(len(d.teams))
		d.dues.Grow(len(d.teams))
		d.waiting.Grow(len(d.teams))
	}
	return place
}

func (d *Dispatcher) join(now time.Time, ev *dispatch.Join) {
	index, isNew := d.waiting.Join(ev.Router, ev.Session)
	if !isNew {
		return
	}
	d.stakes.Revoke(ev.Router)
	if ev.Stake {
		d.stakes.Lend(now.Add(-max(0, ev.Unlent)), ev.Router)
	}
	d.takeFlights(index, ev.Flights)
	d.mergeCounters(now, ev.Counters)
	for i := range ev.Kept {
		d.places.Keep(ev.Kept[i])
	}
}

// takeFlights makes an entry's account equal to what the entry says it has in flight.
func (d *Dispatcher) takeFlights(index int32, flights []cell.Flight) {
	listed := make(map[cell.AttemptID]bool, len(flights))
	for i := range flights {
		listed[flights[i].Attempt] = true
		if _, ok := d.entries.At(index).Flights[flights[i].Attempt]; ok {
			continue
		}
		d.add(attempt{
			entry: index, attempt: flights[i].Attempt, team: d.teamOf(flights[i].Team), charged: flights[i].Charged,
			placed: d.places.Adopt(d.places.Ensure(flights[i].Endpoint), int(flights[i].Charged)),
		})
	}
	for attempt, place := range d.entries.At(index).Flights {
		if !listed[attempt] {
			d.drop(place, &cell.End{Attempt: attempt, Outcome: cell.Unused})
		}
	}
}

// mergeCounters takes in the counters that an entry saw at its former dispatcher.
func (d *Dispatcher) mergeCounters(now time.Time, counters []cell.TeamCounter) {
	for i := range counters {
		if counters[i].Team == dispatch.VirtualTime {
			d.ledger.Advance(counters[i].Service)
		}
	}
	for i := range counters {
		if counters[i].Team == dispatch.VirtualTime {
			continue
		}
		index := d.teamOf(counters[i].Team)
		d.teams[index].active = now
		d.ledger.Merge(int(index), counters[i].Service)
	}
}

func (d *Dispatcher) renew(ev *dispatch.Renew) {
	if _, ok := d.entries.Present(ev.Router, ev.Session); ok {
		d.stakes.Renew(ev.Router, ev.StakeUntil)
	}
}

func (d *Dispatcher) leave(ev *dispatch.Leave) {
	index, ok := d.waiting.Leave(ev.Router, ev.Session)
	if !ok {
		return
	}
	for attempt, place := range d.entries.At(index).Flights {
		d.drop(place, &cell.End{Attempt: attempt, Outcome: cell.Cancelled})
	}
	d.stakes.Revoke(ev.Router)
	d.entries.Drop(index)
}

// refuse refuses a waiting request after a choice that found no endpoint for it.
func (d *Dispatcher) refuse(place int32, code result.Code, after time.Duration, choice placing.Choice) {
	request := d.waiting.Take(place)
	d.countRefusal(&request)
	d.dues.Unmet(d.now, int(request.Team), 1)
	grounds := dispatch.Grounds{
		Team: d.teams[request.Team].id, Within: d.shares.Within(d.now, int(request.Team)), Best: choice.Best,
		Waited: d.now.Sub(request.Since), Class: request.Class, Tokens: request.Prompt.Tokens(), Obstacles: choice.Obstacles,
	}
	if !request.Due.IsZero() {
		grounds.Left = request.Due.Sub(d.now)
	}
	d.out.Refuse(d.entries.At(request.Entry), request.Attempt, code, after, grounds)
}
