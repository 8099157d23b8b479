package flight

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/limit"
	"ryelug/core/slot"
)

// endpoint is what is known of one endpoint.
type endpoint struct {
	id     cell.EndpointID
	open   bool
	gate   limit.Gate
	warm   bool
	former cell.StartID // former is the start before the present one.

	flights     slot.List // flights are all that count, in the order of their grants.
	orphans     int
	orphanBound int // orphanBound is the most orphans that can still run.
	lingering   int

	sampled     time.Time // sampled is the earliest time that the last report can stem from.
	heard       time.Time // heard is when the last report of the present start came.
	reported    int       // reported is the last report's number in flight.
	recent      int       // recent counts flights that the last report may have missed.
	recentSince time.Time // recentSince is the time after which a grant is recent.
	proven      time.Time // proven is the time at which the endpoint ran nothing that an earlier holder of a stake granted.

	resting bool      // resting is true while reports are rare.
	due     time.Time // due is when a report is needed out of turn; zero when none is.
	busyAt  time.Time // busyAt is when the endpoint was last not calm.

	capMature  int // capMature is the cap of the stakes whose earlier holders have nothing in flight.
	capSampled int // capSampled is the cap of the stakes that the last report covers.
	capHeld    int // capHeld is the cap of all stakes held.
}

// Report is an endpoint's own report.
type Report struct {
	limit.Report
	InFlight int
}

// Reported takes in a report.
func (t *Table) Reported(now time.Time, index int32, report Report) {
	at := &t.endpoints[index]
	if report.Sampled.Before(at.sampled) {
		return
	}
	former, last := at.gate.Start(), at.sampled
	if former != "" && former != report.Start && report.Sampled.Before(at.heard) {
		// Either report may be the older one: no grants until that is certain.
		at.gate.Outdated(now)
		t.refresh(now, index)
		return
	}
	at.heard = now
	if at.gate.Reported(now, report.Report) && former != "" {
		at.former = former
		at.proven = later(at.proven, last)
	}
	at.sampled, at.reported = report.Sampled, report.InFlight
	if report.InFlight == 0 {
		at.proven = later(at.proven, report.Sampled)
	}
	t.voidFormer(at)
	t.countRecent(at)
	t.boundDoubtful(at)
	t.rest(now, at)
	t.refresh(now, index)
}

// voidFormer stops counting the flights of former starts.
func (t *Table) voidFormer(at *endpoint) {
	start := at.gate.Start()
	for place := at.flights.Head; place != slot.None; {
		next := t.byEndpoint.Next(place)
		flying := t.At(place)
		isFormer := flying.Start == at.former || !flying.Granted.After(at.sampled)
		if flying.Start != start && isFormer {
			t.makeVoid(place)
		}
		place = next
	}
}

func (t *Table) makeVoid(place int32) {
	if t.At(place).kind == lingering {
		t.Remove(place)
		return
	}
	t.uncount(place)
	t.At(place).kind = void
}

// countRecent counts the flights that may have reached the endpoint after the report.
func (t *Table) countRecent(at *endpoint) {
	at.recentSince = at.sampled.Add(-t.window)
	at.recent = 0
	for place := at.flights.Head; place != slot.None; place = t.byEndpoint.Next(place) {
		if t.At(place).Granted.After(at.recentSince) {
			at.recent++
		}
	}
}

// boundDoubtful lowers the counts of orphans and lingering flights to what the report allows.
func (t *Table) boundDoubtful(at *endpoint) {
	most := at.reported + at.recent
	at.orphanBound = min(at.orphanBound, most)
	for place := at.flights.Head; place != slot.None && at.lingering > most; {
		next := t.byEndpoint.Next(place)
		if t.At(place).kind == lingering {
			t.Remove(place)
		}
		place = next
	}
}

// PollLost takes in that an endpoint did not answer a request for its report.
func (t *Table) PollLost(now time.Time, index int32) {
	t.endpoints[index].gate.PollLost(now)
	t.refresh(now, index)
}

// Ended tells an endpoint's gate what an attempt showed of it; the flight must still be in its slot.
func (t *Table) Ended(now time.Time, place int32, end *cell.End) {
	flying := t.At(place)
	gate := &t.endpoints[flying.Endpoint].gate
	if flying.Start != gate.Start() {
		return
	}
	switch end.Outcome {
	case cell.Completed:
		gate.Completed(now, end.FirstToken)
	case cell.Failed, cell.Refused, cell.Unreached:
		gate.Failed(now)
	case cell.StartChanged:
		gate.Outdated(now)
	}
	t.refresh(now, flying.Endpoint)
}
