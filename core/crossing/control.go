package crossing

import (
	"cmp"
	"time"

	"ryelug/core/cell"
)

const (
	// maxSites limits the data centres of a cell, as the state grows with their square. It is at most 32, the bits of Costs.entered.
	maxSites = 16
	// maxClasses limits the request classes whose bytes are averaged separately.
	maxClasses = 64
	// usualBytes is the size assumed of a request with its answer while none of its class has ended.
	usualBytes = 4_000
)

// Site is the index of a data centre in a Control.
type Site int32

// NoSite is the Site of an unknown data centre.
const NoSite Site = -1

// Scope is where a request may be sent.
type Scope uint8

// The scopes.
const (
	Anywhere Scope = iota // Anywhere: to all data centres.
	Own                   // Own: to endpoints in the data centre of the entry only.
	Others                // Others: to endpoints in other data centres, and to its own if none of them takes the request.
)

// Trip holds the properties of a request that the decision depends on.
type Trip struct {
	Class       string
	Part        uint64        // Part identifies the shared part of the prompt; zero if there is none.
	Waited      time.Duration // Waited is how long the request has waited for a grant.
	Left        time.Duration // Left is the time until the objective.
	InOwn       time.Duration // InOwn is the time to the answer in the own data centre by the models of its engines; zero if there are none.
	InOther     time.Duration // InOther is the same in the other data centre where it is the shortest, without the delay of the path.
	IsOwnLate   bool          // IsOwnLate is true if by these models no engine of the own data centre would answer in time.
	OtherReread time.Duration // OtherReread is the time to read shared parts again in the other data centre where this takes least.
}

// hasWaitedLong reports whether the request has waited for so long that its own data centre counts as late.
func (t *Trip) hasWaitedLong() bool {
	return t.Waited > time.Duration(lateFraction*float64(t.Waited+t.Left))
}

// Decision is where a request may be sent, and why.
type Decision struct {
	Scope   Scope
	Cause   Cause         // Cause says why the request leaves if it does.
	InOwn   time.Duration // InOwn is the predicted time to the answer in the own data centre.
	InOther time.Duration // InOther is the predicted time in the best other data centre, without the price of the bytes.
	Bytes   int           // Bytes is the expected size of the request with its answer.
}

// Control decides on the traffic between the data centres of one cell. It is not safe for concurrent use.
type Control struct {
	config Config
	sites  []site
	bytes  map[string]int // bytes holds the moving average of the size of a request with its answer, by class.
	spills []Spill        // spills are those since the last TakeSpills.
}

// New returns a Control without data centres.
func New(config Config) *Control {
	return &Control{config: config, bytes: make(map[string]int)}
}

// Config returns the configuration.
func (c *Control) Config() Config { return c.config }

// Site returns the index of a data centre, which is added if it is new; NoSite for an empty name and beyond maxSites.
func (c *Control) Site(name string) Site {
	for i := range c.sites {
		if c.sites[i].name == name {
			return Site(i)
		}
	}
	if name == "" || len(c.sites) == maxSites {
		return NoSite
	}
	c.sites = append(c.sites, site{name: name})
	for i := range c.sites {
		for len(c.sites[i].paths) < len(c.sites) {
			c.sites[i].paths = append(c.sites[i].paths, path{})
		}
	}
	return Site(len(c.sites) - 1)
}

// ClearLoads sets the loads of all data centres to zero, before AddLoad.
func (c *Control) ClearLoads() {
	for i := range c.sites {
		c.sites[i].load = Load{}
	}
}

// AddLoad adds the load of an open endpoint to that of its data centre.
func (c *Control) AddLoad(at Site, load Load) {
	if at == NoSite {
		return
	}
	c.sites[at].load.Slots += load.Slots
	c.sites[at].load.Running += load.Running
}

// Arrived records a request of a data centre's callers, which the part of the demand that may leave is counted by.
func (c *Control) Arrived(now time.Time, from Site) {
	if from == NoSite {
		return
	}
	own := &c.sites[from]
	c.update(now, from)
	own.credit = min(maxCredit, own.credit+own.share)
}

// update updates the share of a data centre.
func (c *Control) update(now time.Time, from Site) {
	own := &c.sites[from]
	hasRoom, hasPath, limit := false, false, 0.0
	for i := range c.sites {
		if Site(i) == from || c.sites[i].load.Slots == 0 {
			continue
		}
		along := &own.paths[i]
		along.refresh(now)
		hasPath = hasPath || along.mayCarry(now)
		limit = max(limit, along.share())
		hasRoom = hasRoom || c.sites[i].hasRoom(now) && along.mayCarry(now)
	}
	if hasPath {
		limit = max(limit, step) // The attempts that show whether a path that was cut has recovered.
	}
	own.update(now, hasRoom, limit)
}

// Decide returns where a request of a data centre's callers may be sent. It allocates nothing.
func (c *Control) Decide(now time.Time, from Site, trip *Trip) Decision {
	decision := Decision{Bytes: c.bytesOf(trip.Class)}
	if from == NoSite || c.sites[from].load.Slots == 0 {
		decision.Cause = OwnClosed
		return decision
	}
	own := &c.sites[from]
	isWorthwhile, hasRoom := c.compare(now, from, trip, &decision)
	if isWorthwhile && own.isShort(trip) {
		own.need(now)
	}
	c.update(now, from)
	need := dearCredit
	if isWorthwhile {
		need = cheapCredit
	}
	decision.Scope = Own
	if hasRoom && own.share > 0 && own.credit >= need {
		decision.Scope = Others
	}
	return decision
}

// compare predicts the time to the answer in the own and in the best other data centre, and reports whether leaving is
// worthwhile, and whether another data centre has room at all.
func (c *Control) compare(now time.Time, from Site, trip *Trip, decision *Decision) (isWorthwhile, hasRoom bool) {
	own := &c.sites[from]
	best := time.Duration(0)
	for i := range c.sites {
		to, along := &c.sites[i], &own.paths[i]
		if !c.mayEnter(now, from, Site(i)) {
			continue
		}
		answer := cmp.Or(trip.InOther, to.answer, own.answer)
		inOther := answer + along.delay + time.Duration(along.failures*float64(lossCost))
		if !hasRoom || inOther < best {
			best, hasRoom = inOther, true
		}
	}
	decision.InOwn = cmp.Or(trip.InOwn, own.answer) + own.expectedWait(trip.Waited)
	isLate := trip.IsOwnLate || decision.InOwn > trip.Left || trip.hasWaitedLong()
	if isLate && own.isShort(trip) {
		own.lateAt = now
	}
	if !hasRoom {
		decision.Cause = Settles
		return false, false
	}
	decision.InOther = best
	switch {
	case isLate && decision.InOther <= trip.Left:
		decision.Cause = OwnLate
		return true, true
	case decision.InOwn-decision.InOther > c.config.price(decision.Bytes):
		decision.Cause = Gains
		return true, true
	}
	decision.Cause = Settles
	return false, true
}

// Costs holds, for each data centre, what a request costs there beyond what its endpoints tell.
type Costs struct {
	of      [maxSites]time.Duration
	entered uint32 // entered has a bit for each data centre that takes the request.
	barred  uint32 // barred has a bit for each data centre that the request doesn't reach in time, as the path is cut, fails or is slow.
}

// Of returns the cost of an endpoint in a data centre, as a time.
func (c *Costs) Of(to Site) time.Duration {
	if to == NoSite {
		return usualDelay
	}
	return c.of[to]
}

// MayEnter reports whether a data centre takes the request although it has come elsewhere.
func (c *Costs) MayEnter(to Site) bool { return to != NoSite && c.entered>>to&1 == 1 }

// IsBarred reports whether the request would be lost or late on the path to a data centre.
func (c *Costs) IsBarred(to Site) bool { return to != NoSite && c.barred>>to&1 == 1 }

// SetCosts sets the costs of a request of a data centre's callers: none there, elsewhere the delay and the failures of the path, the
// price of the bytes, and the time to read a shared part where it won't be asked for again.
func (c *Control) SetCosts(now time.Time, from Site, trip *Trip, costs *Costs) {
	if from == NoSite {
		return
	}
	price := c.config.price(c.bytesOf(trip.Class))
	for i := range c.sites {
		if Site(i) == from {
			continue
		}
		along := &c.sites[from].paths[i]
		if c.mayEnter(now, from, Site(i)) {
			costs.entered |= 1 << i
		}
		if along.isLost && !along.mayCarry(now) || along.delay >= trip.Left {
			costs.barred |= 1 << i
		}
		costs.of[i] = along.delay + price + time.Duration(along.failures*float64(lossCost))
		if along.isProbed {
			costs.of[i] += lossCost
		}
	}
	if trip.Part == 0 {
		return
	}
	home := c.home(costs, trip.Part)
	for i := range c.sites {
		if Site(i) != from && Site(i) != home {
			costs.of[i] += trip.OtherReread
		}
	}
}

// IsConfined reports whether a request of a data centre's callers with this time left can't reach a data centre with open endpoints in
// time, as the path is cut, fails or is slow.
func (c *Control) IsConfined(from Site, left time.Duration) bool {
	if from == NoSite {
		return false
	}
	for i := range c.sites {
		along := &c.sites[from].paths[i]
		if Site(i) != from && c.sites[i].load.Slots > 0 && (along.isLost || along.delay >= left) {
			return true
		}
	}
	return false
}

func (c *Control) mayEnter(now time.Time, from, to Site) bool {
	along := &c.sites[from].paths[to]
	along.refresh(now)
	return from != to && c.sites[to].hasRoom(now) && along.mayCarry(now)
}

// home returns the data centre to which requests with a shared part leave if none has the part cached: the same one for all of
// them, as long as it takes them.
func (c *Control) home(costs *Costs, part uint64) Site {
	home, most := NoSite, uint64(0)
	for i := range c.sites {
		if weight := mix(part + uint64(i)); costs.MayEnter(Site(i)) && (home == NoSite || weight > most) {
			home, most = Site(i), weight
		}
	}
	return home
}

// mix distributes a number evenly over 64 bits (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Ticket is the record of a granted request, which its owner passes to Answered and Failed. Its zero value is not recorded.
type Ticket struct {
	isRecorded bool
	from, to   Site
	epoch      uint32
	isAnswered bool
}

// Crosses reports whether the request went to another data centre.
func (t *Ticket) Crosses() bool { return t.isRecorded && t.from != t.to }

// Sent records a granted request.
func (c *Control) Sent(now time.Time, from, to Site, trip *Trip, decision *Decision) Ticket {
	if from == NoSite || to == NoSite {
		return Ticket{}
	}
	own := &c.sites[from]
	ticket := Ticket{isRecorded: true, from: from, to: to}
	if from == to {
		own.wait += (trip.Waited - own.wait) / answerWeight
		return ticket
	}
	own.credit = max(-maxCredit, own.credit-1)
	along := &own.paths[to]
	along.took = cmp.Or(along.took, c.sites[to].answer) // Engines take longer than minStall for their first answers.
	ticket.epoch = along.sent(now)
	along.counts[decision.Cause].add(decision.Bytes)
	c.recordSpill(now, from, to, trip, decision)
	return ticket
}

// Answered records the answer to a request, which took this time without the wait for a slot at its endpoint.
func (c *Control) Answered(now time.Time, ticket *Ticket, took time.Duration) {
	c.recordAnswer(now, ticket, took, true)
}

// AnsweredWhole records an answer as Answered does where others are recorded at their first tokens: its time can't be compared with theirs.
func (c *Control) AnsweredWhole(now time.Time, ticket *Ticket, took time.Duration) {
	c.recordAnswer(now, ticket, took, false)
}

func (c *Control) recordAnswer(now time.Time, ticket *Ticket, took time.Duration, isComparable bool) {
	if !ticket.isRecorded || ticket.isAnswered {
		return
	}
	ticket.isAnswered = true
	usual := &c.sites[ticket.to].answer
	if ticket.from != ticket.to {
		c.sites[ticket.from].paths[ticket.to].answered(now, ticket.epoch, took, took-*usual, isComparable && *usual > 0)
		return
	}
	if !isComparable {
		return
	}
	if *usual == 0 {
		*usual = took
	}
	*usual += (took - *usual) / answerWeight
}

// Failed records the end of a request without an answer. It reports whether the path is to blame rather than the endpoint.
func (c *Control) Failed(now time.Time, ticket *Ticket, outcome cell.Outcome) bool {
	if !ticket.Crosses() || ticket.isAnswered {
		return false
	}
	ticket.isAnswered = true
	along := &c.sites[ticket.from].paths[ticket.to]
	along.failed(now, ticket.epoch, outcome)
	return along.isProbed
}

// Learn records the size of a request with its answer.
func (c *Control) Learn(class string, bytes int) {
	average, known := c.bytes[class]
	switch {
	case bytes <= 0 || !known && len(c.bytes) == maxClasses:
	case !known:
		c.bytes[class] = bytes
	default:
		c.bytes[class] = average + (bytes-average)/answerWeight
	}
}

func (c *Control) bytesOf(class string) int {
	if average, known := c.bytes[class]; known {
		return average
	}
	return usualBytes
}
