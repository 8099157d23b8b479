package admission

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/engine"
)

// attempt is a granted attempt that has not been seen to end.
type attempt struct {
	entry    int32
	attempt  cell.AttemptID
	team     int32
	endpoint int32
	start    cell.StartID
	charged  cell.Cost
	run      *engine.Run // run is nil at a plain service.
}

// add counts a new flight at its entry and its team.
func (d *Dispatcher) add(flying attempt) {
	flying.start = d.endpoints[flying.endpoint].start
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
	}
	d.ledger.Settle(int(flying.team), flying.charged, cost)
	d.teams[flying.team].inFlight--
	delete(d.entries.At(flying.entry).Flights, flying.attempt)
	d.entries.Drop(flying.entry)
	at := &d.endpoints[flying.endpoint]
	if at.start != flying.start {
		return
	}
	at.running--
	if at.engine != nil && flying.run != nil {
		at.engine.Ended(d.now, flying.run)
	}
	at.seen(d.now, end.Outcome)
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
		at := &d.endpoints[flying.endpoint]
		if at.engine != nil && flying.run != nil && at.start == flying.start {
			at.engine.Begun(now, flying.run)
		}
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
