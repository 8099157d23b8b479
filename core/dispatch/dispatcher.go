package dispatch

import (
	"math"
	"time"

	"ryelug/core/cell"
	"ryelug/core/fair"
	"ryelug/core/flight"
	"ryelug/core/session"
	"ryelug/core/slot"
)

// Order selects the waiting request that is granted next: Fair or FirstCome.
type Order interface{ order() }

// Fair selects the oldest request of the team with the least virtual counter (cost charged divided by share).
type Fair struct{}

// FirstCome selects the request that has waited longest, whatever its team. It is a baseline for comparisons with Fair.
type FirstCome struct{}

func (Fair) order()      {}
func (FirstCome) order() {}

// Defaults of the fields of Config with the same names.
const (
	DefaultGrantValid  = 400 * time.Millisecond
	DefaultStakeMargin = 200 * time.Millisecond
)

// Config configures a Dispatcher.
type Config struct {
	Cell        cell.ID
	GrantValid  time.Duration // GrantValid is how long an entry router may use a grant; zero means DefaultGrantValid.
	StakeMargin time.Duration // StakeMargin is the longest time that a request takes from an entry router to an endpoint; zero means DefaultStakeMargin.
	Order       Order         // Order selects the next request; nil means Fair.
}

// Dispatcher grants, queues and rejects the requests of one cell.
type Dispatcher struct {
	cell      cell.ID
	order     Order
	policy    Policy
	hasPolicy bool // hasPolicy is true once a Policy has been received.
	now       time.Time

	teams         []teamState
	teamIndexes   slot.Index[cell.TeamID]
	leastShare    int
	ledger        fair.Ledger
	mergedVirtual float64 // mergedVirtual is the greatest virtual time among those that joining entry routers saw at earlier dispatchers.

	entries           *session.Table
	waiting           session.Waiting
	flights           *flight.Table
	out               Outbox
	grantsSinceReport int  // grantsSinceReport counts the grants since the last call of ServiceReport.
	backlogPeriods    int  // backlogPeriods counts how often the backlog has gone from empty to non-empty.
	isBacklogged      bool // isBacklogged is true if requests waited after the previous step.
}

// New returns a Dispatcher without policy, voters or entry routers; events provide them.
func New(config Config) *Dispatcher {
	if config.GrantValid <= 0 {
		config.GrantValid = DefaultGrantValid
	}
	if config.StakeMargin <= 0 {
		config.StakeMargin = DefaultStakeMargin
	}
	if config.Order == nil {
		config.Order = Fair{}
	}
	d := &Dispatcher{
		cell:        config.Cell,
		order:       config.Order,
		teamIndexes: slot.NewIndex[cell.TeamID](),
		entries:     session.New(),
		flights:     flight.New(flight.Config{Window: config.GrantValid + config.StakeMargin}),
	}
	d.waiting = session.NewWaiting(d.entries, &d.ledger)
	return d
}

// Step processes one event at the given time, grants what can be granted then, and
// returns the resulting actions; they are valid until the next Step.
func (d *Dispatcher) Step(now time.Time, ev Event) []Action {
	d.now = now
	d.out.Reset()
	d.flights.Expire(now)
	d.handle(now, ev)
	d.grantWaiting(now)
	d.countBacklogPeriods()
	return d.out.Actions()
}

// ReportDue returns the latest time in the interval (after, by] at which a recently lent stake
// becomes usable for endpoints that are not warm: a load report sampled from then on includes
// every request that the stake's previous holder granted and that still runs. It returns the
// zero time if there is no such time or all open endpoints are warm.
func (d *Dispatcher) ReportDue(after, by time.Time) time.Time { return d.flights.ReportDue(after, by) }

// RequestReports marks load reports as due at once for the endpoints that are not warm and whose last report is too old to
// make every capacity stake held by this dispatcher usable there.
func (d *Dispatcher) RequestReports(now time.Time) { d.flights.RequestReports(now) }

func (d *Dispatcher) handle(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case *Policy:
		d.setPolicy(now, ev)
	case *Voters:
		d.flights.SetVoters(now, ev.Hosts, ev.Total)
	case *Join:
		d.join(now, ev)
	case *Renew:
		d.renew(now, ev)
	case *Leave:
		d.leave(now, ev)
	case *Want:
		d.want(now, ev)
	case *Withdraw:
		d.waiting.Withdraw(ev.Router, ev.Session, ev.Attempts)
	case *Progressed:
		d.progressed(now, ev)
	case *Ended:
		d.ended(now, ev)
	case *Load:
		d.load(now, ev)
	case *Unreachable:
		if index, ok := d.flights.Find(ev.Endpoint); ok {
			d.flights.PollLost(now, index)
		}
	case *Tick:
		d.tick(now)
	case *SiblingService:
		d.chargeSiblingService(ev)
	case *Move:
		d.move(ev)
	}
}

func (d *Dispatcher) tick(now time.Time) {
	d.expireWaiting(now)
	for slotIndex, ok := d.flights.Expired(now); ok; slotIndex, ok = d.flights.Expired(now) {
		d.dropFlight(slotIndex)
	}
	d.flights.Update(now)
}

func (d *Dispatcher) setPolicy(now time.Time, policy *Policy) {
	d.policy = *policy
	d.hasPolicy = true
	d.leastShare = math.MaxInt
	for i := range policy.Teams {
		share := policy.Teams[i].Share
		d.ledger.SetShare(int(d.ensureTeam(policy.Teams[i].Team)), share)
		d.leastShare = min(d.leastShare, share)
	}
	limits := make([]flight.Limits, len(policy.Endpoints))
	for i, ep := range policy.Endpoints {
		limits[i] = flight.Limits{
			Endpoint: ep.Endpoint, Warm: ep.WarmLimit, Cold: ep.ColdLimit, WarmUp: policy.WarmUpRequests, Open: !ep.Closed,
		}
	}
	d.flights.SetLimits(now, policy.LongestRequest, limits)
	if d.isClosed() {
		d.refuseAll()
	}
}

// Need returns how soon a load report of an endpoint is needed; it is the zero Need for an unknown endpoint.
func (d *Dispatcher) Need(endpoint cell.EndpointID) flight.Need { return d.flights.Need(endpoint) }

// TakeReportRequested reports whether any load report has become due ahead of schedule since the last call.
func (d *Dispatcher) TakeReportRequested() bool { return d.flights.TakeReportRequested() }

// isClosed reports whether there is a policy under which no endpoint is open for new work.
func (d *Dispatcher) isClosed() bool { return d.hasPolicy && d.flights.Slots() == 0 }

// maxSpread returns the largest possible difference between the virtual counters of two backlogged teams;
// it is infinite before the first policy.
func (d *Dispatcher) maxSpread() float64 {
	if !d.hasPolicy {
		return math.Inf(1)
	}
	return fair.CounterSpread(d.policy.LargestCost, d.flights.Slots(), d.leastShare)
}
