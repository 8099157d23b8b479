package slice

import (
	"slices"

	"ryelug/core/cell"
)

// Location identifies the place where a request waits: a cell and the session of the router with its dispatcher.
type Location struct {
	Cell    cell.ID      // Cell is the cell in whose queue the request waits.
	Session cell.Session // Session is the session between the router and the dispatcher of the cell.
}

// Placement records for each waiting request of a router the one cell in which it waits, so
// that no two cells grant the same request. It is not safe for concurrent use.
type Placement struct {
	locations map[cell.AttemptID]Location // locations maps each waiting request to its cell and session.
}

// NewPlacement returns a Placement without requests.
func NewPlacement() *Placement { return &Placement{locations: make(map[cell.AttemptID]Location)} }

// Place records that a request waits in the given cell; it must not wait in another one.
func (p *Placement) Place(attempt cell.AttemptID, at Location) { p.locations[attempt] = at }

// Granted reports whether a grant may be used, and if so removes the request. A grant from
// another cell or session than the one recorded must be returned.
func (p *Placement) Granted(attempt cell.AttemptID, from Location) bool {
	return p.remove(attempt, from)
}

// PassedOn records that a cell has taken a request out of its queue to pass it on. If the request was
// recorded there, PassedOn removes it and returns true, and the caller must place it again.
func (p *Placement) PassedOn(attempt cell.AttemptID, from Location) bool {
	return p.remove(attempt, from)
}

// Withdraw removes a request that its caller has given up, and returns the cell and session to inform. It returns false if the request does not wait.
func (p *Placement) Withdraw(attempt cell.AttemptID) (Location, bool) {
	at, ok := p.locations[attempt]
	delete(p.locations, attempt)
	return at, ok
}

// Lost ends a session and returns the requests that must be placed again, in ascending
// order. Grants of the session are invalid from then on.
func (p *Placement) Lost(location Location) []cell.AttemptID {
	var lost []cell.AttemptID
	for attempt, at := range p.locations {
		if at == location {
			lost = append(lost, attempt)
			delete(p.locations, attempt)
		}
	}
	slices.Sort(lost)
	return lost
}

// remove removes a request if it waits in the given cell and session, and reports whether it did.
func (p *Placement) remove(attempt cell.AttemptID, from Location) bool {
	at, ok := p.locations[attempt]
	if !ok || at != from {
		return false
	}
	delete(p.locations, attempt)
	return true
}
