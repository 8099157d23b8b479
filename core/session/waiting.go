package session

import (
	"maps"
	"slices"

	"ryelug/core/cell"
	"ryelug/core/fair"
	"ryelug/core/queue"
)

// Waiting is the queue of a cell's requests that wait for a grant. It keeps the entries and
// the ledger in step with the queue: a team with waiting requests is backlogged in the
// ledger.
type Waiting struct {
	queue.Queue
	entries *Table
	ledger  *fair.Ledger
}

// NewWaiting returns an empty queue that updates the given entries and ledger.
func NewWaiting(entries *Table, ledger *fair.Ledger) Waiting {
	return Waiting{entries: entries, ledger: ledger}
}

// Add adds a request to the queue and returns its slot. If its team has no other request waiting, the team's virtual
// counter is raised to at least floor.
func (w *Waiting) Add(request queue.Request, floor float64) int32 {
	slotIndex := w.Push(request)
	w.entries.At(request.Entry).Waiting[request.Attempt] = slotIndex
	w.ledger.Enter(int(request.Team), floor)
	return slotIndex
}

// Take removes a request from the queue and returns it.
func (w *Waiting) Take(slotIndex int32) queue.Request {
	request := *w.At(slotIndex)
	delete(w.entries.At(request.Entry).Waiting, request.Attempt)
	w.Remove(slotIndex)
	if w.LenOf(request.Team) == 0 {
		w.ledger.Exit(int(request.Team))
	}
	return request
}

// Withdraw removes attempts for which an entry router no longer asks for a grant. It does nothing if the session is not
// the current one.
func (w *Waiting) Withdraw(router cell.RouterID, session cell.Session, attempts []cell.AttemptID) {
	index, ok := w.entries.FindCurrent(router, session)
	if !ok {
		return
	}
	for _, attempt := range attempts {
		if slotIndex, queued := w.entries.At(index).Waiting[attempt]; queued {
			w.Take(slotIndex)
		}
	}
}

// Join starts a session of an entry router, removes the requests that waited in its
// previous session and returns the index of its entry. It returns false, and changes
// nothing, if the session is not newer than the previous one.
func (w *Waiting) Join(router cell.RouterID, session cell.Session) (index int32, ok bool) {
	index = w.entries.Ensure(router)
	entry := w.entries.At(index)
	if session < entry.Session || entry.Live && session == entry.Session {
		return index, false
	}
	w.removeAll(entry)
	entry.Session, entry.Live = session, true
	return index, true
}

// Leave ends the session of an entry router, removes its waiting requests and returns the
// index of its entry, whose flights remain. It returns false if the session is not the
// current one.
func (w *Waiting) Leave(router cell.RouterID, session cell.Session) (index int32, ok bool) {
	index, ok = w.entries.FindCurrent(router, session)
	if !ok {
		return index, false
	}
	entry := w.entries.At(index)
	w.removeAll(entry)
	entry.Live = false
	return index, true
}

// removeAll removes all waiting requests of an entry router.
func (w *Waiting) removeAll(entry *Entry) {
	for _, attempt := range slices.Sorted(maps.Keys(entry.Waiting)) {
		w.Take(entry.Waiting[attempt])
	}
}
