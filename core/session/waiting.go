package session

import (
	"maps"
	"slices"

	"ryelug/core/cell"
	"ryelug/core/fair"
	"ryelug/core/queue"
)

// Waiting is the requests of a cell's entries that wait for a grant. Teams that have some are backlogged
// in the ledger.
type Waiting struct {
	queue.Queue
	entries *Table
	ledger  *fair.Ledger
}

// NewWaiting returns a Waiting without requests.
func NewWaiting(entries *Table, ledger *fair.Ledger) Waiting {
	return Waiting{entries: entries, ledger: ledger}
}

// Add lets a request wait and returns its slot. The counter of a team without a backlog is lifted to the floor.
func (w *Waiting) Add(request queue.Request, floor float64) int32 {
	place := w.Push(request)
	w.entries.At(request.Entry).Waiting[request.Attempt] = place
	w.ledger.Enter(int(request.Team), floor)
	return place
}

// Take takes a request out and returns it.
func (w *Waiting) Take(place int32) queue.Request {
	request := *w.At(place)
	delete(w.entries.At(request.Entry).Waiting, request.Attempt)
	w.Remove(place)
	if w.LenOf(request.Team) == 0 {
		w.ledger.Exit(int(request.Team))
	}
	return request
}

// Withdraw takes out what an entry asks for no more.
func (w *Waiting) Withdraw(router cell.RouterID, session cell.Session, attempts []cell.AttemptID) {
	index, ok := w.entries.Present(router, session)
	if !ok {
		return
	}
	for _, attempt := range attempts {
		if place, queued := w.entries.At(index).Waiting[attempt]; queued {
			w.Take(place)
		}
	}
}

// Join begins a session of an entry, which asks for nothing yet, and returns the entry's index; false if the
// session is not a new one.
func (w *Waiting) Join(router cell.RouterID, session cell.Session) (index int32, ok bool) {
	index = w.entries.Ensure(router)
	from := w.entries.At(index)
	if session < from.Session || from.Live && session == from.Session {
		return index, false
	}
	w.drop(from)
	from.Session, from.Live = session, true
	return index, true
}

// Leave ends a session of an entry, whose flights are left, and returns the entry's index; false if the session
// is not its present one.
func (w *Waiting) Leave(router cell.RouterID, session cell.Session) (index int32, ok bool) {
	index, ok = w.entries.Present(router, session)
	if !ok {
		return index, false
	}
	from := w.entries.At(index)
	w.drop(from)
	from.Live = false
	return index, true
}

// drop takes out all that an entry has waiting.
func (w *Waiting) drop(from *Entry) {
	for _, attempt := range slices.Sorted(maps.Keys(from.Waiting)) {
		w.Take(from.Waiting[attempt])
	}
}
