package router

import (
	"time"

	"ryelug/io/caller"
)

// neighboursEvery is the age up to which a list of neighbours is used; one that has gone since is noticed at the dial.
const neighboursEvery = 500 * time.Millisecond

// relay names a router that serves the next connection, while this one bears no more.
func (r *Router) relay() (caller.Relay, bool) {
	now := time.Now()
	if !r.strain.IsFull(now) {
		return caller.Relay{}, false
	}
	if now.Sub(r.neighboursAt) >= neighboursEvery {
		r.neighbours.Set(r.config.Neighbours())
		r.neighboursAt = now
	}
	to, ok := r.neighbours.Choose(now)
	if !ok {
		return caller.Relay{}, false
	}
	r.handedOver.Add(1)
	return caller.Relay{Address: to.Address, Ended: func(served bool) { r.neighbours.End(time.Now(), to.Address, served) }}, true
}

// Traffic is what a router has done for callers since its start, and what it has at hand.
type Traffic struct {
	Accepted   int64         // Accepted counts connections that callers opened here.
	HandedOver int64         // HandedOver counts those of them that other routers served.
	Taken      int64         // Taken counts connections that other routers handed over to this one.
	AtHand     int           // AtHand counts the requests at hand.
	Waited     time.Duration // Waited is how long work waited for the processor of late.
}

// Traffic returns the present figures.
func (r *Router) Traffic() Traffic {
	own, taken := r.callers.Accepted()
	return Traffic{Accepted: own, HandedOver: r.HandedOver(), Taken: taken, AtHand: r.strain.AtHand(), Waited: r.strain.Waited()}
}

// HandedOver returns the number of connections that other routers have served for this one.
func (r *Router) HandedOver() int64 { return r.handedOver.Load() }
