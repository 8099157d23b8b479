package rollout

import (
	"fmt"
	"time"

	"ryelug/core/cell"
)

const (
	// fullShare is the part of Bounds.Share that one dispatcher uses. The rest covers the retries of a bad version's callers, which
	// count as requests here but not for the callers.
	fullShare = 0.8
	// initialShare and middleShare are the parts of Bounds.Share in the first and the second stage. What middleShare leaves of
	// fullShare is saved for the bursts of the last stage.
	initialShare = 0.2
	middleShare  = 0.6
	// confirmedFor is how long the target may get requests after the store last confirmed the roll-outs.
	confirmedFor = 2 * time.Second
	// maxClassShare is the largest part of the requests of one class that the target gets outside bursts, so that a rare
	// class is not mostly answered by a version in doubt.
	maxClassShare = 1.0 / 3
	// maxReserve is the largest number of target grants that are withheld from classes with enough samples.
	maxReserve = 4
)

// Config describes a Trial.
type Config struct {
	Order  Order
	Bounds Bounds
}

// Trial decides, at one dispatcher, which requests the target version of an order gets, and whether the version is good. It
// keeps its own counts, so that the bound on the exposure holds for any number of dispatchers that don't know of each other.
type Trial struct {
	order     Order
	bounds    Bounds
	isRemoved bool // isRemoved is true if the order has been removed.

	counts     Counts
	classes    []class
	all        evidence // all is the evidence on all classes together.
	classIndex map[string]int32
	endpoints  []endpoint // endpoints are the target endpoints that got requests.
	index      map[cell.EndpointID]int32
	faultTest  int // faultTest is the test that left an endpoint out.
	reserve    int // reserve is the number of target grants that are withheld for classes with too few samples.

	targets    int       // targets is the number of open target endpoints that are not left out.
	isJudge    bool      // isJudge is true if this dispatcher was the judge in the last Step. Only the judge's samples serve a verdict, so it alone exposes requests.
	startedAt  time.Time // startedAt is when this dispatcher was first the judge; zero before.
	bucketEnds time.Time // bucketEnds is when the present bucket of samples ends.
	burst      burst
	turn       int32     // turn is the index of the endpoint that gets the next request outside bursts.
	grantedAt  time.Time // grantedAt is when the target last got a request, or a burst began.
	demand     average   // demand is the number of requests that run at endpoints of other versions.
	pressure   average   // pressure is the number of requests per slot at endpoints of other versions.

	notes notes
	heard heard
	told  float64 // told is the counter of the note sound, by this judge; zero before the first such note.

	state     State  // state is the final state that this dispatcher goes by; Running until then.
	isStopped bool   // isStopped is true if the target gets nothing more here, whoever is judge.
	reason    string // reason is that of state or isStopped.
	toldAt    time.Time
}

// New returns the Trial of an order.
func New(config Config) *Trial {
	t := &Trial{bounds: config.Bounds, classIndex: make(map[string]int32), index: make(map[cell.EndpointID]int32), all: evidence{name: "all classes"}, state: Running}
	t.Update(config.Order)
	t.setNotes()
	return t
}

// Order returns the Trial's order as last updated.
func (t *Trial) Order() Order { return t.order }

// Update takes over what is now known of the Trial's order: its state and its newest confirmation. A final state in the store
// precedes a verdict of this dispatcher. A final state that the store has lost again is kept, and Step returns it.
func (t *Trial) Update(order Order) {
	t.order, t.isRemoved = order, false
	t.order.State = max(Running, order.State) // An order without a status is running.
	if order.State == Completed || order.State == RolledBack {
		t.state, t.reason = order.State, "the store has this state"
	}
}

// Remove records that the order has been removed. The state of the roll-out stays as it is.
func (t *Trial) Remove() { t.isRemoved = true }

// IsRemoved reports whether the order has been removed. Then the group that Pick returns gets all requests while it has open
// endpoints.
func (t *Trial) IsRemoved() bool { return t.isRemoved }

// Pick returns the group that a request of the class should go to now.
func (t *Trial) Pick(now time.Time, class string) Group {
	switch {
	case t.state == Completed:
		return Target
	case !t.mayExpose(now):
		return Stable
	case t.burst.isActive:
		return Target
	}
	index, isKnown := t.findClass(class)
	if !isKnown {
		return Target
	}
	state := &t.classes[index]
	if float64(state.exposed+1) > maxClassShare*float64(state.requests+1) {
		return Stable
	}
	wanted := float64(wantedSamples)
	if t.stage(now) == 3 {
		wanted = state.neededSamples() // The credit is for the bursts.
	}
	if float64(state.exposed) < wanted || t.MayUse(now, Target) {
		return Target
	}
	return Stable
}

// MayUse reports whether a request may go to the group now. If the group that Pick returned has no room, the request goes to
// the other one if it may.
func (t *Trial) MayUse(now time.Time, group Group) bool {
	switch {
	case t.state != Running || t.isRemoved:
		return (t.state == Completed) == (group == Target)
	case group == Stable:
		return true
	case !t.mayExpose(now):
		return false
	case t.stage(now) < 3:
		return t.credit(now) >= float64(1+t.reserve)
	}
	return t.burst.isActive
}

// Unused returns the group that gets a small share of the requests at most; zero if the order has been removed.
func (t *Trial) Unused() Group {
	switch {
	case t.isRemoved:
		return 0
	case t.state == Completed:
		return Stable
	}
	return Target
}

// mayExpose reports whether the target may get one more request.
func (t *Trial) mayExpose(now time.Time) bool {
	if t.state != Running || t.isRemoved || t.isStopped || !t.isJudge || now.Sub(t.order.ConfirmedAt) > confirmedFor {
		return false
	}
	return now.Before(t.order.Deadline()) && t.credit(now) >= 1 && !t.burst.isFull(t)
}

// credit returns the number of requests that the target may get now.
func (t *Trial) credit(now time.Time) float64 {
	part := fullShare
	switch t.stage(now) {
	case 1:
		part = initialShare
	case 2:
		part = middleShare
	}
	return part*t.bounds.Share*float64(t.counts.Requests) - float64(t.counts.Exposed)
}

// Granted records a grant.
func (t *Trial) Granted(now time.Time, group Group, class string, endpoint cell.EndpointID) {
	state := &t.classes[t.ensureClass(class)]
	t.counts.Requests++
	state.requests++
	if group == Target {
		t.counts.Exposed++
		state.exposed++
		t.endpoints[t.ensureEndpoint(endpoint)].running++
		t.grantedAt = now
		t.rotate()
	}
}

// Begun records the first event of a stream for which Granted was called, so that a stream counts long before its end.
func (t *Trial) Begun(sample Sample) {
	sample.HasBegun = true
	state, at := t.find(&sample)
	t.addAnswer(state, at, &sample)
}

// Ended records the end of a request for which Granted was called.
func (t *Trial) Ended(now time.Time, sample Sample) {
	state, at := t.find(&sample)
	if at >= 0 {
		t.endpoints[at].running--
	}
	switch sample.Outcome {
	case cell.Unused, cell.Unreached, cell.StartChanged: // Nothing was sent.
		t.counts.Requests--
		state.requests--
		if at >= 0 {
			t.counts.Exposed--
			state.exposed--
		}
		return
	case cell.Refused:
		if sample.Running > sample.Slots {
			return // An endpoint that is not full has no good reason to refuse.
		}
	case cell.Cancelled:
		return
	}
	if !sample.HasBegun {
		t.addAnswer(state, at, &sample)
	}
	t.addOutcome(now, state, at, &sample)
}

// find returns the class of a sample, and the index of its endpoint; negative for one of the stable group.
func (t *Trial) find(sample *Sample) (state *class, at int32) {
	state = &t.classes[t.ensureClass(sample.Class)]
	if sample.Group == Target {
		return state, t.ensureEndpoint(sample.Endpoint)
	}
	return state, -1
}

// Focus returns the target endpoint that requests of the target are to go to; empty if any may get them.
func (t *Trial) Focus() cell.EndpointID {
	switch {
	case t.state != Running || t.isRemoved:
		return ""
	case t.burst.isActive:
		return t.endpoints[t.burst.endpoint].id
	case int(t.turn) < len(t.endpoints) && t.endpoints[t.turn].mayGet():
		return t.endpoints[t.turn].id
	}
	return ""
}

// IsFaulty reports whether a target endpoint gets nothing more because it alone is bad, not its version.
func (t *Trial) IsFaulty(id cell.EndpointID) bool {
	index, ok := t.index[id]
	return ok && t.endpoints[index].isFaulty && t.state == Running
}

// Status returns the state of the Trial.
func (t *Trial) Status(now time.Time) Status {
	status := Status{Order: t.order, State: t.state, Stage: t.stage(now), Reason: t.reason, Counts: t.counts}
	for i := range t.endpoints {
		if t.endpoints[i].isFaulty {
			status.Faulty = append(status.Faulty, t.endpoints[i].id)
		}
	}
	return status
}

// findClass returns the index of a class, and false if it is new. Classes beyond maxClasses count as one.
func (t *Trial) findClass(name string) (index int32, isKnown bool) {
	index, isKnown = t.classIndex[name]
	if !isKnown && len(t.classes) >= maxClasses {
		return maxClasses - 1, true
	}
	return index, isKnown
}

// ensureClass returns the index of a class, and adds the class if it is new.
func (t *Trial) ensureClass(name string) int32 {
	index, isKnown := t.findClass(name)
	if !isKnown {
		index = int32(len(t.classes))
		t.classes = append(t.classes, class{evidence: evidence{name: fmt.Sprintf("class %q", name)}})
		t.classIndex[name] = index
	}
	return index
}

// ensureEndpoint returns the index of a target endpoint.
func (t *Trial) ensureEndpoint(id cell.EndpointID) int32 {
	index, ok := t.index[id]
	if !ok {
		index = int32(len(t.endpoints))
		t.endpoints = append(t.endpoints, endpoint{id: id})
		t.index[id] = index
	}
	return index
}
