package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/rollout"
)

// tried is a Trial after 10.5 s of 100 requests a second, of which those at the target fail in part.
type tried struct {
	*rollout.Trial
	now      time.Time
	order    rollout.Order
	capacity rollout.Capacity
	verdicts []rollout.Verdict
}

func newTried(capacity rollout.Capacity) *tried {
	began := time.Unix(1000, 0)
	order := rollout.Order{Cell: "c", Target: "v2", Revision: 1, Duration: 12 * time.Second, Seen: began, ConfirmedAt: began, State: rollout.Running}
	return &tried{
		Trial: rollout.New(rollout.Config{Order: order, Bounds: rollout.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}}),
		now:   began, order: order, capacity: capacity,
	}
}

func try(failEvery int, capacity rollout.Capacity) *tried {
	t := newTried(capacity)
	exposed := 0
	for t.now.Before(t.order.Seen.Add(10500 * time.Millisecond)) {
		t.step(10 * time.Millisecond)
		endpoint := t.Focus()
		sample := rollout.Sample{Group: t.Pick(t.now, "k"), Class: "k", Endpoint: endpoint, Outcome: cell.Completed, Took: time.Millisecond, Running: 1, Slots: 4, GrantedAt: t.now}
		t.Granted(t.now, sample.Group, "k", endpoint)
		if sample.Group == rollout.Target {
			if exposed++; failEvery > 0 && exposed%failEvery == 0 {
				sample.Outcome = cell.Failed
			}
		}
		t.Ended(t.now, sample)
	}
	return t
}

// step lets time pass, with a new confirmation of the order.
func (t *tried) step(span time.Duration) {
	t.now = t.now.Add(span)
	t.order.ConfirmedAt = t.now
	t.Update(t.order)
	if verdict, ok := t.Step(t.now, t.capacity, true); ok {
		t.verdicts = append(t.verdicts, verdict)
	}
}

var enough = rollout.Capacity{Targets: []rollout.Offer{{Endpoint: "e0", Slots: 4}, {Endpoint: "e1", Slots: 4}, {Endpoint: "e2", Slots: 4}}, ReadySlots: 12, StableEndpoints: 3, StableSlots: 12, StableRunning: 6}

// Guards against a verdict that is lost with a write, or with the store's state: the judge returns it until the store has it.
func TestVerdictIsRepeated(t *testing.T) {
	is := is.New(t)
	tried := try(0, enough)
	is.Equal(len(tried.verdicts), 1)
	is.Equal(tried.verdicts[0].State, rollout.Completed)
	tried.step(time.Second)
	is.Equal(len(tried.verdicts), 2)
	tried.order.State = rollout.Completed
	tried.step(2 * time.Second)
	is.Equal(len(tried.verdicts), 2)
	tried.order.State = rollout.Running // The store was restored from an older copy.
	tried.step(time.Second)
	is.Equal(len(tried.verdicts), 3)
	is.Equal(tried.verdicts[2].State, rollout.Completed)
	is.Equal(tried.Pick(tried.now, "k"), rollout.Target)
}

// Guards against a dispatcher that goes by its own verdict although the store has another one.
func TestStorePrecedes(t *testing.T) {
	is := is.New(t)
	tried := try(0, enough)
	tried.order.State = rollout.RolledBack
	tried.step(10 * time.Millisecond)
	is.Equal(tried.Pick(tried.now, "k"), rollout.Stable)
	is.True(!tried.MayUse(tried.now, rollout.Target))
}

// Guards against the end of the old version before the target can do its work.
func TestCapacityFirst(t *testing.T) {
	is := is.New(t)
	few := enough
	few.ReadySlots = 6
	is.Equal(len(try(0, few).verdicts), 0)
	tried := try(0, few)
	tried.step(600 * time.Millisecond)
	is.Equal(tried.verdicts[0].State, rollout.RolledBack)
}

// Guards against a verdict that waits for the deadline although the target is known to be bad: one in four of its answers fails.
func TestVerdictOnFailures(t *testing.T) {
	is := is.New(t)
	tried := try(4, enough)
	is.Equal(tried.verdicts[0].State, rollout.RolledBack)
	is.True(tried.verdicts[0].Counts.Exposed < 50)
	is.True(tried.verdicts[0].Order.ConfirmedAt.Before(tried.order.Seen.Add(8 * time.Second)))
}

// Guards against versions that are never compared because few streams end by themselves: callers leave them after the first event.
func TestStreams(t *testing.T) {
	is := is.New(t)
	for _, factor := range []time.Duration{1, 3} {
		tried := newTried(enough)
		for tried.now.Before(tried.order.Seen.Add(10500 * time.Millisecond)) {
			tried.step(10 * time.Millisecond)
			sample := rollout.Sample{Group: tried.Pick(tried.now, "k"), Class: "k", Endpoint: tried.Focus(), Took: 100 * time.Millisecond, Running: 1, Slots: 4}
			if sample.Group == rollout.Target {
				sample.Took *= factor
			}
			tried.Granted(tried.now, sample.Group, "k", sample.Endpoint)
			tried.Begun(sample)
			sample.Outcome, sample.HasBegun = cell.Cancelled, true
			tried.Ended(tried.now, sample)
		}
		is.Equal(tried.verdicts[0].State == rollout.Completed, factor == 1)
	}
}

// Guards against a version in doubt that answers most requests of the rare classes beyond those that are told apart.
func TestRareClassesBeyondTheLastGoToTheOldVersion(t *testing.T) {
	is := is.New(t)
	tried := newTried(enough)
	asked, exposed := 0, 0
	for n := range 1000 {
		tried.step(10 * time.Millisecond)
		class := fmt.Sprint(n % 16)
		if n >= 100 && n%20 == 0 {
			class = fmt.Sprint("rare ", n%40)
		}
		group := tried.Pick(tried.now, class)
		if class[0] == 'r' {
			asked++
			if group == rollout.Target {
				exposed++
			}
		}
		sample := rollout.Sample{Group: group, Class: class, Endpoint: tried.Focus(), Outcome: cell.Completed, Took: time.Millisecond, Running: 1, Slots: 4, GrantedAt: tried.now}
		tried.Granted(tried.now, group, class, sample.Endpoint)
		tried.Ended(tried.now, sample)
	}
	is.True(asked > 40)
	is.True(3*exposed <= asked)
}

// play lets time pass with 100 requests a second, of which those at the target fail if isBad is true, until the span has passed or
// until returns true.
func (t *tried) play(span time.Duration, isBad bool, until func() bool) {
	for end := t.now.Add(span); t.now.Before(end) && !until(); {
		t.step(10 * time.Millisecond)
		sample := rollout.Sample{Group: t.Pick(t.now, "k"), Class: "k", Endpoint: t.Focus(), Outcome: cell.Completed, Took: time.Millisecond, Running: 1, Slots: 4, GrantedAt: t.now}
		t.Granted(t.now, sample.Group, "k", sample.Endpoint)
		if isBad && sample.Group == rollout.Target {
			sample.Outcome = cell.Failed
		}
		t.Ended(t.now, sample)
	}
}

// Guards against the completion of a version that turned bad late, by a judge that goes by what an earlier one found before that: the
// entries keep the largest counter of each name for some seconds, so a note can't be taken back by leaving it out.
func TestNoteIsTakenBack(t *testing.T) {
	is := is.New(t)
	const sound = "@rollout/v2/1/sound"
	entries := map[cell.TeamID]float64{}
	first := newTried(enough)
	isTold := func() bool {
		notes := first.Notes(nil)
		for _, note := range notes {
			entries[note.Team] = max(entries[note.Team], note.Service)
		}
		return len(notes) == 1 && notes[0] == cell.TeamCounter{Team: sound, Service: 1}
	}
	never := func() bool { return false }
	first.play(9*time.Second, false, isTold)
	is.True(isTold())
	first.play(time.Second, true, func() bool { return !isTold() })
	is.True(!isTold())
	is.Equal(len(first.verdicts), 0) // It has doubts, and no proof yet.

	for _, isFresh := range []bool{true, false} { // The first judge may also be lost before it has doubts.
		next := newTried(enough)
		next.now = next.now.Add(10 * time.Second)
		next.step(0)
		for team, service := range entries {
			if !isFresh {
				service = 1
			}
			next.Learn(&cell.TeamCounter{Team: team, Service: service})
		}
		next.play(1500*time.Millisecond, false, never)
		is.Equal(len(next.verdicts) > 0 && next.verdicts[0].State == rollout.Completed, !isFresh)
	}
}
