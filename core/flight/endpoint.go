package flight

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/limit"
	"ryelug/core/slot"
)

// endpoint holds the state and the flight counts of one endpoint.
type endpoint struct {
	id          cell.EndpointID
	open        bool            // open is true if the endpoint may get new requests.
	slowStart   limit.SlowStart // slowStart determines the limit, by slow start, and whether the endpoint is reachable.
	warm        bool            // warm is true if the state of slowStart was Warm when the caps were computed.
	formerStart cell.StartID    // formerStart identifies the previous run of the endpoint's process; empty if there was none.

	flights     slot.List // flights lists the flights of all kinds except uncounted, in the order in which they were added.
	orphans     int       // orphans counts the flights whose entry router's session has ended.
	orphanBound int       // orphanBound is the greatest number of orphans that can still be running.
	lingering   int       // lingering counts the flights that ended without an answer and may still be running.

	sampledAt        time.Time // sampledAt is the earliest time at which the last load report can have been sampled.
	receivedAt       time.Time // receivedAt is when the last load report of the current run arrived.
	reportedInFlight int       // reportedInFlight is the number of running requests in the last load report.
	recent           int       // recent counts the flights that the last load report may not include.
	recentSince      time.Time // recentSince is the time after which a grant may be missing from the last load report.
	drainedAt        time.Time // drainedAt is the latest time for which all requests that reached the endpoint before it are known to have ended.

	rarelyPolled bool      // rarelyPolled is true while load reports are requested rarely.
	reportDue    time.Time // reportDue is when a load report is needed ahead of schedule; zero if none is.
	notCalmAt    time.Time // notCalmAt is when the endpoint was last not calm (see isCalm) after a load report, or when a report was last requested ahead of schedule.

	capMature  int // capMature is the cap for the stakes whose previous holders granted no request that is still in flight here.
	capSampled int // capSampled is the cap for the stakes whose previous holders' requests in flight are all included in the last load report.
	capHeld    int // capHeld is the cap for all stakes that the dispatcher holds.
}

// Report is a load report by an endpoint.
type Report struct {
	limit.Report
	InFlight int // InFlight is the number of requests that the endpoint was running.
}

// Reported processes a load report. A report that was sampled before the last one is ignored.
func (t *Table) Reported(now time.Time, index int32, report Report) {
	ep := &t.endpoints[index]
	if report.Sampled.Before(ep.sampledAt) {
		return
	}
	formerStart, lastSampledAt := ep.slowStart.Start(), ep.sampledAt
	if formerStart != "" && formerStart != report.Start && report.Sampled.Before(ep.receivedAt) {
		// Two reports of different runs of the process, either of which may be the older one: no grants until the next report.
		ep.slowStart.RestartDetected(now)
		t.updateCaps(now, index)
		return
	}
	ep.receivedAt = now
	if ep.slowStart.Reported(now, report.Report) && formerStart != "" {
		ep.formerStart = formerStart
		ep.drainedAt = later(ep.drainedAt, lastSampledAt)
	}
	ep.sampledAt, ep.reportedInFlight = report.Sampled, report.InFlight
	if report.InFlight == 0 {
		ep.drainedAt = later(ep.drainedAt, report.Sampled)
	}
	t.stopCountingFormer(ep)
	t.countRecent(ep)
	t.boundUncertain(ep)
	t.updatePollRate(now, ep)
	t.updateCaps(now, index)
}

// stopCountingFormer stops counting the flights that were granted for earlier runs of the endpoint's process.
func (t *Table) stopCountingFormer(ep *endpoint) {
	start := ep.slowStart.Start()
	for slotIndex := ep.flights.Head; slotIndex != slot.None; {
		next := t.byEndpoint.Next(slotIndex)
		f := t.At(slotIndex)
		isFormer := f.Start == ep.formerStart || !f.Granted.After(ep.sampledAt)
		if f.Start != start && isFormer {
			t.stopCounting(slotIndex)
		}
		slotIndex = next
	}
}

func (t *Table) stopCounting(slotIndex int32) {
	if t.At(slotIndex).kind == lingering {
		t.Remove(slotIndex)
		return
	}
	t.uncount(slotIndex)
	t.At(slotIndex).kind = uncounted
}

// countRecent counts the flights that may have arrived at the endpoint after the last load report was sampled.
func (t *Table) countRecent(ep *endpoint) {
	ep.recentSince = ep.sampledAt.Add(-t.window)
	ep.recent = 0
	for slotIndex := ep.flights.Head; slotIndex != slot.None; slotIndex = t.byEndpoint.Next(slotIndex) {
		if t.At(slotIndex).Granted.After(ep.recentSince) {
			ep.recent++
		}
	}
}

// boundUncertain limits the counts of orphans and lingering flights to the number that can be running according to the
// last load report.
func (t *Table) boundUncertain(ep *endpoint) {
	maxRunning := ep.reportedInFlight + ep.recent
	ep.orphanBound = min(ep.orphanBound, maxRunning)
	for slotIndex := ep.flights.Head; slotIndex != slot.None && ep.lingering > maxRunning; {
		next := t.byEndpoint.Next(slotIndex)
		if t.At(slotIndex).kind == lingering {
			t.Remove(slotIndex)
		}
		slotIndex = next
	}
}

// PollLost records that an endpoint did not answer a request for its load report.
func (t *Table) PollLost(now time.Time, index int32) {
	t.endpoints[index].slowStart.PollLost(now)
	t.updateCaps(now, index)
}

// Ended updates the slow-start and health state of an endpoint from the outcome of an attempt. It must be called before
// the flight is removed.
func (t *Table) Ended(now time.Time, slotIndex int32, end *cell.End) {
	f := t.At(slotIndex)
	slowStart := &t.endpoints[f.Endpoint].slowStart
	if f.Start != slowStart.Start() {
		return
	}
	switch end.Outcome {
	case cell.Completed:
		slowStart.Completed(now, end.FirstToken)
	case cell.Failed, cell.Refused, cell.Unreached:
		slowStart.Failed(now)
	case cell.StartChanged:
		slowStart.RestartDetected(now)
	}
	t.updateCaps(now, f.Endpoint)
}
