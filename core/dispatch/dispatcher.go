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

// Order says which waiting request goes next; a Config without one means Fair.
type Order interface{ order() }

// Fair serves the team with the least virtual counter.
type Fair struct{}

// FirstCome serves the request that waits longest; it is a baseline.
type FirstCome struct{}

func (Fair) order()      {}
func (FirstCome) order() {}

// Defaults of Config.
const (
	DefaultGrantValid  = 400 * time.Millisecond
	DefaultStakeMargin = 200 * time.Millisecond
)

// Config describes a Dispatcher.
type Config struct {
	Cell        cell.ID
	GrantValid  time.Duration // GrantValid is the time for which entries may use a grant.
	StakeMargin time.Duration // StakeMargin is the longest way of a request from an entry to an endpoint.
	Order       Order
}

// Dispatcher grants the work of one cell.
type Dispatcher struct {
	cell   cell.ID
	order  Order
	policy Policy
	known  bool // known is true once there is a policy.
	now    time.Time

	teams         []team
	teamIndex     slot.Index[cell.TeamID]
	leastShare    int
	ledger        fair.Ledger
	mergedVirtual float64 // mergedVirtual is the greatest virtual time that an entry brought.

	entries *session.Table
	waiting session.Waiting
	flights *flight.Table
	out     Outbox
	granted int // granted counts the grants since the last telling.
	periods int // periods counts the times at which requests began to wait.
	isBusy  bool
}

// New returns a Dispatcher that knows no policy, voter or entry yet.
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
		cell:      config.Cell,
		order:     config.Order,
		teamIndex: slot.NewIndex[cell.TeamID](),
		entries:   session.New(),
		flights:   flight.New(flight.Config{Window: config.GrantValid + config.StakeMargin}),
	}
	d.waiting = session.NewWaiting(d.entries, &d.ledger)
	return d
}

// Step takes in one event at the given time and returns what is to be done; the
// result is valid until the next Step.
func (d *Dispatcher) Step(now time.Time, ev Event) []Action {
	d.now = now
	d.out.Reset()
	d.flights.Expire(now)
	d.take(now, ev)
	d.grantWaiting(now)
	d.countPeriods()
	return d.out.Actions()
}

// ReportDue returns the latest time, after one time and not after the other, from
// which on reports let further stakes count at cold endpoints; zero if there is none.
func (d *Dispatcher) ReportDue(after, by time.Time) time.Time { return d.flights.ReportDue(after, by) }

// WantReports makes the reports due that let further stakes count at cold endpoints.
func (d *Dispatcher) WantReports(now time.Time) { d.flights.WantReports(now) }

func (d *Dispatcher) take(now time.Time, ev Event) {
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
	case *Siblings:
		d.hearSiblings(ev)
	case *Move:
		d.move(ev)
	}
}

func (d *Dispatcher) tick(now time.Time) {
	d.expireWaiting(now)
	for place, ok := d.flights.Expired(now); ok; place, ok = d.flights.Expired(now) {
		d.dropFlight(place)
	}
	d.flights.Elapse(now)
}

func (d *Dispatcher) setPolicy(now time.Time, policy *Policy) {
	d.policy = *policy
	d.known = true
	d.leastShare = math.MaxInt
	for i := range policy.Teams {
		share := policy.Teams[i].Share
		d.ledger.SetShare(int(d.teamOf(policy.Teams[i].Team)), share)
		d.leastShare = min(d.leastShare, share)
	}
	limits := make([]flight.Limits, len(policy.Endpoints))
	for i, at := range policy.Endpoints {
		limits[i] = flight.Limits{
			Endpoint: at.Endpoint, Warm: at.WarmLimit, Cold: at.ColdLimit, WarmUp: policy.WarmUpRequests, Open: !at.Closed,
		}
	}
	d.flights.SetLimits(now, policy.LongestRequest, limits)
	if d.isClosed() {
		d.refuseAll()
	}
}

// Need returns how soon the report of an endpoint is needed.
func (d *Dispatcher) Need(endpoint cell.EndpointID) flight.Need { return d.flights.Need(endpoint) }

// TakeWanted tells whether a report has become due out of turn since the last call.
func (d *Dispatcher) TakeWanted() bool { return d.flights.TakeWanted() }

// isClosed tells whether the policy leaves no endpoint open.
func (d *Dispatcher) isClosed() bool { return d.known && d.flights.Slots() == 0 }

// spread bounds how far apart the counters of backlogged teams stand.
func (d *Dispatcher) spread() float64 {
	if !d.known {
		return math.Inf(1)
	}
	return fair.Spread(d.policy.LargestCost, d.flights.Slots(), d.leastShare)
}
