package dispatch

import (
	"maps"
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/fair"
)

// entry is a router that asks for grants, or did and has flights left.
type entry struct {
	router  cell.RouterID
	session cell.Session
	live    bool
	waiting map[cell.AttemptID]int32
	flights map[cell.AttemptID]int32
}

// sessionOf returns the index of an entry, and false if the session is not its present one.
func (d *Dispatcher) sessionOf(router cell.RouterID, session cell.Session) (index int32, ok bool) {
	index, ok = d.entryIndex[router]
	if !ok {
		return 0, false
	}
	from := &d.entries[index]
	return index, from.live && from.session == session
}

func (d *Dispatcher) entryOf(router cell.RouterID) int32 {
	if index, ok := d.entryIndex[router]; ok {
		return index
	}
	index := int32(len(d.entries))
	if last := len(d.freeEntries) - 1; last >= 0 {
		index = d.freeEntries[last]
		d.freeEntries = d.freeEntries[:last]
	} else {
		d.entries = append(d.entries, entry{
			waiting: make(map[cell.AttemptID]int32),
			flights: make(map[cell.AttemptID]int32),
		})
	}
	d.entries[index].router = router
	d.entryIndex[router] = index
	return index
}

// dropEntry frees an entry that has left and has no flights.
func (d *Dispatcher) dropEntry(index int32) {
	gone := &d.entries[index]
	if gone.live || len(gone.flights) > 0 || gone.router == "" {
		return
	}
	delete(d.entryIndex, gone.router)
	gone.router, gone.session = "", 0
	d.freeEntries = append(d.freeEntries, index)
}

func (d *Dispatcher) join(now time.Time, ev *Join) {
	index := d.entryOf(ev.Router)
	from := &d.entries[index]
	if ev.Session < from.session || from.live && ev.Session == from.session {
		return
	}
	d.dropWaiting(index)
	from.session, from.live = ev.Session, true
	d.stakes.Revoke(ev.Router)
	if ev.Stake {
		d.stakes.Lend(now, ev.Router)
	}
	d.takeFlights(now, index, ev.Flights)
	d.mergeCounters(now, ev.Counters)
	d.refreshStakes(now)
}

// takeFlights makes an entry's account equal to what the entry says it has in flight.
func (d *Dispatcher) takeFlights(now time.Time, index int32, flights []cell.Flight) {
	from := &d.entries[index]
	listed := make(map[cell.AttemptID]bool, len(flights))
	for i := range flights {
		listed[flights[i].Attempt] = true
		if slot, ok := from.flights[flights[i].Attempt]; ok {
			d.adopt(slot)
			continue
		}
		d.fly(flight{
			entry: index, attempt: flights[i].Attempt, team: d.teamOf(flights[i].Team),
			endpoint: d.endpointOf(flights[i].Endpoint), start: flights[i].Start,
			charged: flights[i].Charged, granted: now,
		})
	}
	for _, attempt := range slices.Sorted(maps.Keys(from.flights)) {
		if !listed[attempt] {
			d.land(from.flights[attempt])
		}
	}
}

// mergeCounters takes in the counters that an entry saw at its former dispatcher.
// A counter is raised no further than the spread above the virtual time, so that
// counters of another scale starve no team.
func (d *Dispatcher) mergeCounters(now time.Time, counters []cell.TeamCounter) {
	for i := range counters {
		if counters[i].Team == virtualTime {
			d.ledger.Advance(counters[i].Service)
			d.mergedVirtual = max(d.mergedVirtual, counters[i].Service)
		}
	}
	ceiling := d.ledger.Virtual() + d.spread()
	for i := range counters {
		if counters[i].Team == virtualTime {
			continue
		}
		index := d.teamOf(counters[i].Team)
		d.teams[index].active, d.teams[index].merged = now, now
		d.ledger.Merge(int(index), min(counters[i].Service, ceiling))
	}
}

// spread bounds how far apart the counters of backlogged teams stand.
func (d *Dispatcher) spread() float64 {
	return fair.Spread(d.policy.LargestCost, d.slots, d.leastShare)
}

func (d *Dispatcher) renew(now time.Time, ev *Renew) {
	if _, ok := d.sessionOf(ev.Router, ev.Session); !ok {
		return
	}
	before := d.stakes.Held(now)
	d.stakes.Renew(ev.Router, ev.StakeUntil)
	if d.stakes.Held(now) != before {
		d.refreshStakes(now)
		return
	}
	d.stakeExpiry = d.stakes.NextExpiry(now)
}

func (d *Dispatcher) leave(now time.Time, ev *Leave) {
	index, ok := d.sessionOf(ev.Router, ev.Session)
	if !ok {
		return
	}
	d.dropWaiting(index)
	d.entries[index].live = false
	d.stakes.Revoke(ev.Router)
	flights := d.entries[index].flights
	for _, attempt := range slices.Sorted(maps.Keys(flights)) {
		d.orphanFlight(now, flights[attempt])
	}
	d.dropEntry(index)
	d.refreshStakes(now)
}

func (d *Dispatcher) dropWaiting(index int32) {
	waiting := d.entries[index].waiting
	for _, attempt := range slices.Sorted(maps.Keys(waiting)) {
		d.unqueue(waiting[attempt])
	}
}
