package flight

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/fair"
	"ryelug/core/limit"
	"ryelug/core/slot"
)

// Config describes a Table.
type Config struct {
	Window time.Duration // Window is the time from a grant to the latest arrival at the endpoint.
}

// Limits is the configuration of an endpoint.
type Limits struct {
	Endpoint cell.EndpointID
	Warm     int
	Cold     int
	WarmUp   int
	Open     bool
}

// Table counts the flights of a cell by endpoint.
type Table struct {
	window  time.Duration
	longest time.Duration
	slots   int

	endpoints []endpoint
	index     slot.Index[cell.EndpointID]
	wanted    bool      // wanted is true when a report has become due.
	room      fair.Heap // room orders the endpoints that may take work by their load.

	flights    slot.Slab[Flight]
	byEndpoint slot.Links
	byOrphaned slot.Links
	orphaned   slot.List // orphaned are the flights that expire.

	stakes      limit.Stakes
	stakeExpiry time.Time
	held, total int // held is the number of stakes that count, total what they are divided by.
}

// New returns a Table without endpoints and stakes.
func New(config Config) *Table {
	return &Table{window: config.Window, index: slot.NewIndex[cell.EndpointID]()}
}

// SetLimits replaces the configuration; endpoints that it lacks are closed.
func (t *Table) SetLimits(now time.Time, longest time.Duration, limits []Limits) {
	t.longest = longest
	t.slots = 0
	for i := range t.endpoints {
		t.endpoints[i].open = false
	}
	for i := range limits {
		at := &t.endpoints[t.Ensure(limits[i].Endpoint)]
		at.gate.SetLimits(limits[i].Cold, limits[i].Warm, limits[i].WarmUp)
		at.open = limits[i].Open
		if at.open {
			t.slots += limits[i].Warm
		}
	}
	t.refreshAll(now)
}

// Slots returns the sum of the warm limits of the open endpoints.
func (t *Table) Slots() int { return t.slots }

// Find returns the index of an endpoint.
func (t *Table) Find(id cell.EndpointID) (index int32, ok bool) {
	return t.index.Find(id)
}

// Ensure returns the index of an endpoint; one that is unknown so far is closed.
func (t *Table) Ensure(id cell.EndpointID) int32 {
	index, isNew := t.index.Ensure(id)
	if isNew {
		t.endpoints = append(t.endpoints, endpoint{id: id})
		t.room.Grow(len(t.endpoints))
	}
	return index
}

// Name returns an endpoint's name and the start that grants are to carry.
func (t *Table) Name(index int32) (cell.EndpointID, cell.StartID) {
	return t.endpoints[index].id, t.endpoints[index].gate.Start()
}

// HasRoom tells whether any endpoint may take work.
func (t *Table) HasRoom() bool { return t.room.Len() > 0 }

// Pick returns the least loaded endpoint with room, another than avoid if there is one.
func (t *Table) Pick(avoid int32) int32 {
	if other, ok := t.room.MinExcept(int(avoid)); ok {
		return int32(other)
	}
	least, _ := t.room.Min()
	return int32(least)
}

// Elapse lets time pass.
func (t *Table) Elapse(now time.Time) {
	for i := range t.endpoints {
		at := &t.endpoints[i]
		at.gate.Elapse(now)
		if !at.warm || at.gate.State() != limit.Warm {
			t.refresh(now, int32(i))
		}
	}
}

// State is the state of an endpoint for metrics.
type State struct {
	Endpoint cell.EndpointID
	State    limit.State
	Open     bool
	Limit    int
	InFlight int
	Free     int
}

// States returns the states of all endpoints.
func (t *Table) States() []State {
	states := make([]State, len(t.endpoints))
	for i := range t.endpoints {
		at := &t.endpoints[i]
		states[i] = State{at.id, at.gate.State(), at.open, at.limit(), at.inFlight() + at.lingering, at.free()}
	}
	return states
}
