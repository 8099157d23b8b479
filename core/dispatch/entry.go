package dispatch

import (
	"maps"
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/flight"
)

func (d *Dispatcher) join(now time.Time, ev *Join) {
	index, isNew := d.waiting.Join(ev.Router, ev.Session)
	if !isNew {
		return
	}
	d.flights.Revoke(now, ev.Router)
	unlent := now.Add(-max(0, ev.Unlent))
	if ev.Stake {
		d.flights.Lend(now, unlent, ev.Router)
	}
	d.takeFlights(unlent, index, ev.Flights)
	d.mergeCounters(now, ev.Counters)
}

// takeFlights makes an entry's account equal to what the entry says it has in
// flight, none of which was granted after the given time by another dispatcher.
func (d *Dispatcher) takeFlights(granted time.Time, index int32, flights []cell.Flight) {
	from := d.entries.At(index)
	listed := make(map[cell.AttemptID]bool, len(flights))
	for i := range flights {
		listed[flights[i].Attempt] = true
		if place, ok := from.Flights[flights[i].Attempt]; ok {
			d.flights.Adopt(place)
			continue
		}
		d.addFlight(flight.Flight{
			Entry: index, Attempt: flights[i].Attempt, Team: d.teamOf(flights[i].Team),
			Endpoint: d.flights.Ensure(flights[i].Endpoint), Start: flights[i].Start,
			Charged: flights[i].Charged, Granted: granted,
		})
	}
	for _, attempt := range slices.Sorted(maps.Keys(from.Flights)) {
		if !listed[attempt] {
			d.dropFlight(from.Flights[attempt])
		}
	}
}

// mergeCounters takes in the counters that an entry saw at its former dispatcher.
// A counter is raised no further than the spread above the virtual time, so that
// counters of another scale starve no team.
func (d *Dispatcher) mergeCounters(now time.Time, counters []cell.TeamCounter) {
	for i := range counters {
		if counters[i].Team == VirtualTime {
			d.ledger.Advance(counters[i].Service)
			d.mergedVirtual = max(d.mergedVirtual, counters[i].Service)
		}
	}
	ceiling := d.ledger.Virtual() + d.spread()
	for i := range counters {
		if counters[i].Team == VirtualTime {
			continue
		}
		index := d.teamOf(counters[i].Team)
		d.teams[index].active, d.teams[index].merged = now, now
		d.ledger.Merge(int(index), min(counters[i].Service, ceiling))
	}
}

func (d *Dispatcher) renew(now time.Time, ev *Renew) {
	if _, ok := d.entries.Present(ev.Router, ev.Session); ok {
		d.flights.Renew(now, ev.Router, ev.StakeUntil)
	}
}

func (d *Dispatcher) leave(now time.Time, ev *Leave) {
	index, ok := d.waiting.Leave(ev.Router, ev.Session)
	if !ok {
		return
	}
	flights := d.entries.At(index).Flights
	for _, attempt := range slices.Sorted(maps.Keys(flights)) {
		d.flights.Orphan(now, flights[attempt])
	}
	d.flights.Revoke(now, ev.Router)
	d.entries.Drop(index)
}
