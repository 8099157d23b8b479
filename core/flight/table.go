package flight

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/fair"
	"ryelug/core/limit"
	"ryelug/core/slot"
)

// Config configures a Table.
type Config struct {
	Window time.Duration // Window is the longest time from a grant to the arrival of the request at the endpoint.
}

// Limits is the configuration of one endpoint.
type Limits struct {
	Endpoint cell.EndpointID
	Warm     int  // Warm is the maximum number of requests in flight while the endpoint is warm.
	Cold     int  // Cold is the maximum number of requests in flight while the endpoint is cold.
	WarmUp   int  // WarmUp is the number of completed requests after which a cold endpoint is warm; less than 1 means 1.
	Open     bool // Open is true if the endpoint may get new requests.
}

// Table tracks the flights of a cell by endpoint, and the capacity stakes that the dispatcher holds.
type Table struct {
	window  time.Duration // window is the longest time from a grant to the arrival of the request at the endpoint.
	longest time.Duration // longest is the longest time that a request runs at an endpoint; zero if unknown.
	slots   int           // slots is the sum of the warm limits of the open endpoints.

	endpoints    []endpoint
	index        slot.Index[cell.EndpointID]
	reportWanted bool      // reportWanted is true if a load report has become due since the last TakeReportRequested.
	withRoom     fair.Heap // withRoom orders the endpoints with free slots by their load.

	flights       slot.Slab[Flight]
	byEndpoint    slot.Links
	byUnconfirmed slot.Links
	unconfirmed   slot.List // unconfirmed lists the flights that Expired considers, oldest call of MarkOrphan or MarkLingering first: those whose entry router's session has ended, including uncounted ones, and the lingering ones.

	stakes      limit.Stakes
	stakeExpiry time.Time // stakeExpiry is when the next stake expires; zero if none is held.
	held, total int       // held is the number of stakes that the dispatcher holds, total the number of all stakes.
}

// New returns a Table without endpoints or stakes.
func New(config Config) *Table {
	return &Table{window: config.Window, index: slot.NewIndex[cell.EndpointID]()}
}

// SetLimits replaces the configuration; longest is the longest time that a request runs at an endpoint, zero if
// unknown. Endpoints that limits doesn't list are closed for new requests.
func (t *Table) SetLimits(now time.Time, longest time.Duration, limits []Limits) {
	t.longest = longest
	t.slots = 0
	for i := range t.endpoints {
		t.endpoints[i].open = false
	}
	for i := range limits {
		ep := &t.endpoints[t.Ensure(limits[i].Endpoint)]
		ep.slowStart.SetLimits(limits[i].Cold, limits[i].Warm, limits[i].WarmUp)
		ep.open = limits[i].Open
		if ep.open {
			t.slots += limits[i].Warm
		}
	}
	t.updateAllCaps(now)
}

// Slots returns the sum of the warm limits of the open endpoints.
func (t *Table) Slots() int { return t.slots }

// Find returns the index of an endpoint, and false if the endpoint is unknown.
func (t *Table) Find(id cell.EndpointID) (index int32, ok bool) {
	return t.index.Find(id)
}

// Ensure returns the index of an endpoint. An unknown endpoint is added, closed for new requests.
func (t *Table) Ensure(id cell.EndpointID) int32 {
	index, isNew := t.index.Ensure(id)
	if isNew {
		t.endpoints = append(t.endpoints, endpoint{id: id})
		t.withRoom.Grow(len(t.endpoints))
	}
	return index
}

// Name returns an endpoint's ID and the run of its process for which grants are valid.
func (t *Table) Name(index int32) (cell.EndpointID, cell.StartID) {
	return t.endpoints[index].id, t.endpoints[index].slowStart.Start()
}

// HasRoom reports whether any endpoint has a free slot.
func (t *Table) HasRoom() bool { return t.withRoom.Len() > 0 }

// Pick returns the least loaded endpoint with a free slot. It returns the endpoint avoid only if no other one has a
// free slot. HasRoom must be true.
func (t *Table) Pick(avoid int32) int32 {
	if endpoint, ok := t.withRoom.MinExcept(int(avoid)); ok {
		return int32(endpoint)
	}
	least, _ := t.withRoom.Min()
	return int32(least)
}

// Update updates the states and caps that change with time.
func (t *Table) Update(now time.Time) {
	for i := range t.endpoints {
		ep := &t.endpoints[i]
		ep.slowStart.Update(now)
		if !ep.warm || ep.slowStart.State() != limit.Warm {
			t.updateCaps(now, int32(i))
		}
	}
}

// State holds the state of one endpoint, for metrics.
type State struct {
	Endpoint cell.EndpointID
	State    limit.State
	Open     bool // Open is true if the endpoint may get new requests.
	Limit    int  // Limit is how many requests of all dispatchers together may be in flight now.
	InFlight int  // InFlight is the number of flights of this dispatcher that may be running.
	Free     int  // Free is how many grants this dispatcher could make now.

	Pace    int           // Pace is how long work is taken to need at the endpoint now, in percent of the usual time; zero if it has reported none.
	PaceAge time.Duration // PaceAge is the time since the endpoint's last report of its pace.
}

// States returns the states of all endpoints, in the order of their indexes.
func (t *Table) States() []State {
	states := make([]State, len(t.endpoints))
	for i := range t.endpoints {
		ep := &t.endpoints[i]
		states[i] = State{
			Endpoint: ep.id, State: ep.slowStart.State(), Open: ep.open, Limit: ep.limit(), InFlight: ep.inFlight() + ep.lingering, Free: ep.free(),
		}
	}
	return states
}
