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
	// rejectAheadLoad is the fraction of the processor in use at or above which requests of teams that are ahead are rejected
	// while another team is behind. It is below the 0.8 at which other routers stop handing connections over to this one, so
	// that connections of teams that are behind still find capacity here.
	rejectAheadLoad = 0.7
	// shortRetryAfter is the retry delay for a request that was rejected during a brief overload.
	shortRetryAfter = 20 * time.Millisecond
	// aheadRetryAfter is the least retry delay for a team that is ahead. Which teams are behind is recomputed several times
	// within it.
	aheadRetryAfter = time.Second
	// retrySpread is the range over which the retry delays of successive callers are spread, so that they don't retry together.
	retrySpread = time.Second
	// retrySteps is the number of different delays within retrySpread.
	retrySteps = 16
)

// FullLoad is the load that a router with no spare capacity reports to other routers, in thousandths of its processor.
const FullLoad = 1000

// Config configures a Controller. Standings and Unserved are required.
type Config struct {
	StrainLate     time.Duration  // StrainLate is the scheduling delay at which the number of concurrent requests becomes bounded; zero disables the bound.
	ProcessorShare float64        // ProcessorShare is the processor capacity of this process, in cores; zero if unknown, which disables load estimates.
	BalancerLag    time.Duration  // BalancerLag is how long the external load balancer takes to notice that this router is not ready.
	Standings      *due.Standings // Standings says which teams receive less than their fair share.
	Unserved       *due.Unserved  // Unserved records the requests that are rejected here.
}

// Controller decides which requests this router serves, from its own load, the loads of other routers and the teams' fair shares.
// It is safe for concurrent use.
type Controller struct {
	config     Config
	overload   *limit.OverloadGuard
	load       *limit.Load
	neighbours neighbour.Table
	retryCount atomic.Int64 // retryCount is the number of calls of RetryAfter; it picks the next caller's delay.
}

// New returns a Controller without neighbours.
func New(config Config) *Controller {
	return &Controller{config: config, overload: limit.NewOverloadGuard(config.StrainLate), load: limit.NewLoad(config.ProcessorShare)}
}

// Arrival describes an incoming request: the cell (group of endpoints) that it is for, the caller's team and its cost.
type Arrival struct {
	Cell cell.ID
	Team cell.TeamID
	Cost cell.Cost // Cost is the estimated cost in cost units; zero if unknown.
}

// Verdict is the decision on a request: serve it, or the reason for rejecting it.
type Verdict int

// Possible verdicts.
const (
	Serve      Verdict = iota // Serve: this router serves the request.
	Overloaded                // Overloaded: this router has no capacity for the request.
	Ahead                     // Ahead: this router is busy, and another team has received less than its fair share while the request's team has not.
)

// Enter decides whether to serve a request. If it returns Serve, the request counts as in flight and the caller must call Leave
// when it ends; otherwise the request is recorded as unserved.
func (d *Controller) Enter(now time.Time, arrival *Arrival) Verdict {
	standing := d.config.Standings.Get(now, arrival.Cell, arrival.Team)
	verdict := Serve
	switch {
	case d.rejectsAhead(standing):
		verdict = Ahead
	case !d.overload.Enter(now, arrival.Team, standing):
		verdict = Overloaded
	}
	return d.recordVerdict(arrival, verdict)
}

// Leave ends a request of a team for which Enter returned Serve.
func (d *Controller) Leave(team cell.TeamID) { d.overload.Leave(team) }

// MayReject reports whether any request could be rejected now. It costs less than Precheck and is meant to be called first.
func (d *Controller) MayReject(now time.Time) bool {
	return d.overload.IsFull(now) || d.load.Used() >= rejectAheadLoad && d.config.Standings.Any(now)
}

// Precheck decides on a request before any resources are allocated for it. A rejected request is recorded as unserved. One that
// passes is not counted as in flight; Enter decides on it again.
func (d *Controller) Precheck(now time.Time, arrival *Arrival) Verdict {
	standing := d.config.Standings.Get(now, arrival.Cell, arrival.Team)
	verdict := Serve
	switch {
	case d.rejectsAhead(standing):
		verdict = Ahead
	case d.overload.IsFull(now) && d.overload.RejectIfFull(now, arrival.Team, standing):
		verdict = Overloaded
	}
	return d.recordVerdict(arrival, verdict)
}

// rejectsAhead reports whether a request is rejected because its team is ahead and this router is busy.
func (d *Controller) rejectsAhead(standing due.Standing) bool {
	return standing == due.Ahead && d.load.Used() >= rejectAheadLoad
}

// recordVerdict returns the verdict, after recording a rejected request as unserved. Unserved requests are later reported to the
// dispatcher of their cell.
func (d *Controller) recordVerdict(arrival *Arrival, verdict Verdict) Verdict {
	if verdict != Serve {
		d.config.Unserved.Add(arrival.Cell, arrival.Team, arrival.Cost)
	}
	return verdict
}

// RetryAfter returns how long the caller of a rejected request should wait before it retries. Until the load balancer notices
// that an overloaded router is not ready, it sends retries to this router again, so the delay then covers that time.
func (d *Controller) RetryAfter(now time.Time, verdict Verdict) time.Duration {
	spread := time.Duration(d.retryCount.Add(1)%retrySteps) * retrySpread / retrySteps
	switch {
	case verdict == Ahead:
		return aheadRetryAfter + spread
	case d.overload.IsOverloaded(now):
		return d.config.BalancerLag + spread
	}
	return shortRetryAfter
}

// Neighbour selects another router to serve the next connection, and reports whether there is one. It selects none unless this
// router is busy and the other one has more spare capacity. own is this router's load as reported by ReportedLoad, in thousandths of
// its processor.
func (d *Controller) Neighbour(now time.Time, own int, loads neighbour.Loads) (neighbour.Router, bool) {
	if !d.load.IsBusy() {
		return neighbour.Router{}, false
	}
	return d.neighbours.Choose(now, own, loads)
}

// SetNeighbours replaces the list of routers that Neighbour selects from.
func (d *Controller) SetNeighbours(routers []neighbour.Router) { d.neighbours.Set(routers) }

// HandoverEnded records the end of a connection that was handed over to the router at this address. served is false if that router
// rejected or lost it.
func (d *Controller) HandoverEnded(now time.Time, address netip.AddrPort, served bool) {
	d.neighbours.RecordEnd(now, address, served)
}

// ReportedLoad returns the load to report to other routers, in thousandths of the processor. It is at least FullLoad while the number
// of concurrent requests is at its bound.
func (d *Controller) ReportedLoad(now time.Time) int {
	used := int(d.load.Used() * FullLoad)
	if d.overload.IsFull(now) {
		return max(used, FullLoad)
	}
	return used
}

// Tick records the scheduling delay since the last tick, and returns the time until Tick must be called again.
func (d *Controller) Tick(now time.Time, waited time.Duration) time.Duration {
	return d.overload.Tick(now, waited, d.load.IsFull())
}

// RecordWork records the cumulative work of the process up to now, from which its load is estimated.
func (d *Controller) RecordWork(now time.Time, work limit.Work) { d.load.RecordWork(now, work) }

// TracksDelay reports whether scheduling delays are tracked, so that Tick must be called. It is false if StrainLate is zero.
func (d *Controller) TracksDelay() bool { return d.overload != nil }

// CurrentDelay returns the present scheduling delay if it is at least StrainLate, and zero otherwise.
func (d *Controller) CurrentDelay(now time.Time) time.Duration { return d.overload.CurrentDelay(now) }

// LastDelay returns the scheduling delay that the last tick recorded.
func (d *Controller) LastDelay() time.Duration { return d.overload.LastDelay() }

// InFlight returns the number of requests in flight; zero if scheduling delays are not tracked.
func (d *Controller) InFlight() int { return d.overload.InFlight() }

// Used returns the estimated fraction of its processor that the process uses; zero if its capacity is unknown.
func (d *Controller) Used() float64 { return d.load.Used() }

// IsBusy reports whether new connections should be handed over to routers with more spare capacity.
func (d *Controller) IsBusy() bool { return d.load.IsBusy() }

// IsOverloaded reports whether this router was overloaded for so much of the last second that callers should go elsewhere.
func (d *Controller) IsOverloaded(now time.Time) bool { return d.overload.IsOverloaded(now) }

// IsReady reports whether the load balancer should send callers to this router.
func (d *Controller) IsReady(now time.Time) bool {
	return !d.overload.IsOverloaded(now) && !d.load.IsFull()
}
