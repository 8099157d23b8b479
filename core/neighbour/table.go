package neighbour

import (
	"net/netip"
	"sync"
	"time"

	"ryelug/core/cell"
)

const (
	// refusalPause is how long a router gets no connections after it refused or lost one. With default settings it is shorter
	// than the retry delay that an overloaded router gives its own callers while the load balancer still sends them to it.
	refusalPause = time.Second
	// connectionLoad is the load that a connection adds to a router until the router's own report includes it, in thousandths
	// of a core: a few tenths of a millisecond of processor time in the 0.1 s over which loads are measured.
	connectionLoad = 4
	// reportDelay is the time after which a router's reported load includes a connection that was handed over to it.
	reportDelay = 300 * time.Millisecond
	// minLoadDifference is the least difference in load, in thousandths, for which a connection is handed over, since a
	// handover costs processor time at both routers.
	minLoadDifference = 150
	// maxLoad is the load, in thousandths, from which on a router gets no connections, so that it can handle its own callers' work.
	maxLoad = 800
	// maxLoadAway is the load, in thousandths, from which on a router of another data centre gets no connections. From 500 on it
	// hands its own callers over (limit.Load), who take precedence, and other routers may hand connections over to it at the same
	// time.
	maxLoadAway = 400
)

// Router is another router that connections can be handed over to.
type Router struct {
	Host             cell.HostID
	Address          netip.AddrPort // Address is where it accepts connections from other routers.
	Processor        int            // Processor is its processor capacity, in thousandths of a core; zero if unknown.
	RemoteDataCentre string         // RemoteDataCentre is the name of its data centre; empty if that is the one of this router.
}

// Loads returns the load that a router reported last, in thousandths of its processor, and reports whether the router can be
// reached now.
type Loads func(one *Router) (load int, reached bool)

// Table selects routers by their spare capacity. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	routers []state
}

// state is a router with its estimated load.
type state struct {
	Router
	reported     int       // reported is the load that the router reported last, in thousandths.
	pending      float64   // pending estimates the connections handed over recently that the reported load does not include; it decays.
	decayedAt    time.Time // decayedAt is when pending was last decayed.
	blockedUntil time.Time // blockedUntil is until when the router gets no connections, as it refused or lost one.
}

// Set replaces the routers that can be selected. Those with a known address keep their state.
func (t *Table) Set(routers []Router) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make([]state, 0, len(routers))
	for _, router := range routers {
		updated := state{Router: router}
		if known := t.find(router.Address); known != nil {
			updated = *known
			updated.Router = router
		}
		next = append(next, updated)
	}
	t.routers = next
}

// find returns the state of the router at an address, or nil. The caller holds mu.
func (t *Table) find(address netip.AddrPort) *state {
	for i := range t.routers {
		if t.routers[i].Address == address {
			return &t.routers[i]
		}
	}
	return nil
}

// Choose selects the router for the next connection, and reports whether there is one. own is the load of this router in
// thousandths. Choose prefers the least loaded router of this data centre whose load is below own by minLoadDifference. Only if
// no router of this data centre has spare capacity, this one included, does it select one of another data centre, and only one
// with much spare capacity, since a handover sends the connection's bytes between data centres. A router that recently refused
// a connection is not selected but may still count as having spare capacity in this data centre, so that a refusal alone does not
// cause a handover to another data centre.
func (t *Table) Choose(now time.Time, own int, loads Loads) (Router, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var near, away *state
	hasCapacity := own < maxLoad
	for i := range t.routers {
		router := &t.routers[i]
		reported, reached := loads(&router.Router)
		if !reached {
			continue
		}
		router.reported = reported
		router.decay(now)
		isBlocked := now.Before(router.blockedUntil)
		switch {
		case router.RemoteDataCentre == "" && router.load() < min(own-minLoadDifference, maxLoad):
			hasCapacity = true
			if !isBlocked {
				near = lessLoaded(near, router)
			}
		case router.RemoteDataCentre != "" && router.load() < maxLoadAway && !isBlocked:
			away = lessLoaded(away, router)
		}
	}
	best := near
	if best == nil && !hasCapacity {
		best = away
	}
	if best == nil {
		return Router{}, false
	}
	best.pending++
	return best.Router, true
}

// lessLoaded returns the state with less load, a if they are equal; a may be nil.
func lessLoaded(a, b *state) *state {
	if a == nil || b.load() < a.load() {
		return b
	}
	return a
}

// load returns the estimated load of the router after one more connection, in thousandths.
func (s *state) load() int {
	return s.reported + int(s.pending+1)*connectionLoad*1000/max(1, s.Processor)
}

// decay reduces pending by the fraction of reportDelay that has elapsed since the last call, as the reported load comes to include
// those connections.
func (s *state) decay(now time.Time) {
	elapsed := now.Sub(s.decayedAt)
	s.decayedAt = now
	s.pending *= max(0, 1-elapsed.Seconds()/reportDelay.Seconds())
}

// RecordEnd records the end of a connection to the router at an address. If served is false, the router refused or lost it and gets no
// connections for a while.
func (t *Table) RecordEnd(now time.Time, address netip.AddrPort, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if router := t.find(address); router != nil && !served {
		router.blockedUntil = now.Add(refusalPause)
	}
}
