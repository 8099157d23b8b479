package router

import (
	"context"
	"slices"
	"time"

	"ryelug/core/intake"
	"ryelug/core/neighbour"
	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/io/pause"
)

const (
	// neighbourRefreshInterval is how often the list of neighbours is read. A neighbour that fails in between is
	// noticed by its link.
	neighbourRefreshInterval = 500 * time.Millisecond
	// maxLocalNeighbours limits the neighbours in this data centre. This many have enough spare capacity for a flood
	// of requests from one team.
	maxLocalNeighbours = 16
	// maxRemoteNeighbours limits the neighbours in other data centres, where those with the largest processors are
	// chosen: with three other data centres, two in each.
	maxRemoteNeighbours = 6
)

// refreshNeighbours keeps links open to the routers that may take over connections, so that none has to be dialled
// during a flood. It runs until ctx ends.
func (r *Router) refreshNeighbours(ctx context.Context) error {
	for pause.For(ctx, neighbourRefreshInterval) {
		now := time.Now()
		reachable := slices.DeleteFunc(r.config.Neighbours(), func(one neighbour.Router) bool { return !r.handoverDialer.IsReachable(now, &one) })
		list := neighbour.Nearest(r.config.Host, reachable, maxLocalNeighbours, maxRemoteNeighbours)
		r.admission.SetNeighbours(list)
		r.handoverDialer.SetTargets(now, list)
	}
	r.handoverDialer.Close()
	return nil
}

// chooseHandover implements caller.Config.Elsewhere: it opens a stream to a neighbour with more spare capacity
// than this router, while this one is busy; age is the time since the caller connected.
func (r *Router) chooseHandover(age time.Duration) (caller.Relay, bool) {
	now := time.Now()
	if !r.admission.IsBusy() || r.isClosed() {
		return caller.Relay{}, false
	}
	to, ok := r.admission.Neighbour(now, r.advertisedLoad(now), r.handoverDialer.Load)
	if !ok {
		return caller.Relay{}, false
	}
	stream, ok := r.handoverDialer.Open(to.Address, age)
	if !ok {
		return caller.Relay{}, false
	}
	r.handedOver.Add(1)
	return caller.Relay{Conn: stream, Ended: func(served bool) { r.admission.HandoverEnded(time.Now(), to.Address, served) }}, true
}

// timeoutOf implements caller.Config.Timeout: it returns the timeout of a request's route, zero if it has none.
func (r *Router) timeoutOf(req *caller.Request) time.Duration {
	route, code := r.resolve(req)
	if code != result.OK {
		return 0 // The other router refuses it.
	}
	return route.Timeout
}

// isClosed reports whether the router is shutting down and has stopped accepting requests. It then hands none over
// either, since the grace period could end before the other router has answered.
func (r *Router) isClosed() bool {
	r.closedMu.Lock()
	defer r.closedMu.Unlock()
	return r.closed
}

// advertisedLoad returns the processor utilisation that other routers are told, in thousandths. It is at least
// intake.FullLoad while this router is overloaded or leaving.
func (r *Router) advertisedLoad(now time.Time) int {
	load := r.admission.ReportedLoad(now)
	if r.leaving.Load() {
		return max(load, intake.FullLoad)
	}
	return load
}

// Traffic holds counters since the start of a router and its current load.
type Traffic struct {
	Accepted   int64         // Accepted counts connections that callers opened to this router.
	HandedOver int64         // HandedOver counts the accepted connections that were handed over to other routers.
	Taken      int64         // Taken counts connections that other routers handed over to this one.
	InFlight   int           // InFlight is the number of requests in progress.
	LastDelay  time.Duration // LastDelay is the latest measurement of how long work waits for the processor.
	Used       float64       // Used is the estimated processor utilisation, 1 for all of this router's share; zero if unknown.
}

// Traffic returns the current counters and load.
func (r *Router) Traffic() Traffic {
	done := r.callers.Done()
	return Traffic{
		Accepted: done.Own, HandedOver: r.HandedOver(), Taken: done.Taken, InFlight: r.admission.InFlight(), LastDelay: r.admission.LastDelay(),
		Used: r.admission.Used(),
	}
}

// HandedOver returns how many connections this router has handed over to other routers since its start.
func (r *Router) HandedOver() int64 { return r.handedOver.Load() }
