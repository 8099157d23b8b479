package session

import "ryelug/core/cell"

// Entry is a router that asks for grants, or did and has flights left.
type Entry struct {
	Router  cell.RouterID
	Session cell.Session
	Live    bool                     // Live is true while the entry has a session.
	Waiting map[cell.AttemptID]int32 // Waiting holds the slots of requests that wait.
	Flights map[cell.AttemptID]int32 // Flights holds the slots of granted attempts.
}

// Knows tells whether an attempt waits or runs.
func (e *Entry) Knows(attempt cell.AttemptID) bool {
	_, waiting := e.Waiting[attempt]
	_, running := e.Flights[attempt]
	return waiting || running
}

// Table gives each entry a dense index.
type Table struct {
	entries []Entry
	index   map[cell.RouterID]int32
	free    []int32
}

// New returns a Table without entries.
func New() *Table { return &Table{index: make(map[cell.RouterID]int32)} }

// At returns the entry at an index; the pointer holds until the next Ensure.
func (t *Table) At(index int32) *Entry { return &t.entries[index] }

// Find returns the index of a router's entry.
func (t *Table) Find(router cell.RouterID) (index int32, ok bool) {
	index, ok = t.index[router]
	return index, ok
}

// Present returns the index of a router's entry, and false if the session is not its present one.
func (t *Table) Present(router cell.RouterID, session cell.Session) (index int32, ok bool) {
	index, ok = t.index[router]
	if !ok {
		return 0, false
	}
	from := &t.entries[index]
	return index, from.Live && from.Session == session
}

// Ensure returns the index of a router's entry and makes one for a new router.
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

// Drop frees an entry that has left and has no flights.
func (t *Table) Drop(index int32) {
	gone := &t.entries[index]
	if gone.Live || len(gone.Flights) > 0 || gone.Router == "" {
		return
	}
	delete(t.index, gone.Router)
	gone.Router, gone.Session = "", 0
	t.free = append(t.free, index)
}

// Live returns the number of entries that have a session.
func (t *Table) Live() int {
	live := 0
	for i := range t.entries {
		if t.entries[i].Live {
			live++
		}
	}
	return live
}
