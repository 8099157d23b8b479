package router

import (
	"context"
	"time"

	"ryelug/core/intake"
	"ryelug/core/neighbour"
	"ryelug/io/caller"
	"ryelug/io/pause"
)

const (
	// neighboursEvery is the age up to which a list of neighbours is used; one that has gone since is noticed by its link.
	neighboursEvery = 500 * time.Millisecond
	// mostNeighbours bounds the routers that take connections of this one. So many have room for the flood of one team.
	mostNeighbours = 16
	// mostAway bounds those of other data centres, which are the largest there: two of each of three others.
	mostAway = 6
)

// watchNeighbours keeps links to the routers that may take connections, so that none must be made in a flood.
func (r *Router) watchNeighbours(ctx context.Context) error {
	for pause.For(ctx, neighboursEvery) {
		list := neighbour.Nearest(r.config.Host, r.config.Neighbours(), mostNeighbours, mostAway)
		r.desk.SetNeighbours(list)
		r.handOvers.Want(time.Now(), list)
	}
	r.handOvers.Close()
	return nil
}

// relay names a router that serves the next connection, while this one has less left than others.
func (r *Router) relay(age time.Duration) (caller.Relay, bool) {
	now := time.Now()
	if !r.desk.IsBusy() || r.takesNone() {
		return caller.Relay{}, false
	}
	to, ok := r.desk.Neighbour(now, r.loadToOthers(now), r.handOvers.Load)
	if !ok {
		return caller.Relay{}, false
	}
	stream, ok := r.handOvers.Open(to.Address, age)
	if !ok {
		return caller.Relay{}, false
	}
	r.handedOver.Add(1)
	return caller.Relay{Conn: stream, Ended: func(served bool) { r.desk.Returned(time.Now(), to.Address, served) }}, true
}

// takesNone tells whether the router leaves and takes no further request, also none that others would serve: its grace may
// end before they do.
func (r *Router) takesNone() bool {
	r.gate.Lock()
	defer r.gate.Unlock()
	return r.closed
}

// loadToOthers returns which part of its processor this router uses, in thousandths; one that does not keep up, or leaves,
// has none left.
func (r *Router) loadToOthers(now time.Time) int {
	told := r.desk.Told(now)
	if r.leaving.Load() {
		return max(told, intake.FullLoad)
	}
	return told
}

// Traffic is what a router has done for callers since its start, and what it has at hand.
type Traffic struct {
	Accepted   int64         // Accepted counts connections that callers opened here.
	HandedOver int64         // HandedOver counts those of them that other routers served.
	Taken      int64         // Taken counts connections that other routers handed over to this one.
	AtHand     int           // AtHand counts the requests at hand.
	Waited     time.Duration // Waited is how long work waited for the processor of late.
	Used       float64       // Used is the part of its processor that the router uses, as it estimates; zero if that is not known.
}

// Traffic returns the present figures.
func (r *Router) Traffic() Traffic {
	done := r.callers.Done()
	return Traffic{
		Accepted: done.Own, HandedOver: r.HandedOver(), Taken: done.Taken, AtHand: r.desk.AtHand(), Waited: r.desk.Waited(),
		Used: r.desk.Used(),
	}
}

// HandedOver returns the number of connections that other routers have served for this one.
func (r *Router) HandedOver() int64 { return r.handedOver.Load() }
