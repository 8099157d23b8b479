package session

import (
	"iter"

	"ryelug/core/cell"
)

// Entry holds the state of an entry router: one that asks for grants, or whose session has ended while some of its
// granted attempts are still in flight.
type Entry struct {
	Router  cell.RouterID            // Router identifies the entry router; empty if the Entry is free.
	Session cell.Session             // Session is the current session, or the last one if Live is false.
	Live    bool                     // Live is true while the session has not ended.
	Waiting map[cell.AttemptID]int32 // Waiting maps the attempts that wait for a grant to their slots in the queue.
	Flights map[cell.AttemptID]int32 // Flights maps the granted attempts to their slots in the flight table.
}

// Knows reports whether an attempt waits for a grant or is in flight.
func (e *Entry) Knows(attempt cell.AttemptID) bool {
	_, waiting := e.Waiting[attempt]
	_, running := e.Flights[attempt]
	return waiting || running
}

// Table holds the entry routers of a dispatcher. Each one has a small integer index, which is reused after Drop.
type Table struct {
	entries []Entry
	index   map[cell.RouterID]int32
	free    []int32
}

// New returns an empty Table.
func New() *Table { return &Table{index: make(map[cell.RouterID]int32)} }

// At returns the entry at an index. The pointer is valid until the next Ensure.
func (t *Table) At(index int32) *Entry { return &t.entries[index] }

// Find returns the index of a router's entry, and false if the router has none.
func (t *Table) Find(router cell.RouterID) (index int32, ok bool) {
	index, ok = t.index[router]
	return index, ok
}

// FindCurrent returns the index of a router's entry, and false if the session is not its current one.
func (t *Table) FindCurrent(router cell.RouterID, session cell.Session) (index int32, ok bool) {
	index, ok = t.index[router]
	if !ok {
		return 0, false
	}
	entry := &t.entries[index]
	return index, entry.Live && entry.Session == session
}

// Ensure returns the index of a router's entry. It adds an entry for an unknown router.
func (t *Table) Ensure(router cell.RouterID) int32 {
	if index, ok := t.index[router]; ok {
		return index
	}
	index := int32(len(t.entries))
	if last := len(t.free) - 1; last >= 0 {
		index = t.free[last]
		t.free = t.free[:last]
	} else {
		t.entries = append(t.entries, Entry{
			Waiting: make(map[cell.AttemptID]int32),
			Flights: make(map[cell.AttemptID]int32),
		})
	}
	t.entries[index].Router = router
	t.index[router] = index
	return index
}

// Drop frees an entry whose session has ended and that has nothing in flight; it does nothing for other entries.
func (t *Table) Drop(index int32) {
	entry := &t.entries[index]
	if entry.Live || len(entry.Flights) > 0 || entry.Router == "" {
		return
	}
	delete(t.index, entry.Router)
	entry.Router, entry.Session = "", 0
	t.free = append(t.free, index)
}

// Live returns the number of entry routers with a current session.
func (t *Table) Live() int {
	live := 0
	for range t.All() {
		live++
	}
	return live
}

// All returns the indexes of the entry routers with a current session.
func (t *Table) All() iter.Seq[int32] {
	return func(yield func(index int32) bool) {
		for i := range t.entries {
			if t.entries[i].Live && !yield(int32(i)) {
				return
			}
		}
	}
}
