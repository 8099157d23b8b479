package intake

import (
	"net/netip"
	"sync/atomic"
	"time"

	"ryelug/core/cell"
	"ryelug/core/due"
	"ryelug/core/limit"
	"ryelug/core/neighbour"
)

const (
	// giveWay is the part of the processor up to which teams that are ahead are served while another one is behind: less than
	// that at which other routers stop handing connections over, so that those of teams that are behind find room.
	giveWay = 0.7
	// soon is when a caller should try again that came while work waited for a moment.
	soon = 20 * time.Millisecond
	// aheadReturn is when a caller of a team that is ahead should try again: who is behind is computed anew several times until then.
	aheadReturn = time.Second
	// returnSpread is the time over which callers are spread that come back,
	returnSpread = time.Second
	// returnSlots the number of times in it.
	returnSlots = 16
)

// FullLoad is the load of a router that bears no more, in thousandths of its processor.
const FullLoad = 1000

// Config sets up a Desk.
type Config struct {
	StrainLate     time.Duration // StrainLate is the lateness of the process from which on requests are bounded; zero is never.
	ProcessorShare float64       // ProcessorShare is the part of a core that the process has, in cores; zero is not known.
	BalancerLag    time.Duration // BalancerLag is the time in which the balancer notices that this router is not ready.
	Standings      *due.Standings
	Unserved       *due.Unserved // Unserved is told of requests that are refused here.
}

// Desk owns what a router knows of its own load and that of others. It may be used by many goroutines.
type Desk struct {
	config     Config
	strain     *limit.Strain
	load       *limit.Load
	neighbours neighbour.Table
	turned     atomic.Int64 // turned counts the callers that were told when to come back.
}

// New returns a Desk.
func New(config Config) *Desk {
	return &Desk{config: config, strain: limit.NewStrain(config.StrainLate), load: limit.NewLoad(config.ProcessorShare)}
}

// Arrival is a request that has come.
type Arrival struct {
	Cell cell.ID
	Team cell.TeamID
	Cost cell.Cost
}

// Verdict says what becomes of a request.
type Verdict int

// The verdicts on a request.
const (
	Serve      Verdict = iota
	Overloaded         // Overloaded: the router does not bear it.
	Ahead              // Ahead: the router is busy, and another team is behind.
)

// Enter decides on a request, and counts it in if it is to be served; Leave counts it out.
func (d *Desk) Enter(now time.Time, of *Arrival) Verdict {
	standing := d.config.Standings.Of(now, of.Cell, of.Team)
	verdict := Serve
	switch {
	case d.givesWay(standing):
		verdict = Ahead
	case !d.strain.Enter(now, of.Team, standing):
		verdict = Overloaded
	}
	return d.note(of, verdict)
}

// Leave counts a request of a team out that Enter has counted in.
func (d *Desk) Leave(team cell.TeamID) { d.strain.Leave(team) }

// MayRefuse tells whether some request would be refused now, for a first look that costs less than Refuses.
func (d *Desk) MayRefuse(now time.Time) bool {
	return d.strain.IsFull(now) || d.load.Used() >= giveWay && d.config.Standings.Any(now)
}

// Refuses decides on a request before anything is set up for it; one that it lets pass is decided on again by Enter.
func (d *Desk) Refuses(now time.Time, of *Arrival) Verdict {
	standing := d.config.Standings.Of(now, of.Cell, of.Team)
	verdict := Serve
	switch {
	case d.givesWay(standing):
		verdict = Ahead
	case d.strain.IsFull(now) && d.strain.Turns(now, of.Team, standing):
		verdict = Overloaded
	}
	return d.note(of, verdict)
}

// givesWay tells whether a team's requests give way to those of others.
func (d *Desk) givesWay(standing due.Standing) bool {
	return standing == due.Ahead && d.load.Used() >= giveWay
}

// note counts what is refused here, so that the dispatcher hears of it.
func (d *Desk) note(of *Arrival, verdict Verdict) Verdict {
	if verdict != Serve {
		d.config.Unserved.Add(of.Cell, of.Team, of.Cost)
	}
	return verdict
}

// RetryAfter returns when a caller should come back whose request was refused. It is this router that gets the next try as
// well, until the balancer has noticed that it is not ready.
func (d *Desk) RetryAfter(now time.Time, verdict Verdict) time.Duration {
	spread := time.Duration(d.turned.Add(1)%returnSlots) * returnSpread / returnSlots
	switch {
	case verdict == Ahead:
		return aheadReturn + spread
	case d.strain.IsStrained(now):
		return d.config.BalancerLag + spread
	}
	return soon
}

// Neighbour names the router that serves the next connection in this one's place, while this one is busy and has less left
// than others; own is the load that it tells them, in thousandths of its processor.
func (d *Desk) Neighbour(now time.Time, own int, loads neighbour.Loads) (neighbour.Router, bool) {
	if !d.load.IsBusy() {
		return neighbour.Router{}, false
	}
	return d.neighbours.Choose(now, own, loads)
}

// SetNeighbours replaces the routers that may be named.
func (d *Desk) SetNeighbours(list []neighbour.Router) { d.neighbours.Set(list) }

// Returned notes the end of a connection at another router.
func (d *Desk) Returned(now time.Time, address netip.AddrPort, served bool) {
	d.neighbours.End(now, address, served)
}

// Told returns the load to tell other routers, in thousandths of the processor; a router that does not keep up has none left.
func (d *Desk) Told(now time.Time) int {
	used := int(d.load.Used() * FullLoad)
	if d.strain.IsFull(now) {
		return max(used, FullLoad)
	}
	return used
}

// Tick takes how long work has waited for the processor since the last tick, and returns the time to the next.
func (d *Desk) Tick(now time.Time, waited time.Duration) time.Duration {
	return d.strain.Tick(now, waited, d.load.IsFull())
}

// Note takes in what the process has done up to now.
func (d *Desk) Note(now time.Time, work limit.Work) { d.load.Note(now, work) }

// Watches tells whether the lateness of the process is known, which Tick takes in.
func (d *Desk) Watches() bool { return d.strain != nil }

// Late returns how long work waits for the processor, if that is too long.
func (d *Desk) Late(now time.Time) time.Duration { return d.strain.Late(now) }

// Waited returns how long work waited for the processor before the last tick.
func (d *Desk) Waited() time.Duration { return d.strain.Waited() }

// AtHand returns the number of requests at hand.
func (d *Desk) AtHand() int { return d.strain.AtHand() }

// Used returns the part of its processor that the process uses, as it estimates; zero if that is not known.
func (d *Desk) Used() float64 { return d.load.Used() }

// IsBusy tells whether others should take new work if they have more room.
func (d *Desk) IsBusy() bool { return d.load.IsBusy() }

// IsStrained tells whether work waited for so much of the last time that callers had better go elsewhere.
func (d *Desk) IsStrained(now time.Time) bool { return d.strain.IsStrained(now) }

// IsReady tells whether the balancer should send callers here.
func (d *Desk) IsReady(now time.Time) bool { return !d.strain.IsStrained(now) && !d.load.IsFull() }
