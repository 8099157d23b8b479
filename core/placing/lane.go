package placing

import "time"

const (
	// reservableDivisor divides the number of open engines to get the number that may be reserved for long prompts.
	reservableDivisor = 9
	// reservationTime is how long an engine stays reserved after its last long prompt; its other requests end in that time.
	reservationTime = 3 * time.Second
	// reservationInterval is the minimum time between two reservations. Within it, long prompts can be placed on the
	// engine that was reserved last, before another one is reserved.
	reservationInterval = 200 * time.Millisecond
)

// isReserved reports whether an engine is reserved for prompts that would pause the streams of other requests for too long.
// A prompt on a reserved engine pauses no streams except those of other such prompts.
func (e *endpoint) isReserved(now time.Time) bool { return now.Before(e.reservedUntil) }

// pausesOthers reports whether a prompt would pause the other streams for too long on an engine that runs more than
// maxPausedRequests requests and is not reserved. It checks only the first such engine.
func (t *Table) pausesOthers(now time.Time, request *Request) bool {
	for i := range t.endpoints {
		if at := &t.endpoints[i]; t.admits(at) && at.engine != nil && at.running > maxPausedRequests && !at.isReserved(now) {
			return at.pausesTooLong(at.engine.Predict(now, request.Prompt, at.missing, false), t.policy.Gap)
		}
	}
	return false
}

// placeOnReserved places a long prompt, which no engine can take beside its other requests, on a reserved engine.
// If none has capacity, it reserves another one for later prompts.
func (t *Table) placeOnReserved(now time.Time, request *Request, given conditions, choice *Choice) {
	bestOffer, reserved, open := noOffer(), 0, 0
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if !t.admits(at) || at.engine == nil || given.leave.excludes(at) {
			continue
		}
		open++
		if !at.isReserved(now) {
			continue
		}
		reserved++
		cost, decision := t.weigh(now, at, request, given)
		bestOffer.add(int32(i), cost, decision)
	}
	switch {
	case bestOffer.endpoint >= 0:
		choice.Verdict, choice.endpointIndex = Admitted, bestOffer.endpoint
	case reserved < open/reservableDivisor && now.Sub(t.reservedAt) >= reservationInterval:
		t.reserveEngine(now)
	}
}

// reserveEngine reserves the engine with the fewest running requests.
func (t *Table) reserveEngine(now time.Time) {
	var least *endpoint
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if !t.admits(at) || at.engine == nil || at.isReserved(now) || at.health.IsFailing(now) {
			continue
		}
		if least == nil || at.running < least.running {
			least = at
		}
	}
	if least != nil {
		least.reservedUntil, t.reservedAt = now.Add(reservationTime), now
	}
}
