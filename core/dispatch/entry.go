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
	unlent := now.Add(-max(0, ev.UncountedFor))
	if ev.Stake {
		d.flights.Lend(now, unlent, ev.Router)
	}
	d.reconcileFlights(unlent, index, ev.Flights)
	d.mergeCounters(now, ev.Counters)
}

// reconcileFlights replaces the recorded flights of an entry router by the list that the
// router sent with its Join. Other dispatchers granted none of them after the given time.
func (d *Dispatcher) reconcileFlights(granted time.Time, index int32, flights []cell.Flight) {
	entry := d.entries.At(index)
	listed := make(map[cell.AttemptID]bool, len(flights))
	for i := range flights {
		listed[flights[i].Attempt] = true
		if slotIndex, ok := entry.Flights[flights[i].Attempt]; ok {
			d.flights.Adopt(slotIndex)
			continue
		}
		d.addFlight(flight.Flight{
			Entry: index, Attempt: flights[i].Attempt, Team: d.ensureTeam(flights[i].Team),
			Endpoint: d.flights.Ensure(flights[i].Endpoint), Start: flights[i].Start,
			Charged: flights[i].Charged, Granted: granted,
		})
	}
	for _, attempt := range slices.Sorted(maps.Keys(entry.Flights)) {
		if !listed[attempt] {
			d.dropFlight(entry.Flights[attempt])
		}
	}
}

// mergeCounters merges the team counters that an entry router saw at its previous
// dispatcher. No counter is raised by more than maxSpread above the virtual time, so
// that counters of another scale can't starve a team.
func (d *Dispatcher) mergeCounters(now time.Time, counters []cell.TeamCounter) {
	for i := range counters {
		if counters[i].Team == VirtualTime {
			d.ledger.Advance(counters[i].Service)
			d.mergedVirtual = max(d.mergedVirtual, counters[i].Service)
		}
	}
	ceiling := d.ledger.Virtual() + d.maxSpread()
	for i := range counters {
		if counters[i].Team == VirtualTime {
			continue
		}
		index := d.ensureTeam(counters[i].Team)
		d.teams[index].lastActive, d.teams[index].mergedAt = now, now
		d.ledger.Merge(int(index), min(counters[i].Service, ceiling))
	}
}

func (d *Dispatcher) renew(now time.Time, ev *Renew) {
	if _, ok := d.entries.FindCurrent(ev.Router, ev.Session); ok {
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
		d.flights.MarkOrphan(now, flights[attempt])
	}
	d.flights.Revoke(now, ev.Router)
	d.entries.Drop(index)
}
