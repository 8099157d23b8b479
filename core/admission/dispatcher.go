package admission

import (
	"math"
	"time"

	"ryelug/core/cell"
	"ryelug/core/crossing"
	"ryelug/core/dispatch"
	"ryelug/core/due"
	"ryelug/core/fair"
	"ryelug/core/limit"
	"ryelug/core/placing"
	"ryelug/core/queue"
	"ryelug/core/result"
	"ryelug/core/rollout"
	"ryelug/core/session"
	"ryelug/core/slot"
	"ryelug/core/suspect"
)

const (
	// stakeDecreaseDelay is the time for which a decrease in the fleet's total number of stakes, which raises this
	// dispatcher's part of the cold rate, does not take effect. All grants of a former holder have reached their
	// endpoints by then.
	stakeDecreaseDelay = 2 * limit.RateWindow
	// closedRetry is the RetryAfter of a refusal while no endpoint of the cell is open.
	closedRetry = time.Second
	// decayInterval is the minimum time between two decays of the team counters.
	decayInterval = 100 * time.Millisecond
	// decayTimeConstant is the time constant of this decay: a sixth of the interval over which a team is guaranteed its
	// share.
	decayTimeConstant = time.Second
)

// Config describes a Dispatcher.
type Config struct {
	Cell     cell.ID
	Crossing crossing.Config // Crossing says where and how the Dispatcher decides on requests for other data centres.
}

// Dispatcher grants or refuses the requests of one cell. It is not safe for concurrent use: one owner calls Step.
type Dispatcher struct {
	cell cell.ID
	now  time.Time

	teams     []team
	teamIndex slot.Index[cell.TeamID]
	ledger    fair.Ledger
	shares    fair.Shares
	dues      due.Table // dues tracks, per team and for the whole fleet, the demand of callers and the work that began.

	entries     *session.Table
	dataCentres map[cell.HostID]string // dataCentres maps the hosts of entry routers to their data centres, as far as these are known.
	waiting     session.Waiting
	order       []turn         // order is a buffer for the waiting requests in the order in which they are tried.
	failedTries map[kind]int   // failedTries counts, by kind of request, the tries of the current pass that found no capacity.
	ahead       map[string]int // ahead counts, by kind.from, the requests of the current pass that stay waiting.
	decayedAt   time.Time      // decayedAt is the time of the last decay of the ledger.
	callRate    float64        // callRate is the rate at which the endpoints answer calls, as of the last pass; zero unless calls are paced.
	lastPassAt  time.Time      // lastPassAt is the time of the last pass over the waiting requests.
	returns     queue.RetrySchedule
	paced       dispatch.PacedSnapshot     // paced holds the counters of returnTimes.
	objectives  map[string]time.Duration   // objectives holds the time that demands have from the start, by request class; only kept while calls are paced.
	returnTimes queue.Appointments         // returnTimes are those of refused callers, in place of returns; only used while calls are paced.
	sizes       map[string]*fair.SizeStats // sizes holds size statistics by request class.

	flights    slot.Slab[attempt]
	endpoints  *placing.Table
	suspects   suspect.Table
	recorded   *suspect.Record         // recorded is the store's record that suspects has taken in last.
	broken     map[int32]*brokenEngine // broken holds, by endpoint, the engines that may have crashed.
	crashes    []Crash                 // crashes are those since the last TakeCrashes.
	rejections []suspect.Rejection     // rejections are those since the last TakeRejections.
	stakes     limit.Stakes
	rollout    *rolloutState     // rollout is the move of the cell's traffic to another version; nil if there is none.
	version    string            // version is that of the endpoints when all last had the same one; kept only where there may be roll-outs.
	verdicts   []rollout.Verdict // verdicts are those since the last TakeVerdicts.
	outbox     dispatch.Outbox
}

// team holds the requests and tallies of one team.
type team struct {
	id       cell.TeamID
	inFlight int
	active   time.Time
	ahead    cell.Cost // ahead is used by the method turns only: the total cost of the team's requests that it has already put in order.
	oldest   int32     // oldest is the index of the next request to put in order, where a team's oldest come first; only valid within turns.
	tally    dispatch.TeamTally
}

// New returns a Dispatcher without policy, voters or entries; these arrive as events.
func New(config Config) *Dispatcher {
	d := &Dispatcher{
		cell:        config.Cell,
		teamIndex:   slot.NewIndex[cell.TeamID](),
		entries:     session.New(),
		failedTries: make(map[kind]int),
		ahead:       make(map[string]int),
		sizes:       make(map[string]*fair.SizeStats),
		objectives:  make(map[string]time.Duration),
		broken:      make(map[int32]*brokenEngine),
	}
	d.waiting = session.NewWaiting(d.entries, &d.ledger)
	d.endpoints = placing.New(&d.stakes)
	d.endpoints.SetCrossing(config.Crossing)
	return d
}

// Step processes one event at the given time and returns the resulting actions. The slice and its actions are valid until
// the next Step.
func (d *Dispatcher) Step(now time.Time, ev dispatch.Event) []dispatch.Action {
	d.now = now
	d.outbox.Reset()
	d.decayCounters(now)
	switch ev := ev.(type) {
	case *dispatch.Want:
		d.handleWant(now, ev)
		return d.outbox.Actions()
	case *dispatch.Policy:
		d.setPolicy(ev)
	case *dispatch.Voters:
		d.stakes.SetVoters(now, ev.Hosts, ev.Total, stakeDecreaseDelay)
	case *dispatch.Join:
		d.handleJoin(now, ev)
	case *dispatch.Renew:
		d.handleRenew(ev)
		return d.outbox.Actions()
	case *dispatch.Leave:
		d.handleLeave(ev)
	case *dispatch.Withdraw:
		d.waiting.Withdraw(ev.Router, ev.Session, ev.Attempts)
	case *dispatch.Unserved:
		d.handleUnserved(now, ev)
		return nil
	case *dispatch.Progressed:
		d.handleProgressed(now, ev)
	case *dispatch.Ended:
		d.handleEnded(now, ev)
	case *dispatch.CacheReport:
		d.endpoints.SetReported(ev.Endpoint, ev.Parts)
		return nil
	case *dispatch.Tick:
		d.findCrashes(now)
		d.stepRollout(now)
	case *dispatch.Load, *dispatch.Unreachable, *dispatch.SiblingService, *dispatch.Move:
		return nil // Reports and moves between cells don't apply: the platform's registry describes the endpoints, and the pool is one cell.
	}
	d.tryWaiting(now)
	return d.outbox.Actions()
}

// decayCounters reduces the lead of teams that were served more than others while there was spare capacity, so that
// this does not count against them once capacity is short.
func (d *Dispatcher) decayCounters(now time.Time) {
	passed := now.Sub(d.decayedAt)
	if passed < decayInterval {
		return
	}
	d.decayedAt = now
	d.ledger.Decay(math.Exp(-passed.Seconds() / decayTimeConstant.Seconds()))
}

func (d *Dispatcher) setPolicy(policy *dispatch.Policy) {
	d.dataCentres = policy.EntryDataCentres
	d.shares.SetRate(policy.FairRate)
	for i := range policy.Teams {
		d.ledger.SetShare(int(d.teamOf(policy.Teams[i].Team)), policy.Teams[i].Share)
	}
	d.endpoints.SetPolicy(policy)
	d.setRollout(policy)
	d.mergeSuspects(policy.Suspects)
}

// teamOf returns the index of a team, adding the team if it is new.
func (d *Dispatcher) teamOf(id cell.TeamID) int32 {
	slotIndex, isNew := d.teamIndex.Ensure(id)
	if isNew {
		d.teams = append(d.teams, team{id: id})
		d.ledger.Grow(len(d.teams))
		d.shares.Grow(len(d.teams))
		d.dues.Grow(len(d.teams))
		d.waiting.Grow(len(d.teams))
	}
	return slotIndex
}

// handleJoin registers an entry router's session with its stake, its attempts in flight, its team counters and the
// prompt parts that it believes engines to have cached.
func (d *Dispatcher) handleJoin(now time.Time, ev *dispatch.Join) {
	index, isNew := d.waiting.Join(ev.Router, ev.Session)
	if !isNew {
		return
	}
	d.stakes.Revoke(ev.Router)
	if ev.Stake {
		d.stakes.Lend(now.Add(-max(0, ev.UncountedFor)), ev.Router)
	}
	d.syncFlights(index, ev.Flights)
	d.mergeTeamCounters(now, ev.Counters)
	for i := range ev.Cached {
		d.endpoints.AddCached(ev.Cached[i])
	}
	d.rejections = append(d.rejections, d.suspects.Learn(now, ev.Rejected)...)
}

// syncFlights replaces the recorded attempts in flight of an entry by those that it lists. Recorded ones that are not
// listed count as unused, which refunds their charge.
func (d *Dispatcher) syncFlights(index int32, flights []cell.Flight) {
	listed := make(map[cell.AttemptID]bool, len(flights))
	for i := range flights {
		listed[flights[i].Attempt] = true
		if _, ok := d.entries.At(index).Flights[flights[i].Attempt]; ok {
			continue
		}
		d.addAttempt(attempt{
			entry: index, attempt: flights[i].Attempt, team: d.teamOf(flights[i].Team), charged: flights[i].Charged,
			placed: d.endpoints.Adopt(d.endpoints.Ensure(flights[i].Endpoint), int(flights[i].Charged)),
		})
	}
	for attempt, slotIndex := range d.entries.At(index).Flights {
		if !listed[attempt] {
			d.endAttempt(slotIndex, &cell.End{Attempt: attempt, Outcome: cell.Unused})
		}
	}
}

// mergeCounters raises the virtual time and the team counters to those that an entry received from its former dispatcher.
func (d *Dispatcher) mergeTeamCounters(now time.Time, counters []cell.TeamCounter) {
	for i := range counters {
		if counters[i].Team == dispatch.VirtualTime {
			d.ledger.Advance(counters[i].Service)
		}
	}
	for i := range counters {
		if counters[i].Team == dispatch.VirtualTime || d.learnNote(&counters[i]) {
			continue
		}
		index := d.teamOf(counters[i].Team)
		d.teams[index].active = now
		d.ledger.Merge(int(index), counters[i].Service)
	}
}

func (d *Dispatcher) handleRenew(ev *dispatch.Renew) {
	if _, ok := d.entries.FindCurrent(ev.Router, ev.Session); ok {
		d.stakes.Renew(ev.Router, ev.StakeUntil)
	}
}

// handleLeave ends a session: its waiting requests and its stake are dropped, and its attempts in flight count as
// cancelled.
func (d *Dispatcher) handleLeave(ev *dispatch.Leave) {
	index, ok := d.waiting.Leave(ev.Router, ev.Session)
	if !ok {
		return
	}
	for attempt, slotIndex := range d.entries.At(index).Flights {
		d.endAttempt(slotIndex, &cell.End{Attempt: attempt, Outcome: cell.Cancelled})
	}
	d.stakes.Revoke(ev.Router)
	d.entries.Drop(index)
}

// refuse refuses the waiting request at the index, with the time after which its caller may retry and the reasons of the
// choice that found no endpoint.
func (d *Dispatcher) refuse(slotIndex int32, code result.Code, after time.Duration, choice placing.Choice) {
	request := d.waiting.Take(slotIndex)
	d.countRefusal(&request)
	d.dues.Unmet(d.now, int(request.Team), 1)
	details := dispatch.RefusalDetails{
		Team: d.teams[request.Team].id, WithinShare: d.shares.WithinShare(d.now, int(request.Team)), Best: choice.Best,
		Waited: d.now.Sub(request.Since), Class: request.Class, Tokens: request.Prompt.Tokens(), Obstacles: choice.Obstacles,
	}
	d.describePaced(&details, &request)
	if !request.Deadline.IsZero() {
		details.TimeLeft = request.Deadline.Sub(d.now)
	}
	d.outbox.Refuse(d.entries.At(request.Entry), request.Attempt, code, after, details)
}
