package dispatch

import (
	"math"
	"time"

	"ryelug/core/cell"
	"ryelug/core/fair"
	"ryelug/core/limit"
)

// Order says which waiting request goes next; the zero value of Config means Fair.
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
	window time.Duration // window is the time from a grant to the latest arrival at the endpoint.
	policy Policy
	known  bool // known is true once there is a policy.
	slots  int  // slots is the sum of the warm limits of open endpoints.

	leastShare    int
	mergedVirtual float64 // mergedVirtual is the greatest virtual time that an entry brought.

	teams      []team
	teamIndex  map[cell.TeamID]int32
	ledger     fair.Ledger
	waits      []wait
	freeWaits  []int32
	byTeam     links
	byArrival  links
	arrivals   list
	grantedAt  time.Time
	grantEvery time.Duration

	endpoints     []endpoint
	endpointIndex map[cell.EndpointID]int32
	room          fair.Heap // room orders the endpoints that may take work by their load.

	entries     []entry
	entryIndex  map[cell.RouterID]int32
	freeEntries []int32
	flights     []flight
	freeFlights []int32
	byEndpoint  links
	byOrphaned  links
	orphans     list

	stakes      limit.Stakes
	stakeExpiry time.Time

	now time.Time // now is the time of the last Step.
	out outbox
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
		cell:          config.Cell,
		order:         config.Order,
		window:        config.GrantValid + config.StakeMargin,
		teamIndex:     make(map[cell.TeamID]int32),
		endpointIndex: make(map[cell.EndpointID]int32),
		entryIndex:    make(map[cell.RouterID]int32),
		waits:         make([]wait, 1),
		flights:       make([]flight, 1),
	}
	d.growLinks()
	return d
}

// Step takes in one event at the given time and returns what is to be done; the
// result is valid until the next Step.
func (d *Dispatcher) Step(now time.Time, ev Event) []Action {
	d.now = now
	d.out.reset()
	if !d.stakeExpiry.IsZero() && !now.Before(d.stakeExpiry) {
		d.refreshStakes(now)
	}
	d.take(now, ev)
	d.pump(now)
	return d.out.actions
}

func (d *Dispatcher) take(now time.Time, ev Event) {
	switch ev := ev.(type) {
	case *Policy:
		d.setPolicy(now, ev)
	case *Voters:
		d.stakes.SetVoters(now, ev.Hosts, ev.Total, d.policy.LongestRequest+d.window)
		d.refreshStakes(now)
	case *Join:
		d.join(now, ev)
	case *Renew:
		d.renew(now, ev)
	case *Leave:
		d.leave(now, ev)
	case *Want:
		d.want(now, ev)
	case *Withdraw:
		d.withdraw(ev)
	case *Progressed:
		d.progressed(now, ev)
	case *Ended:
		d.ended(now, ev)
	case *Load:
		d.load(now, ev)
	case *Unreachable:
		d.unreachable(now, ev)
	case *Tick:
		d.tick(now)
	}
}

func (d *Dispatcher) tick(now time.Time) {
	d.expireWaits(now)
	d.expireOrphans(now)
	for i := range d.endpoints {
		at := &d.endpoints[i]
		at.gate.Elapse(now)
		if !at.warm || at.gate.State() != limit.Warm {
			d.refreshCaps(now, int32(i))
		}
	}
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
	d.setEndpoints(policy.Endpoints)
	d.refreshStakes(now)
	if d.isClosed() {
		d.refuseAll(now)
	}
}

func (d *Dispatcher) refreshStakes(now time.Time) {
	d.stakeExpiry = d.stakes.NextExpiry(now)
	for i := range d.endpoints {
		d.refreshCaps(now, int32(i))
	}
}

// pump grants while a request waits and an endpoint has room.
func (d *Dispatcher) pump(now time.Time) {
	for d.room.Len() > 0 {
		slot := d.next()
		if slot == none {
			return
		}
		d.grant(now, slot, d.pick(d.waits[slot].avoid))
	}
}

// next returns the waiting request that the order puts first.
func (d *Dispatcher) next() int32 {
	switch d.order.(type) {
	case FirstCome:
		return d.arrivals.head
	default:
		least, ok := d.ledger.Least()
		if !ok {
			return none
		}
		return d.teams[least].queue.head
	}
}

// pick returns the least loaded endpoint with room, another than avoid if there is one.
func (d *Dispatcher) pick(avoid int32) int32 {
	if other, ok := d.room.MinExcept(int(avoid)); ok {
		return int32(other)
	}
	least, _ := d.room.Min()
	return int32(least)
}

func (d *Dispatcher) grant(now time.Time, slot, at int32) {
	waiting := d.waits[slot]
	d.unqueue(slot)
	served := &d.teams[waiting.team]
	charge := served.estimate.Of(waiting.hint, d.policy.LargestCost)
	served.granted(now)
	d.cellGranted(now)
	start := d.endpoints[at].gate.Start()
	d.fly(flight{
		entry: waiting.entry, attempt: waiting.attempt, team: waiting.team,
		endpoint: at, start: start, charged: charge, granted: now,
	})
	by := &d.entries[waiting.entry]
	d.out.grant(by, cell.Grant{Attempt: waiting.attempt, Endpoint: d.endpoints[at].id, Start: start})
}
