package neighbour

import (
	"net/netip"
	"sync"
	"time"

	"ryelug/core/cell"
)

const (
	// rest is how long a router gets nothing after it refused a connection or was lost; it asks its own callers to go
	// elsewhere for longer.
	rest = time.Second
	// connectionLoad is what a connection adds to the load of a router until the router tells itself, in thousandths of a
	// core: a few tenths of a millisecond in the 0.1 s over which loads are measured.
	connectionLoad = 4
	// untold is the time after which a router's own word on its load includes a connection that it got.
	untold = 300 * time.Millisecond
	// margin is how much less load another router must have, in thousandths: a connection that is handed over costs both.
	margin = 150
	// most is the load beyond which a router gets nothing, so that it bears its own callers' work, in thousandths.
	most = 800
	// mostOfAway is the load beyond which a router of another data centre gets nothing, in thousandths: from 500 on it hands its
	// own callers over (limit.Load), who come first, and other routers send there at the same time.
	mostOfAway = 400
)

// Router is another router that takes connections.
type Router struct {
	Host      cell.HostID
	Address   netip.AddrPort // Address is where it takes them.
	Processor int            // Processor is its part of its host's processor, in thousandths of a core; zero if not known.
	Away      string         // Away names its data centre if that is another one than that of this router.
}

// Loads tells which part of its processor a router uses, in thousandths, and false if it can't be reached now.
type Loads func(one *Router) (load int, reached bool)

// Table chooses among routers by what they have left. It may be used by many goroutines.
type Table struct {
	mu      sync.Mutex
	routers []state
}

type state struct {
	Router
	told      int     // told is the load that the router told last, in thousandths.
	given     float64 // given counts the connections that it got of late, which that does not include yet; it fades.
	fadedAt   time.Time
	restUntil time.Time
}

// Set replaces the routers that may be chosen.
func (t *Table) Set(routers []Router) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make([]state, 0, len(routers))
	for _, one := range routers {
		of := state{Router: one}
		if known := t.find(one.Address); known != nil {
			of = *known
			of.Router = one
		}
		next = append(next, of)
	}
	t.routers = next
}

func (t *Table) find(address netip.AddrPort) *state {
	for i := range t.routers {
		if t.routers[i].Address == address {
			return &t.routers[i]
		}
	}
	return nil
}

// Choose returns the router of the own data centre with the least load, if that is well below the one of this router, in
// thousandths, and counts one more connection there. If none there has room, this router included, it is one of another data
// centre with much room: what is handed over costs bytes between them. One that rests has room, so its refusals send nothing
// across.
func (t *Table) Choose(now time.Time, own int, loads Loads) (Router, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var near, away *state
	isRoom := own < most
	for i := range t.routers {
		at := &t.routers[i]
		told, reached := loads(&at.Router)
		if !reached {
			continue
		}
		at.told = told
		at.fade(now)
		rests := now.Before(at.restUntil)
		switch {
		case at.Away == "" && at.load() < min(own-margin, most):
			isRoom = true
			if !rests {
				near = lesser(near, at)
			}
		case at.Away != "" && at.load() < mostOfAway && !rests:
			away = lesser(away, at)
		}
	}
	best := near
	if best == nil && !isRoom {
		best = away
	}
	if best == nil {
		return Router{}, false
	}
	best.given++
	return best.Router, true
}

// lesser returns the one with less load, the first of equal ones; a may be nil.
func lesser(a, b *state) *state {
	if a == nil || b.load() < a.load() {
		return b
	}
	return a
}

// load returns what the router uses with the next connection.
func (s *state) load() int { return s.told + int(s.given+1)*connectionLoad*1000/max(1, s.Processor) }

// fade forgets connections that the router's own word includes by now.
func (s *state) fade(now time.Time) {
	passed := now.Sub(s.fadedAt)
	s.fadedAt = now
	s.given *= max(0, 1-passed.Seconds()/untold.Seconds())
}

// End notes the end of a connection. A router that refused it, or was lost, rests.
func (t *Table) End(now time.Time, address netip.AddrPort, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at := t.find(address); at != nil && !served {
		at.restUntil = now.Add(rest)
	}
}
