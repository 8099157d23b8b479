package admission

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/placing"
)

// attempt is a granted attempt whose end is not yet known.
type attempt struct {
	entry   int32
	attempt cell.AttemptID
	team    int32
	placed  placing.Placement
	charged cell.Cost

	prompt    cell.Prompt // prompt is empty if another dispatcher granted the attempt.
	grantedAt time.Time   // grantedAt is zero if another dispatcher granted the attempt.
	begunAt   time.Time   // begunAt is when the first token was reported; zero before that.
}

// begun returns the time of the first token of an attempt that has ended, and zero if there was none.
func (a *attempt) begun(now time.Time, end *cell.End) time.Time {
	if a.begunAt.IsZero() && end.FirstToken > 0 {
		return now // The report of the first token came with that of the end.
	}
	return a.begunAt
}

// addAttempt records a granted attempt at its entry and its team, and charges the team. It returns the attempt's index.
func (d *Dispatcher) addAttempt(granted attempt) int32 {
	slotIndex := d.flights.Put(granted)
	d.entries.At(granted.entry).Flights[granted.attempt] = slotIndex
	d.teams[granted.team].inFlight++
	d.ledger.Charge(int(granted.team), granted.charged)
	return slotIndex
}

// endAttempt removes an attempt that has ended. The charge remains, unless the attempt never ran at an endpoint:
// then it is refunded.
func (d *Dispatcher) endAttempt(slotIndex int32, end *cell.End) {
	granted := *d.flights.At(slotIndex)
	d.flights.Free(slotIndex)
	d.watchCrash(d.now, &granted, end)
	if d.rollout != nil {
		d.countEnd(slotIndex, &granted, end)
	}
	if end.Outcome == cell.Completed {
		d.suspects.Sound(d.now, &granted.prompt)
	}
	cost := granted.charged
	if end.Outcome == cell.Unused || end.Outcome == cell.Unreached || end.Outcome == cell.Refused {
		cost = 0
		d.dues.Begin(d.now, int(granted.team), -granted.charged)
	}
	d.ledger.Settle(int(granted.team), granted.charged, cost)
	d.teams[granted.team].inFlight--
	delete(d.entries.At(granted.entry).Flights, granted.attempt)
	d.entries.Drop(granted.entry)
	d.endpoints.Ended(d.now, &granted.placed, end.Outcome)
}

// handleProgressed records the first tokens of attempts. Progress of unknown attempts and ended sessions is ignored.
func (d *Dispatcher) handleProgressed(now time.Time, ev *dispatch.Progressed) {
	index, ok := d.entries.FindCurrent(ev.Router, ev.Session)
	if !ok {
		return
	}
	for _, progress := range ev.Progress {
		slotIndex, running := d.entries.At(index).Flights[progress.Attempt]
		if !running || progress.FirstToken == 0 {
			continue
		}
		granted := d.flights.At(slotIndex)
		d.teams[granted.team].active = now
		d.endpoints.Begun(now, &granted.placed)
		if d.rollout != nil {
			d.countBegun(slotIndex, granted, progress.FirstToken)
		}
		if granted.begunAt.IsZero() {
			granted.begunAt = now
		}
		d.noteAlive(now, &granted.placed)
	}
}

// handleEnded removes attempts that have ended. Unknown ones are ignored.
func (d *Dispatcher) handleEnded(now time.Time, ev *dispatch.Ended) {
	index, ok := d.entries.Find(ev.Router)
	if !ok {
		return
	}
	for i := range ev.Ends {
		if slotIndex, running := d.entries.At(index).Flights[ev.Ends[i].Attempt]; running {
			d.teams[d.flights.At(slotIndex).team].active = now
			d.endAttempt(slotIndex, &ev.Ends[i])
		}
	}
}
