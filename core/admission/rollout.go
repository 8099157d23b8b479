package admission

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/placing"
	"ryelug/core/rollout"
)

// rolloutState is the move of the cell's traffic to endpoints of another version.
type rolloutState struct {
	trial  *rollout.Trial
	grants []rolloutGrant // grants holds, by the index of the attempt, those that the trial counts.
}

// rolloutGrant is what the trial needs of an attempt when it ends. Its group is zero for an attempt that the trial does not count.
type rolloutGrant struct {
	group    rollout.Group
	class    string
	expected time.Duration
	wasCold  bool // wasCold is true if the endpoint was cold at the grant.
	hasBegun bool // hasBegun is true if the trial knows the time of the first token.
}

// TakeVerdicts returns the verdicts on the cell's roll-out since the last call, which must be written to the store. A verdict is
// returned again from time to time until the policy's order has a final state.
func (d *Dispatcher) TakeVerdicts() []rollout.Verdict {
	taken := d.verdicts
	d.verdicts = nil
	return taken
}

// Rollout returns the state of the cell's roll-out, and false if there is none.
func (d *Dispatcher) Rollout() (rollout.Status, bool) {
	if d.rollout == nil {
		return rollout.Status{}, false
	}
	return d.rollout.trial.Status(d.now), true
}

// setRollout applies the policy's order. Without an order the roll-out stays in its state for as long as endpoints of several
// versions are open.
func (d *Dispatcher) setRollout(policy *dispatch.Policy) {
	if policy.RolloutBounds.Share <= 0 {
		d.rollout = nil
		d.endpoints.EndRollout()
		return
	}
	order := policy.Rollout
	if order == nil {
		d.holdVersions(policy)
		return
	}
	if d.rollout != nil && d.isSameOrder(order) {
		d.rollout.trial.Update(*order)
	} else {
		d.rollout = &rolloutState{trial: rollout.New(rollout.Config{Order: *order, Bounds: policy.RolloutBounds})}
	}
	d.endpoints.SetTarget(order.Target)
	d.endpoints.SetFaulty(d.rollout.trial)
}

func (d *Dispatcher) isSameOrder(order *rollout.Order) bool {
	current := d.rollout.trial.Order()
	return current.IsSame(order)
}

// holdVersions handles a policy without an order. Endpoints of a new version that start before the order is known must get nothing,
// so while several versions are open only the one that was in use before gets requests.
func (d *Dispatcher) holdVersions(policy *dispatch.Policy) {
	version, isMixed := placing.CommonVersion(policy.Endpoints)
	switch {
	case !isMixed:
		d.rollout = nil
		d.endpoints.EndRollout()
		if version != "" {
			d.version = version
		}
		return
	case d.rollout != nil:
		d.rollout.trial.Remove()
	default:
		if d.version == "" {
			d.version = version
		}
		trial := rollout.New(rollout.Config{Order: rollout.Order{Cell: d.cell, Target: d.version, State: rollout.Completed}, Bounds: policy.RolloutBounds})
		trial.Remove()
		d.rollout = &rolloutState{trial: trial}
	}
	order := d.rollout.trial.Order()
	d.endpoints.SetTarget(order.Target)
}

// stepRollout advances the roll-out. This dispatcher is the judge if it holds more than half of the stakes.
func (d *Dispatcher) stepRollout(now time.Time) {
	if d.rollout == nil {
		return
	}
	held, total := d.stakes.HeldSince(now, now)
	verdict, ok := d.rollout.trial.Step(now, d.endpoints.Capacity(now), 2*held > total)
	if ok {
		d.verdicts = append(d.verdicts, verdict)
	}
	d.endpoints.SetFaulty(d.rollout.trial)
}

// choose returns the endpoint for a waiting request, or the reason why it waits or is refused.
func (d *Dispatcher) choose(now time.Time, request *placing.Request, class string) placing.Choice {
	if d.rollout == nil {
		return d.endpoints.Choose(now, request)
	}
	trial := d.rollout.trial
	picked := trial.Pick(now, class)
	other := rollout.Stable + rollout.Target - picked
	hasFailedAtTarget := request.Avoid >= 0 && d.endpoints.GroupOf(request.Avoid) == rollout.Target
	if picked == rollout.Target && hasFailedAtTarget && trial.MayUse(now, rollout.Stable) {
		picked, other = rollout.Stable, rollout.Target
	}
	if trial.IsRemoved() && !d.endpoints.HasOpen(picked) {
		return d.endpoints.ChooseIn(now, request, other, trial)
	}
	choice := d.endpoints.ChooseIn(now, request, picked, trial)
	if choice.Verdict == placing.Admitted || !trial.MayUse(now, other) || other == rollout.Target && hasFailedAtTarget {
		return choice
	}
	instead := d.endpoints.ChooseIn(now, request, other, trial)
	if instead.Verdict == placing.Admitted || other == rollout.Stable {
		return instead
	}
	return choice
}

// noteGrant records the grant of a request of the class whose attempt has the index.
func (d *Dispatcher) noteGrant(index int32, class string, placed *placing.Placement, grant *cell.Grant) {
	r := d.rollout
	for len(r.grants) <= int(index) {
		r.grants = append(r.grants, rolloutGrant{})
	}
	sample := d.endpoints.Sample(d.now, placed)
	r.grants[index] = rolloutGrant{group: sample.Group, class: class, expected: placed.Expected(grant), wasCold: sample.Cold}
	r.trial.Granted(d.now, sample.Group, class, grant.Endpoint)
}

// countBegun records the first token of an attempt with the index.
func (d *Dispatcher) countBegun(index int32, granted *attempt, took time.Duration) {
	if sample, ok := d.sampleOf(index, granted); ok && !sample.HasBegun {
		d.rollout.grants[index].hasBegun = true
		sample.Took = took
		d.rollout.trial.Begun(sample)
	}
}

// countEnd records the end of an attempt with the index, which still counts at its endpoint.
func (d *Dispatcher) countEnd(index int32, granted *attempt, end *cell.End) {
	if sample, ok := d.sampleOf(index, granted); ok {
		d.rollout.grants[index] = rolloutGrant{}
		sample.Outcome, sample.Took = end.Outcome, end.Took
		d.rollout.trial.Ended(d.now, sample)
	}
}

// sampleOf returns what the trial needs of an attempt with the index, and false if it does not count the attempt.
func (d *Dispatcher) sampleOf(index int32, granted *attempt) (rollout.Sample, bool) {
	if int(index) >= len(d.rollout.grants) || d.rollout.grants[index].group == 0 {
		return rollout.Sample{}, false
	}
	counted := &d.rollout.grants[index]
	sample := d.endpoints.Sample(d.now, &granted.placed)
	sample.Group, sample.Class, sample.Expected = counted.group, counted.class, counted.expected
	sample.Cold = sample.Cold || counted.wasCold
	sample.GrantedAt, sample.HasBegun = granted.grantedAt, counted.hasBegun
	return sample, true
}

// learnNote reports whether a counter is a note about a roll-out, and passes it on.
func (d *Dispatcher) learnNote(counter *cell.TeamCounter) bool {
	if !rollout.IsNote(counter) {
		return false
	}
	if d.rollout != nil {
		d.rollout.trial.Learn(counter)
	}
	return true
}
