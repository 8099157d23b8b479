package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// finalOdds is the logarithm of the odds from which a target is bad when time is up.
	finalOdds = 6.0
	// lateSamples is the least number of samples where the judge began in the second half, and lateOdds replaces finalOdds there
	// below neededSamples. Such a judge goes by that an earlier one would have ended the roll-out of a bad version.
	lateOdds    = 2.0
	lateSamples = 12
	// doubtfulOdds is that from which the verdict waits for more samples if there is time.
	doubtfulOdds = 3.0
	// neededSamples is the number of samples that excludes a version that fails one in ten, with an error of 1 in 1,000.
	neededSamples = 65
	// neededPart is the part of all samples that must be of the target where neededSamples are out of reach.
	neededPart = 0.03
	// leastTraffic is the number of samples of the other version from which a class needs samples.
	leastTraffic = 25
	// faultyPart is the part of the odds that must remain without one endpoint; otherwise that one is faulty, not the version.
	faultyPart = 0.25
	// comparedEndpoints is the least number of endpoints of which one can be faulty.
	comparedEndpoints = 3
	// soundOdds is the logarithm of the odds, over all their samples, below which the other endpoints are good.
	soundOdds = -3
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
	t.isJudge = isJudge
	if isJudge && t.startedAt.IsZero() {
		t.startedAt = now
	}
	if t.isRemoved {
		return Verdict{}, false
	}
	t.setTargets(capacity.Targets)
	if now.Sub(t.grantedAt) > grantPatience {
		t.rotate()
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
	t.convictBy(&t.all)
	for i := range t.classes {
		t.convictBy(&t.classes[i].evidence)
	}
}

func (t *Trial) convictBy(found *evidence) {
	for test := range found.odds {
		if t.isStopped || found.odds[test] < found.threshold(len(t.classes)) || t.leaveOut(found, test) {
			continue
		}
		t.isStopped = true
		kind := "fails more often"
		if test == slowTest {
			kind = "is slower"
		}
		t.reason = fmt.Sprintf("the target %s in %s", kind, found.name)
	}
}

// leaveOut reports whether a test rests on one endpoint alone. This one gets nothing more, and its samples no longer count. A
// second such endpoint shows that it is the version after all.
func (t *Trial) leaveOut(found *evidence, test int) bool {
	faulty := 0
	for i := range t.endpoints {
		if t.endpoints[i].isFaulty {
			faulty++
		}
	}
	worst, rest := found.worst(test)
	if t.targets < comparedEndpoints || faulty > 0 || rest >= faultyPart*found.odds[test] {
		return false
	}
	t.endpoints[worst].isFaulty = true
	t.faultTest = test
	for i := range t.endpoints {
		t.endpoints[i].odds = logOdds{} // A version may turn bad late, so only what follows shows that the others are good.
	}
	t.all.leaveOut(worst)
	for i := range t.classes {
		t.classes[i].leaveOut(worst)
	}
	return true
}

// decide sets the final state when it is time.
func (t *Trial) decide(now time.Time, capacity Capacity) {
	if t.isStopped {
		t.state = RolledBack
		return
	}
	verdictAt, lastMoment := t.order.verdictAt(), t.order.lastMoment()
	isLast := !now.Before(lastMoment)
	doubt := t.doubt(isLast)
	t.setSound(doubt == "" && t.stage(now) == 3 && !t.isLate())
	if t.isLate() && !t.heard.isGood {
		verdictAt = lastMoment
	}
	if now.Before(verdictAt) {
		return
	}
	isConfirmed := now.Sub(t.order.ConfirmedAt) <= confirmedFor
	obstacle := doubt
	if obstacle == "" {
		obstacle = t.lackOfCapacity(capacity)
	}
	switch {
	case len(capacity.Targets) == 0:
		t.state, t.reason = RolledBack, "no endpoint of the target"
	case obstacle == "" && isConfirmed:
		t.state, t.reason = Completed, "the target is as good"
	case obstacle != "" && isLast:
		t.state, t.reason = RolledBack, obstacle
	}
}

// setSound records whether the evidence suffices for Completed, in the last stage, for the note to a successor.
func (t *Trial) setSound(isSound bool) {
	if was := math.Mod(t.told, 2) == 1; isSound == was {
		return
	}
	t.told = max(t.told, t.heard.sound) + 1
	if isOdd := math.Mod(t.told, 2) == 1; isOdd != isSound {
		t.told++
	}
}

// doubt returns why the target may not be good; empty if the evidence suffices. Slight doubts count only while there is time for
// more samples.
func (t *Trial) doubt(isLast bool) string {
	worst, tolerated := slices.Max(t.all.odds[:]), doubtfulOdds
	for i := range t.classes {
		worst = max(worst, slices.Max(t.classes[i].odds[:]))
	}
	isProven := t.isLate() && (t.heard.isSound() || t.heard.isGood)
	if lack := t.lackOfSamples(); lack != "" && !isProven {
		return lack
	}
	switch isFew := t.counts.TargetSamples < neededSamples; {
	case t.isLate() && isFew && !isProven:
		tolerated = lateOdds
	case isLast && !isProven:
		tolerated = finalOdds
	}
	switch {
	case worst > tolerated:
		return "the target is probably worse"
	case t.isFaultUnclear():
		return "an endpoint of the target is bad, and the others may be too"
	}
	return ""
}

// lackOfSamples returns which samples are missing; empty if there are enough.
func (t *Trial) lackOfSamples() string {
	for i := range t.classes {
		state := &t.classes[i]
		if state.total.samples >= leastTraffic && float64(state.samples) < state.neededSamples() {
			return fmt.Sprintf("too few samples: %d of %d requests in %s", state.samples, state.requests, state.name)
		}
	}
	needed := max(1, min(neededSamples, neededPart*float64(t.counts.StableSamples+t.counts.TargetSamples)))
	if t.isLate() {
		needed = max(needed, lateSamples)
	}
	if float64(t.counts.TargetSamples) < needed {
		return fmt.Sprintf("too few samples: %d of %d requests", t.counts.TargetSamples, t.counts.Requests)
	}
	return ""
}

// lackOfCapacity returns what the target lacks to do the work of the other version; empty if it lacks nothing. As many slots as the other
// version has suffice, however busy that one is.
func (t *Trial) lackOfCapacity(capacity Capacity) string {
	needed := capacityMargin * t.demand.value
	if capacity.StableSlots > 0 {
		needed = min(needed, float64(capacity.StableSlots))
	}
	if float64(capacity.ReadySlots) < needed {
		return fmt.Sprintf("too little capacity: %d slots for %.1f requests", capacity.ReadySlots, t.demand.value)
	}
	return ""
}

// neededSamples returns the number of samples without which the class is not known to be good.
func (c *class) neededSamples() float64 {
	return min(wantedSamples, neededPart*(c.total.samples+float64(c.samples)))
}

// isFaultUnclear reports whether an endpoint is left out as faulty although too little shows that the others are good, or no other
// one was tried under the same load.
func (t *Trial) isFaultUnclear() bool {
	needed, loaded, others, hasFaulty := 0, 0, 0.0, false
	for i := range t.endpoints {
		if at := &t.endpoints[i]; at.isFaulty {
			needed, hasFaulty = max(needed, min(neededLoaded, at.loaded)), true
		} else {
			loaded = max(loaded, at.loaded)
			others += at.odds[t.faultTest]
		}
	}
	return hasFaulty && (loaded < needed || others > soundOdds)
}
