package dispatch

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/flight"
	"ryelug/core/limit"
	"ryelug/core/slot"
)

// heldPart divides the charge of an attempt that did not complete.
const heldPart = 16

// grantWaiting grants while a request waits and an endpoint has room.
func (d *Dispatcher) grantWaiting(now time.Time) {
	for d.flights.HasRoom() {
		place := d.next()
		if place == slot.None {
			return
		}
		d.grant(now, place)
	}
}

// next returns the waiting request that the order puts first.
func (d *Dispatcher) next() int32 {
	switch d.order.(type) {
	case FirstCome:
		return d.waiting.First()
	default:
		least, ok := d.ledger.Least()
		if !ok {
			return slot.None
		}
		return d.waiting.FirstOf(int32(least))
	}
}

func (d *Dispatcher) grant(now time.Time, place int32) {
	request := d.waiting.Take(place)
	d.waiting.Granted(now, request.Team)
	of := &d.teams[request.Team]
	of.active = now
	d.granted++
	endpoint := d.flights.Pick(request.Avoid)
	id, start := d.flights.Name(endpoint)
	d.addFlight(flight.Flight{
		Entry: request.Entry, Attempt: request.Attempt, Team: request.Team, Endpoint: endpoint, Start: start,
		Charged: of.estimate.Of(request.Hint, d.policy.LargestCost), Granted: now,
	})
	d.out.Grant(d.entries.At(request.Entry), cell.Grant{Attempt: request.Attempt, Endpoint: id, Start: start})
}

// addFlight counts a new flight at its endpoint, its entry and its team.
func (d *Dispatcher) addFlight(flying flight.Flight) {
	d.entries.At(flying.Entry).Flights[flying.Attempt] = d.flights.Add(flying)
	d.teams[flying.Team].inFlight++
	d.ledger.Charge(int(flying.Team), flying.Charged)
}

// dropFlight counts a flight no more; what it was charged stays charged.
func (d *Dispatcher) dropFlight(place int32) {
	flying := *d.flights.At(place)
	d.ledger.Settle(int(flying.Team), flying.Charged, flying.Charged)
	d.teams[flying.Team].served += flying.Charged
	d.flights.Remove(place)
	d.forget(&flying)
}

// forget takes a flight out of its entry's and team's accounts.
func (d *Dispatcher) forget(flying *flight.Flight) {
	d.teams[flying.Team].inFlight--
	delete(d.entries.At(flying.Entry).Flights, flying.Attempt)
	d.entries.Drop(flying.Entry)
}

func (d *Dispatcher) progressed(now time.Time, ev *Progressed) {
	index, ok := d.entries.Present(ev.Router, ev.Session)
	if !ok {
		return
	}
	for _, progress := range ev.Progress {
		place, running := d.entries.At(index).Flights[progress.Attempt]
		if !running {
			continue
		}
		flying := d.flights.At(place)
		d.teams[flying.Team].active = now
		if more := progress.Cost - flying.Charged; more > 0 {
			flying.Charged = progress.Cost
			d.ledger.Charge(int(flying.Team), more)
		}
	}
}

func (d *Dispatcher) ended(now time.Time, ev *Ended) {
	index, ok := d.entries.Find(ev.Router)
	if !ok {
		return
	}
	for i := range ev.Ends {
		if place, running := d.entries.At(index).Flights[ev.Ends[i].Attempt]; running {
			d.end(now, place, &ev.Ends[i])
		}
	}
}

func (d *Dispatcher) end(now time.Time, place int32, end *cell.End) {
	flying := *d.flights.At(place)
	d.settle(now, &flying, end)
	d.flights.Ended(now, place, end)
	if end.Outcome == cell.Failed || end.Outcome == cell.Cancelled {
		d.flights.Linger(now, place)
	} else {
		d.flights.Remove(place)
	}
	d.forget(&flying)
}

// settle replaces the charge of a flight by its cost. Whatever does not complete
// costs a part of its charge at least, for the time in which it held the endpoint.
func (d *Dispatcher) settle(now time.Time, flying *flight.Flight, end *cell.End) {
	cost := max(1, end.Cost)
	of := &d.teams[flying.Team]
	of.active = now
	if end.Outcome == cell.Completed {
		of.estimate.Seen(cost)
	} else {
		cost = max(cost, flying.Charged/heldPart)
	}
	of.served += cost
	d.ledger.Settle(int(flying.Team), flying.Charged, cost)
}

func (d *Dispatcher) load(now time.Time, ev *Load) {
	index, ok := d.flights.Find(ev.Endpoint)
	if !ok {
		return
	}
	report := limit.Report{Start: ev.Start, Cold: ev.Cold, Completed: ev.Completed, Sampled: ev.Sampled}
	d.flights.Reported(now, index, flight.Report{Report: report, InFlight: ev.InFlight})
}
