package slice

import (
	"slices"

	"ryelug/core/cell"
)

// Seat is a session of an entry with the dispatcher of a cell.
type Seat struct {
	Cell    cell.ID
	Session cell.Session
}

// Placement keeps in which one cell each request of an entry waits, so that no
// request is granted by two cells.
type Placement struct {
	seats map[cell.AttemptID]Seat
}

// NewPlacement returns a Placement without requests.
func NewPlacement() *Placement { return &Placement{seats: make(map[cell.AttemptID]Seat)} }

// Place notes that a request waits at a seat; it must wait nowhere else.
func (p *Placement) Place(attempt cell.AttemptID, at Seat) { p.seats[attempt] = at }

// Granted tells whether a grant is to be used; one from elsewhere than the
// request's seat is to be handed back.
func (p *Placement) Granted(attempt cell.AttemptID, from Seat) bool { return p.leave(attempt, from) }

// PassedOn tells whether the request left its seat and must be placed again; the
// cell has taken it out of its queue before it said so.
func (p *Placement) PassedOn(attempt cell.AttemptID, from Seat) bool { return p.leave(attempt, from) }

// Withdraw notes that the caller gave the request up, and returns the seat to tell.
func (p *Placement) Withdraw(attempt cell.AttemptID) (Seat, bool) {
	at, ok := p.seats[attempt]
	delete(p.seats, attempt)
	return at, ok
}

// Lost ends a session and returns the requests that must be placed again, in
// order; grants of the session are void from now on.
func (p *Placement) Lost(seat Seat) []cell.AttemptID {
	var lost []cell.AttemptID
	for attempt, at := range p.seats {
		if at == seat {
			lost = append(lost, attempt)
			delete(p.seats, attempt)
		}
	}
	slices.Sort(lost)
	return lost
}

func (p *Placement) leave(attempt cell.AttemptID, from Seat) bool {
	at, ok := p.seats[attempt]
	if !ok || at != from {
		return false
	}
	delete(p.seats, attempt)
	return true
}
