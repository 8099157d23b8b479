package dispatch

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/flight"
	"ryelug/core/limit"
	"ryelug/core/slot"
)

// incompleteCostDivisor sets the least cost of an attempt that did not complete: its charge divided by this.
const incompleteCostDivisor = 16

// grantWaiting grants waiting requests until none is left or no endpoint has a free slot.
func (d *Dispatcher) grantWaiting(now time.Time) {
	for d.flights.HasRoom() {
		slotIndex := d.nextRequest()
		if slotIndex == slot.None {
			return
		}
		d.grant(now, slotIndex)
	}
}

// nextRequest returns the queue slot of the request that the order selects next, or slot.None.
func (d *Dispatcher) nextRequest() int32 {
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

func (d *Dispatcher) grant(now time.Time, slotIndex int32) {
	request := d.waiting.Take(slotIndex)
	d.waiting.Granted(now, request.Team)
	team := &d.teams[request.Team]
	team.lastActive = now
	d.grantsSinceReport++
	endpoint := d.flights.Pick(request.Avoid)
	id, start := d.flights.Name(endpoint)
	d.addFlight(flight.Flight{
		Entry: request.Entry, Attempt: request.Attempt, Team: request.Team, Endpoint: endpoint, Start: start,
		Charged: team.estimate.Next(request.EstimatedCost, d.policy.LargestCost), Granted: now,
	})
	d.out.Grant(d.entries.At(request.Entry), cell.Grant{Attempt: request.Attempt, Endpoint: id, Start: start})
}

// addFlight records a new flight for its endpoint, entry router and team, and charges the team.
func (d *Dispatcher) addFlight(f flight.Flight) {
	d.entries.At(f.Entry).Flights[f.Attempt] = d.flights.Add(f)
	d.teams[f.Team].inFlight++
	d.ledger.Charge(int(f.Team), f.Charged)
}

// dropFlight removes a flight whose real cost is unknown; the cost charged to the team so far becomes final.
func (d *Dispatcher) dropFlight(slotIndex int32) {
	f := *d.flights.At(slotIndex)
	d.ledger.Settle(int(f.Team), f.Charged, f.Charged)
	d.teams[f.Team].served += f.Charged
	d.flights.Remove(slotIndex)
	d.untrack(&f)
}

// untrack removes a flight from its entry router and its team, and frees the entry if nothing is left of it.
func (d *Dispatcher) untrack(f *flight.Flight) {
	d.teams[f.Team].inFlight--
	delete(d.entries.At(f.Entry).Flights, f.Attempt)
	d.entries.Drop(f.Entry)
}

func (d *Dispatcher) progressed(now time.Time, ev *Progressed) {
	index, ok := d.entries.FindCurrent(ev.Router, ev.Session)
	if !ok {
		return
	}
	for _, progress := range ev.Progress {
		slotIndex, running := d.entries.At(index).Flights[progress.Attempt]
		if !running {
			continue
		}
		f := d.flights.At(slotIndex)
		d.teams[f.Team].lastActive = now
		if more := progress.Cost - f.Charged; more > 0 {
			f.Charged = progress.Cost
			d.ledger.Charge(int(f.Team), more)
		}
	}
}

func (d *Dispatcher) ended(now time.Time, ev *Ended) {
	index, ok := d.entries.Find(ev.Router)
	if !ok {
		return
	}
	for i := range ev.Ends {
		if slotIndex, running := d.entries.At(index).Flights[ev.Ends[i].Attempt]; running {
			d.end(now, slotIndex, &ev.Ends[i])
		}
	}
}

func (d *Dispatcher) end(now time.Time, slotIndex int32, end *cell.End) {
	f := *d.flights.At(slotIndex)
	d.settle(now, &f, end)
	d.flights.Ended(now, slotIndex, end)
	if end.Outcome == cell.Failed || end.Outcome == cell.Cancelled {
		d.flights.MarkLingering(now, slotIndex)
	} else {
		d.flights.Remove(slotIndex)
	}
	d.untrack(&f)
}

// settle replaces the provisional charge of a flight by its real cost. An attempt that
// did not complete costs at least a part of its charge, because it occupied the endpoint.
func (d *Dispatcher) settle(now time.Time, f *flight.Flight, end *cell.End) {
	cost := max(1, end.Cost)
	team := &d.teams[f.Team]
	team.lastActive = now
	if end.Outcome == cell.Completed {
		team.estimate.Observe(cost)
	} else {
		cost = max(cost, f.Charged/incompleteCostDivisor)
	}
	team.served += cost
	d.ledger.Settle(int(f.Team), f.Charged, cost)
}

func (d *Dispatcher) load(now time.Time, ev *Load) {
	index, ok := d.flights.Find(ev.Endpoint)
	if !ok {
		return
	}
	report := limit.Report{Start: ev.Start, Cold: ev.Cold, Completed: ev.Completed, Sampled: ev.Sampled}
	d.flights.Reported(now, index, flight.Report{Report: report, InFlight: ev.InFlight})
}
