package flight

import (
	"time"

	"ryelug/core/cell"
)

// Flight is a granted attempt that has not been seen to end, or whose end at the
// endpoint is in doubt.
type Flight struct {
	Entry    int32
	Attempt  cell.AttemptID
	Team     int32
	Endpoint int32
	Start    cell.StartID
	Charged  cell.Cost
	Granted  time.Time

	orphaned time.Time
	kind     kind
}

// kind says how a flight counts at its endpoint.
type kind uint8

const (
	live      kind = iota // live: its entry has a session.
	orphan                // orphan: its entry has left; it counts until a report or its end proves otherwise.
	lingering             // lingering: it ended without an answer; the endpoint may still run it.
	void                  // void: the endpoint has restarted; only the cost is open.
)

// Add counts a new flight and returns its slot.
func (t *Table) Add(flying Flight) int32 {
	place := t.flights.Put(flying)
	at := &t.endpoints[flying.Endpoint]
	t.byEndpoint.Push(&at.flights, place)
	if flying.Granted.After(at.recentSince) {
		at.recent++
	}
	t.wake(flying.Granted, at)
	t.rank(flying.Endpoint)
	return place
}

// At returns the flight in a slot; the pointer holds until the next Add.
func (t *Table) At(place int32) *Flight { return t.flights.At(place) }

// Remove counts a flight no more and frees its slot.
func (t *Table) Remove(place int32) {
	flying := t.At(place)
	t.uncount(place)
	t.restore(place)
	t.rank(flying.Endpoint)
	t.flights.Free(place)
}

// uncount takes a flight out of its endpoint's count.
func (t *Table) uncount(place int32) {
	flying := t.At(place)
	at := &t.endpoints[flying.Endpoint]
	switch flying.kind {
	case void:
		return
	case orphan:
		at.orphans--
		at.orphanBound = min(at.orphanBound, at.orphans)
	case lingering:
		at.lingering--
	}
	t.byEndpoint.Remove(&at.flights, place)
	if flying.Granted.After(at.recentSince) {
		at.recent--
	}
}

// restore takes a flight out of the list of those that expire.
func (t *Table) restore(place int32) {
	if flying := t.At(place); !flying.orphaned.IsZero() {
		t.byOrphaned.Remove(&t.orphaned, place)
		flying.orphaned = time.Time{}
	}
}

func (t *Table) expireLater(now time.Time, place int32) {
	t.At(place).orphaned = now
	t.byOrphaned.Push(&t.orphaned, place)
}

// Orphan marks a flight whose entry has left.
func (t *Table) Orphan(now time.Time, place int32) {
	flying := t.At(place)
	if flying.kind == live {
		flying.kind = orphan
		at := &t.endpoints[flying.Endpoint]
		at.orphans++
		at.orphanBound++
	}
	if flying.orphaned.IsZero() {
		t.expireLater(now, place)
	}
}

// Adopt marks an orphan as live again: its entry is back and says that it runs.
func (t *Table) Adopt(place int32) {
	t.restore(place)
	flying := t.At(place)
	if flying.kind != orphan {
		return
	}
	flying.kind = live
	at := &t.endpoints[flying.Endpoint]
	at.orphans--
	at.orphanBound = min(max(0, at.orphanBound-1), at.orphans)
	t.rank(flying.Endpoint)
}

// Linger keeps a flight counted that ended without the endpoint's word, and frees
// its slot by itself later.
func (t *Table) Linger(now time.Time, place int32) {
	flying := t.At(place)
	if flying.kind == void {
		t.Remove(place)
		return
	}
	t.Adopt(place)
	flying.kind = lingering
	t.expireLater(now, place)
	t.endpoints[flying.Endpoint].lingering++
	t.rank(flying.Endpoint)
}

// Expired returns the slot of an orphan whose longest time has passed. Lingering
// flights are removed when theirs has.
func (t *Table) Expired(now time.Time) (place int32, ok bool) {
	for t.longest > 0 && t.orphaned.Length > 0 {
		first := t.orphaned.Head
		flying := t.At(first)
		if now.Sub(flying.orphaned) < t.longest+t.window {
			return 0, false
		}
		if flying.kind != lingering {
			return first, true
		}
		t.Remove(first)
	}
	return 0, false
}
