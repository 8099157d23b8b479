package rollout

import (
	"fmt"
	"time"
)

const (
	// finalOdds is the logarithm of the odds from which a target is bad when time is up.
	finalOdds = 6
	// doubtfulOdds is that from which the verdict waits for more samples if there is time.
	doubtfulOdds = 3
	// neededSamples is the number of samples that excludes a version that fails one in ten, with an error of 1 in 1,000.
	neededSamples = 65
	// neededPart is the part of the requests that must be samples of the target where neededSamples are out of reach.
	neededPart = 0.04
	// leastTraffic is the number of requests from which a class needs samples.
	leastTraffic = 25
	// faultyPart is the part of the odds that must remain without one endpoint; otherwise that one is faulty, not the version.
	faultyPart = 0.25
	// comparedEndpoints is the least number of endpoints with samples of which one can be faulty.
	comparedEndpoints = 3
	// neededLoaded is the number of samples under load that another endpoint needs before one is left out as faulty.
	neededLoaded = 10
	// repeatAfter is the time after which a verdict that the store does not show is returned again.
	repeatAfter = time.Second
	// capacityMargin is by how much more slots the target needs than requests run at the other version.
	capacityMargin = 1.25
)

// Step advances the time, and must be called at least every 100 ms. It returns a verdict that the judge must have written to
// the store, and whether there is one. It returns the verdict again from time to time until Update shows a final state.
func (t *Trial) Step(now time.Time, capacity Capacity, isJudge bool) (Verdict, bool) {
	if t.startedAt.IsZero() {
		t.startedAt, t.bucketEnds = now, now.Add(bucketSpan)
	}
	if t.isRemoved {
		return Verdict{}, false
	}
	if !now.Before(t.bucketEnds) {
		t.closeBucket()
		t.bucketEnds = now.Add(bucketSpan)
		t.convict()
	}
	t.demand.addAt(now, float64(capacity.StableRunning))
	t.countReserve()
	t.updateBurst(now)
	if t.state == Running && isJudge {
		t.decide(now, capacity)
	}
	if t.state == Running || t.order.State != Running || !isJudge || now.Sub(t.toldAt) < repeatAfter {
		return Verdict{}, false
	}
	t.toldAt = now
	return Verdict{Order: t.order, State: t.state, Reason: t.reason, Counts: t.counts}, true
}

// countReserve counts the classes that need more samples.
func (t *Trial) countReserve() {
	t.reserve = 0
	for i := range t.classes {
		if t.classes[i].exposed < wantedSamples && t.reserve < maxReserve {
			t.reserve++
		}
	}
}

// convict stops the target, or one of its endpoints, if a test condemns it.
func (t *Trial) convict() {
	for i := range t.classes {
		for k := range t.classes[i].tests {
			if state := &t.classes[i]; state.tests[k] >= t.threshold(state) && !t.leaveOut(state, k) {
				t.stop(&t.classes[i], k)
			}
		}
	}
}

// stop records that the target is bad.
func (t *Trial) stop(state *class, test int) {
	if t.isStopped {
		return
	}
	t.isStopped = true
	kind := "fails more often"
	if test == slowTest {
		kind = "is slower"
	}
	t.reason = fmt.Sprintf("the target %s in class %q", kind, state.name)
}

// leaveOut reports whether a test rests on one endpoint alone. This one gets nothing more, and its samples no longer count. A
// second such endpoint shows that it is the version after all.
func (t *Trial) leaveOut(state *class, test int) bool {
	sampled, faulty, worst := 0, 0, 0
	for i := range t.endpoints {
		if t.endpoints[i].samples > 0 {
			sampled++
		}
		if t.endpoints[i].isFaulty {
			faulty++
		}
	}
	for i := range state.parts {
		if state.parts[i].tests[test] > state.parts[worst].tests[test] {
			worst = i
		}
	}
	rest := state.tests[test] - state.parts[worst].tests[test]
	if sampled < comparedEndpoints || faulty > 0 || rest >= faultyPart*state.tests[test] {
		return false
	}
	t.endpoints[worst].isFaulty = true
	for i := range t.classes {
		for k := range t.classes[i].tests {
			if len(t.classes[i].parts) > worst {
				t.classes[i].tests[k] = max(0, t.classes[i].tests[k]-t.classes[i].parts[worst].tests[k])
				t.classes[i].parts[worst] = part{}
			}
		}
	}
	return true
}

// decide sets the final state when it is time.
func (t *Trial) decide(now time.Time, capacity Capacity) {
	if t.isStopped {
		t.state = RolledBack
		return
	}
	if now.Before(t.order.verdictAt()) {
		return
	}
	isLast := !now.Before(t.order.lastMoment())
	obstacle, canWait := t.obstacle(capacity, isLast)
	isConfirmed := now.Sub(t.order.ConfirmedAt) <= confirmedFor
	switch {
	case obstacle == "" && isConfirmed:
		t.state, t.reason = Completed, "the target is as good"
	case obstacle != "" && (!canWait || isLast):
		t.state, t.reason = RolledBack, obstacle
	}
}

// obstacle returns why the roll-out can't be completed now; empty if it can. It may be able to a little later if canWait. A mere
// doubt is none when time is up.
func (t *Trial) obstacle(capacity Capacity, isLast bool) (reason string, canWait bool) {
	worst := 0.0
	for i := range t.classes {
		state := &t.classes[i]
		for _, odds := range state.tests {
			worst = max(worst, odds)
		}
		needed := min(wantedSamples, neededPart*float64(state.requests))
		if state.requests >= leastTraffic && float64(state.target) < needed {
			return fmt.Sprintf("too few samples: %d of %d requests in class %q", state.target, state.requests, state.name), true
		}
	}
	needed := min(neededSamples, neededPart*float64(t.counts.Requests))
	switch {
	case capacity.TargetEndpoints == 0:
		return "no endpoint of the target", false
	case t.counts.TargetSamples == 0 || float64(t.counts.TargetSamples) < needed:
		return fmt.Sprintf("too few samples: %d of %d requests", t.counts.TargetSamples, t.counts.Requests), true
	case worst > finalOdds:
		return "the target is probably worse", true
	case worst > doubtfulOdds && !isLast:
		return "the target may be worse", true
	case float64(capacity.ReadySlots) < capacityMargin*t.demand.value:
		return fmt.Sprintf("too little capacity: %d slots for %.1f requests", capacity.ReadySlots, t.demand.value), true
	case t.isFaultUnclear():
		return "an endpoint of the target is bad, and too few others were tried under load", true
	}
	return "", false
}

// isFaultUnclear reports whether an endpoint is left out as faulty although no other one was tried under the same load.
func (t *Trial) isFaultUnclear() bool {
	needed, others := 0, 0
	for i := range t.endpoints {
		if at := &t.endpoints[i]; at.isFaulty {
			needed = max(needed, min(neededLoaded, at.loaded))
		} else {
			others = max(others, at.loaded)
		}
	}
	return others < needed
}
