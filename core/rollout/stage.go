package rollout

import (
	"math"
	"time"

	"ryelug/core/cell"
)

const (
	// verdictLead and verdictPart state how long before the deadline a verdict falls: the longer of the time and the part of the
	// duration. The status must reach the store, and every router, by the deadline.
	verdictLead = 2 * time.Second
	verdictPart = 0.1
	// extendedLead and extendedPart replace them while the evidence or the capacity falls just short.
	extendedLead = time.Second
	extendedPart = 0.05

	initialUntil = 0.1 // initialUntil is the end of the first stage, as a part of the time until the verdict.
	middleUntil  = 0.5 // middleUntil is that of the second stage.

	pressureMargin = 1.25 // pressureMargin is by how much more requests per slot a burst runs than the other version does on average.
	leastLevel     = 2    // leastLevel is the least number of requests that run in a burst.
	burstLevels    = 4    // burstLevels is the number of requests of a burst, as a multiple of those that run at once.
	savedShare     = 0.02 // savedShare is the part of all requests that a burst needs at most; it is what the first stages save.
	leastBurst     = 4    // leastBurst is the least number of requests of a burst.

	// grantPatience is how long the target may get no request before the next one goes to another endpoint: this one may be full,
	// or failing.
	grantPatience = 300 * time.Millisecond
)

// endpoint is a target endpoint.
type endpoint struct {
	id       cell.EndpointID
	running  int  // running is the number of requests granted here that have not ended.
	slots    int  // slots is the number of requests that it runs at once.
	loaded   int  // loaded counts the samples that were taken beside as many other requests as the other version runs.
	isOpen   bool // isOpen is true if it may get requests.
	isFaulty bool // isFaulty is true if it alone is bad, not its version.

	odds     logOdds   // odds are the sums over its samples; since another one was found faulty, if one was.
	failedAt time.Time // failedAt is the time of its last failure that counted.
}

// verdictAt returns when the verdict on a good version falls.
func (o *Order) verdictAt() time.Time { return o.leadAt(verdictLead, verdictPart) }

// lastMoment returns when the verdict must fall.
func (o *Order) lastMoment() time.Time { return o.leadAt(extendedLead, extendedPart) }

func (o *Order) leadAt(lead time.Duration, part float64) time.Time {
	lead = max(lead, time.Duration(part*float64(o.Duration)))
	return o.Deadline().Add(-min(lead, o.Duration/2))
}

// isLate reports whether this dispatcher became the judge in the second half of the time until the verdict.
func (t *Trial) isLate() bool {
	return t.startedAt.Sub(t.order.Seen) > t.order.verdictAt().Sub(t.order.Seen)/2
}

// stage returns the present stage: 1 with few requests, 2 with more of them, 3 with bursts. A judge that starts during the
// roll-out skips the first one, and passes through the others in the time that is left.
func (t *Trial) stage(now time.Time) int {
	began, ends := t.order.Seen, t.order.verdictAt()
	isFirst := t.startedAt.Sub(began) < time.Duration(initialUntil*float64(ends.Sub(began)))
	if !isFirst {
		began, ends = t.startedAt, t.order.lastMoment()
	}
	switch passed := float64(now.Sub(began)) / float64(max(1, ends.Sub(began))); {
	case passed < initialUntil && isFirst:
		return 1
	case passed < middleUntil:
		return 2
	}
	return 3
}

// burst is a run of requests that all go to one target endpoint, so that it is as busy as those of the other version. Without
// it, a version that is bad only under load would look good at a small share.
type burst struct {
	isActive bool
	endpoint int32 // endpoint is the index of the present or last endpoint.
}

// isFull reports whether the endpoint of a burst runs enough requests.
func (b *burst) isFull(t *Trial) bool {
	return b.isActive && t.endpoints[b.endpoint].running >= t.level(&t.endpoints[b.endpoint])
}

// level returns the number of requests that make a target endpoint as busy as those of the other version.
func (t *Trial) level(at *endpoint) int {
	perSlot := min(1, pressureMargin*t.pressure.value)
	return max(leastLevel, int(math.Ceil(perSlot*float64(at.slots))))
}

// updateBurst begins and ends the bursts of the last stage.
func (t *Trial) updateBurst(now time.Time) {
	credit := t.credit(now)
	isStuck := now.Sub(t.grantedAt) > grantPatience
	if t.burst.isActive && (credit < 1 || isStuck || t.endpoints[t.burst.endpoint].isFaulty) {
		t.burst.isActive = false
	}
	if t.burst.isActive || t.state != Running || t.isStopped || t.stage(now) < 3 {
		return
	}
	next := t.nextFocus()
	if next < 0 {
		return
	}
	needed := min(float64(burstLevels*t.level(&t.endpoints[next])), savedShare*float64(t.counts.Requests))
	if credit >= max(leastBurst, needed) {
		t.burst = burst{isActive: true, endpoint: next}
		t.grantedAt = now
	}
}

// mayGet reports whether the endpoint may get requests.
func (e *endpoint) mayGet() bool { return e.isOpen && !e.isFaulty && e.slots > 0 }

// setTargets takes over which target endpoints are open.
func (t *Trial) setTargets(offers []Offer) {
	for i := range t.endpoints {
		t.endpoints[i].isOpen = false
	}
	for i := range offers {
		at := &t.endpoints[t.ensureEndpoint(offers[i].Endpoint)]
		at.isOpen, at.slots = true, offers[i].Slots
	}
	t.targets = 0
	for i := range t.endpoints {
		if t.endpoints[i].mayGet() {
			t.targets++
		}
	}
}

// rotate advances to the next endpoint for the requests outside bursts: at a small share all would go to the same idle one.
func (t *Trial) rotate() {
	for range t.endpoints {
		t.turn = (t.turn + 1) % int32(len(t.endpoints))
		if t.endpoints[t.turn].mayGet() {
			return
		}
	}
}

// nextFocus returns the endpoint for the next burst: the one with the fewest samples under load, and not the last one if there is
// another; negative if there is none.
func (t *Trial) nextFocus() int32 {
	next, last := int32(-1), t.burst.endpoint
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if at.mayGet() && (next < 0 || next == last || int32(i) != last && at.loaded < t.endpoints[next].loaded) {
			next = int32(i)
		}
	}
	return next
}

// average is a moving average with a time constant of averageSpan, or over samples with the inverse weight averageWeight.
type average struct {
	value float64
	at    time.Time
}

const (
	averageSpan   = 2 * time.Second
	averageWeight = 32
)

// addAt adds a value that was true since the last call.
func (a *average) addAt(now time.Time, value float64) {
	if a.at.IsZero() {
		a.value, a.at = value, now
		return
	}
	a.value += (value - a.value) * (1 - math.Exp(-now.Sub(a.at).Seconds()/averageSpan.Seconds()))
	a.at = now
}

// add adds a sample.
func (a *average) add(value float64) { a.value += (value - a.value) / averageWeight }
