package admission

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/placing"
)

// attempt is a granted attempt that has not been seen to end.
type attempt struct {
	entry   int32
	attempt cell.AttemptID
	team    int32
	placed  placing.Placed
	charged cell.Cost
}

// add counts a new flight at its entry and its team.
func (d *Dispatcher) add(flying attempt) {
	d.entries.At(flying.entry).Flights[flying.attempt] = d.flights.Put(flying)
	d.teams[flying.team].inFlight++
	d.ledger.Charge(int(flying.team), flying.charged)
}

// drop counts a flight no more and settles its charge.
func (d *Dispatcher) drop(place int32, end *cell.End) {
	flying := *d.flights.At(place)
	d.flights.Free(place)
	cost := flying.charged
	if end.Outcome == cell.Unused || end.Outcome == cell.Unreached || end.Outcome == cell.Refused {
		cost = 0
		d.dues.Begin(d.now, int(flying.team), -flying.charged)
	}
	d.ledger.Settle(int(flying.team), flying.charged, cost)
	d.teams[flying.team].inFlight--
	delete(d.entries.At(flying.entry).Flights, flying.attempt)
	d.entries.Drop(flying.entry)
	d.places.Ended(d.now, &flying.placed, end.Outcome)
}

func (d *Dispatcher) progressed(now time.Time, ev *dispatch.Progressed) {
	index, ok := d.entries.Present(ev.Router, ev.Session)
	if !ok {
		return
	}
	for _, progress := range ev.Progress {
		place, running := d.entries.At(index).Flights[progress.Attempt]
		if !running || progress.FirstToken == 0 {
			continue
		}
		flying := d.flights.At(place)
		d.teams[flying.team].active = now
		d.places.Begun(now, &flying.placed)
	}
}

func (d *Dispatcher) ended(now time.Time, ev *dispatch.Ended) {
	index, ok := d.entries.Find(ev.Router)
	if !ok {
		return
	}
	for i := range ev.Ends {
		if place, running := d.entries.At(index).Flights[ev.Ends[i].Attempt]; running {
			d.teams[d.flights.At(place).team].active = now
			d.drop(place, &ev.Ends[i])
		}
	}
}
