package flight

import (
	"time"

	"ryelug/core/cell"
)

// Flight is a granted attempt that has not ended, or that may still be running at the
// endpoint although the entry router has reported its end.
type Flight struct {
	Entry    int32 // Entry is the index of the entry router, which asked for the grant.
	Attempt  cell.AttemptID
	Team     int32        // Team is the index of the team.
	Endpoint int32        // Endpoint is the index of the endpoint, from Ensure or Pick.
	Start    cell.StartID // Start identifies the run of the endpoint's process for which the attempt was granted.
	Charged  cell.Cost    // Charged is the cost charged to the team so far.
	Granted  time.Time    // Granted is the latest possible time of the grant.

	unconfirmed time.Time // unconfirmed is when MarkOrphan or MarkLingering was called for the flight, whose end may go unnoticed from then on; zero if it is not in Table.unconfirmed.
	kind        kind
}

// kind determines how a flight counts at its endpoint.
type kind uint8

const (
	live      kind = iota // live flights belong to an entry router with a session.
	orphan                // orphan flights belong to an entry router whose session has ended; see MarkOrphan.
	lingering             // lingering flights ended without an answer, so the endpoint may still run them.
	uncounted             // uncounted flights belong to an earlier run of the endpoint's process. They occupy no slot of the endpoint, but their cost is not settled yet.
)

// Add adds a flight to the count of its endpoint and returns its slot in the table.
func (t *Table) Add(f Flight) int32 {
	slotIndex := t.flights.Put(f)
	ep := &t.endpoints[f.Endpoint]
	t.byEndpoint.Push(&ep.flights, slotIndex)
	if f.Granted.After(ep.recentSince) {
		ep.recent++
	}
	t.requestReportIfNeeded(f.Granted, ep)
	t.updateRoom(f.Endpoint)
	return slotIndex
}

// At returns the flight in a slot. The pointer is valid until the next Add.
func (t *Table) At(slotIndex int32) *Flight { return t.flights.At(slotIndex) }

// Remove removes a flight from the table and from the counts of its endpoint.
func (t *Table) Remove(slotIndex int32) {
	f := t.At(slotIndex)
	t.uncount(slotIndex)
	t.cancelExpiry(slotIndex)
	t.updateRoom(f.Endpoint)
	t.flights.Free(slotIndex)
}

// uncount removes a flight from the counts of its endpoint but keeps it in the table.
func (t *Table) uncount(slotIndex int32) {
	f := t.At(slotIndex)
	ep := &t.endpoints[f.Endpoint]
	switch f.kind {
	case uncounted:
		return
	case orphan:
		ep.orphans--
		ep.orphanBound = min(ep.orphanBound, ep.orphans)
	case lingering:
		ep.lingering--
	}
	t.byEndpoint.Remove(&ep.flights, slotIndex)
	if f.Granted.After(ep.recentSince) {
		ep.recent--
	}
}

// cancelExpiry removes a flight from the list of flights that expire.
func (t *Table) cancelExpiry(slotIndex int32) {
	if f := t.At(slotIndex); !f.unconfirmed.IsZero() {
		t.byUnconfirmed.Remove(&t.unconfirmed, slotIndex)
		f.unconfirmed = time.Time{}
	}
}

func (t *Table) scheduleExpiry(now time.Time, slotIndex int32) {
	t.At(slotIndex).unconfirmed = now
	t.byUnconfirmed.Push(&t.unconfirmed, slotIndex)
}

// MarkOrphan marks a flight whose entry router's session has ended. The flight counts towards the cap until a load report, its
// end or the longest request time shows that it is no longer running.
func (t *Table) MarkOrphan(now time.Time, slotIndex int32) {
	f := t.At(slotIndex)
	if f.kind == live {
		f.kind = orphan
		ep := &t.endpoints[f.Endpoint]
		ep.orphans++
		ep.orphanBound++
	}
	if f.unconfirmed.IsZero() {
		t.scheduleExpiry(now, slotIndex)
	}
}

// Adopt marks an orphan as live again, because its entry router has a new session and reports it as running.
func (t *Table) Adopt(slotIndex int32) {
	t.cancelExpiry(slotIndex)
	f := t.At(slotIndex)
	if f.kind != orphan {
		return
	}
	f.kind = live
	ep := &t.endpoints[f.Endpoint]
	ep.orphans--
	ep.orphanBound = min(max(0, ep.orphanBound-1), ep.orphans)
	t.updateRoom(f.Endpoint)
}

// MarkLingering marks a flight that has ended for its entry router but may still run at the
// endpoint. The table removes it later: when a load report shows that it has ended, or
// after the longest request time.
func (t *Table) MarkLingering(now time.Time, slotIndex int32) {
	f := t.At(slotIndex)
	if f.kind == uncounted {
		t.Remove(slotIndex)
		return
	}
	t.Adopt(slotIndex)
	f.kind = lingering
	t.scheduleExpiry(now, slotIndex)
	t.endpoints[f.Endpoint].lingering++
	t.updateRoom(f.Endpoint)
}

// Expired returns the slot of a flight for which MarkOrphan was called and that can no longer
// be running, and false if there is none: since that call, the longest request time and the
// longest time from a grant to the arrival at the endpoint have passed. The caller must
// remove the flight. Lingering flights that can no longer be running are removed here.
func (t *Table) Expired(now time.Time) (slotIndex int32, ok bool) {
	for t.longest > 0 && t.unconfirmed.Length > 0 {
		first := t.unconfirmed.Head
		f := t.At(first)
		if now.Sub(f.unconfirmed) < t.longest+t.window {
			return 0, false
		}
		if f.kind != lingering {
			return first, true
		}
		t.Remove(first)
	}
	return 0, false
}
