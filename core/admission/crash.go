package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ryelug/core/cell"
	"ryelug/core/placing"
	"ryelug/core/result"
	"ryelug/core/suspect"
)

const (
	crashGrace = 100 * time.Millisecond // crashGrace is how long after the first broken answer what an engine sent before it may still be reported.
	crashDoubt = 2 * time.Second        // crashDoubt is how long it may take until an engine that has broken answers is known to have crashed.
)

// Crash is an engine that broke all its answers off, or could not be reached after it broke some off.
type Crash struct {
	Endpoint cell.EndpointID
	Start    cell.StartID
	Age      time.Duration // Age is the time since the first of these answers ended.
	Broken   int           // Broken is the number of attempts whose answers were broken off.
	Waiting  int           // Waiting is the number of those that had no first token.
}

// brokenEngine is a run of an engine's process that has broken answers off, and may have crashed.
type brokenEngine struct {
	start      cell.StartID
	at         time.Time        // at is when the first of these answers ended.
	older      int              // older is the number of attempts from before that have not ended.
	broken     int              // broken is the number of attempts whose answers were broken off.
	isGone     bool             // isGone says that nothing could be sent to it since.
	unfinished []suspect.Answer // unfinished are the broken attempts.
}

// waiting returns the number of broken attempts that had no first token.
func (b *brokenEngine) waiting() (count int) {
	for i := range b.unfinished {
		if b.unfinished[i].BegunAt.IsZero() {
			count++
		}
	}
	return count
}

// watchCrash looks at an attempt that has ended for signs that its engine has crashed, or has not.
func (d *Dispatcher) watchCrash(now time.Time, granted *attempt, end *cell.End) {
	index := granted.placed.EndpointIndex
	broken := d.broken[index]
	if broken != nil && broken.start != granted.placed.Start {
		broken = nil
	}
	isBroken := end.IsBroken && end.Outcome == cell.Failed && len(granted.prompt.Parts) > 0
	if broken == nil {
		if !isBroken {
			return
		}
		broken = &brokenEngine{start: granted.placed.Start, at: now, older: d.endpoints.Running(&granted.placed)}
		d.broken[index] = broken
	}
	if !granted.grantedAt.After(broken.at) {
		broken.older--
	}
	switch {
	case isBroken:
		broken.broken++
		broken.unfinished = append(broken.unfinished, suspect.Answer{Prompt: granted.prompt, BegunAt: granted.begun(now, end)})
	case end.Outcome == cell.Unreached || end.Outcome == cell.StartChanged:
		broken.isGone = true
	case end.Outcome == cell.Completed || end.Outcome == cell.Refused:
		d.noteAlive(now, &granted.placed)
	}
}

// noteAlive records that an engine has answered, so that it has not crashed.
func (d *Dispatcher) noteAlive(now time.Time, placed *placing.Placement) {
	broken, ok := d.broken[placed.EndpointIndex]
	if ok && broken.start == placed.Start && now.Sub(broken.at) > crashGrace {
		delete(d.broken, placed.EndpointIndex)
	}
}

// findCrashes passes the engines that have crashed to the search for the parts that cause it.
func (d *Dispatcher) findCrashes(now time.Time) {
	var crashed []suspect.Crash
	for _, index := range slices.Sorted(maps.Keys(d.broken)) {
		broken := d.broken[index]
		age := now.Sub(broken.at)
		switch {
		case age >= crashGrace && (broken.isGone || broken.older <= 0):
			d.crashes = append(d.crashes, Crash{
				Endpoint: d.endpoints.Name(index), Start: broken.start, Age: age, Broken: broken.broken, Waiting: broken.waiting(),
			})
			crashed = append(crashed, suspect.Crash{ID: crashID(d.endpoints.Name(index), broken.start), At: broken.at, Unfinished: broken.unfinished})
			delete(d.broken, index)
		case age >= crashDoubt:
			delete(d.broken, index)
		}
	}
	if len(crashed) > 0 {
		d.rejections = append(d.rejections, d.suspects.Crashed(now, crashed, d.running)...)
	}
}

// crashID identifies the crash that ended a start of an engine, at all dispatchers alike.
func crashID(engine cell.EndpointID, start cell.StartID) uint64 {
	return xxhash.Sum64String(string(engine) + "\x00" + string(start))
}

// mergeSuspects takes the store's record of suspected parts in, unless it has been already.
func (d *Dispatcher) mergeSuspects(record *suspect.Record) {
	if record == nil || record == d.recorded {
		return
	}
	d.recorded = record
	d.rejections = append(d.rejections, d.suspects.Merge(d.now, record)...)
}

// running yields the answers that engines without a sign of a crash go on with.
func (d *Dispatcher) running(yield func(suspect.Answer) bool) {
	for index := range d.entries.All() {
		for _, slotIndex := range d.entries.At(index).Flights {
			granted := d.flights.At(slotIndex)
			isRunning := d.broken[granted.placed.EndpointIndex] == nil && d.endpoints.Running(&granted.placed) > 0
			if isRunning && !yield(suspect.Answer{Prompt: granted.prompt, BegunAt: granted.begunAt}) {
				return
			}
		}
	}
}

// rejectHarmful refuses a waiting request with a part that crashes engines, and reports whether it did.
func (d *Dispatcher) rejectHarmful(now time.Time, slotIndex int32) bool {
	left, isRejected := d.suspects.Find(now, &d.waiting.At(slotIndex).Prompt)
	if isRejected {
		d.refuse(slotIndex, result.HarmfulPrompt, left, placing.Choice{})
	}
	return isRejected
}

// TakeCrashes returns the crashes since the last call.
func (d *Dispatcher) TakeCrashes() []Crash {
	taken := d.crashes
	d.crashes = nil
	return taken
}

// TakeRejections returns the prompt parts whose rejection has begun since the last call.
func (d *Dispatcher) TakeRejections() []suspect.Rejection {
	taken := d.rejections
	d.rejections = nil
	return taken
}

// Rejected returns the prompt parts whose requests are rejected.
func (d *Dispatcher) Rejected() []cell.RejectedPart { return d.suspects.List(d.now) }

// Unsaved returns how soon the store's record of suspected parts should be written for what it lacks.
func (d *Dispatcher) Unsaved() suspect.Urgency { return d.suspects.Unsaved() }

// IsRefreshDue reports whether that record should be written again for the time that has passed.
func (d *Dispatcher) IsRefreshDue() bool { return d.suspects.IsRefreshDue(d.now) }

// Suspects returns what that record should say.
func (d *Dispatcher) Suspects() suspect.Record { return d.suspects.Record(d.now) }
