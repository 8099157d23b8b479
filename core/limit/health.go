package limit

import (
	"time"

	"ryelug/core/cell"
)

const (
	failureWeight = 8                      // failureWeight is the inverse weight of a new outcome in the moving average of failures.
	probeWeight   = 3                      // probeWeight replaces failureWeight for a successful probe of a failing endpoint, so that it recovers faster.
	failingRate   = 0.25                   // failingRate is the failure rate above which an endpoint counts as failing and is only probed.
	failureDecay  = 5 * time.Second        // failureDecay is the time constant of the failure rate. Each read divides the rate by 1 + elapsed/failureDecay: after this time, half is left if it was read once, and about 37 % if it was read often.
	unreachedRate = 0.5                    // unreachedRate is the least failure rate after a connection failed or the endpoint had restarted.
	probeInterval = 400 * time.Millisecond // probeInterval is the time between two requests to a failing endpoint.
)

// Health tracks how often requests to an endpoint failed recently. The zero value is an endpoint without failures.
type Health struct {
	failureRate float64   // failureRate is a moving average of failures, from 0 to 1, that decays with time.
	decayedAt   time.Time // decayedAt is when failureRate was last decayed.
	nextProbe   time.Time // nextProbe is when a failing endpoint may get its next request.
}

// Failures returns the recent failure rate, from 0 to 1.
func (h *Health) Failures(now time.Time) float64 {
	if elapsed := now.Sub(h.decayedAt); elapsed > 0 {
		h.failureRate /= 1 + elapsed.Seconds()/failureDecay.Seconds()
		h.decayedAt = now
	}
	return h.failureRate
}

// IsFailing reports whether the endpoint fails so often that it gets only occasional probe requests.
func (h *Health) IsFailing(now time.Time) bool { return h.Failures(now) > failingRate }

// AwaitsProbe reports whether the endpoint is failing and its next probe is not due yet, so that it must get no request now.
func (h *Health) AwaitsProbe(now time.Time) bool { return h.IsFailing(now) && now.Before(h.nextProbe) }

// RecordAttempt records that a request is sent to the endpoint. If the endpoint is failing, this is its probe.
func (h *Health) RecordAttempt(now time.Time) {
	if h.IsFailing(now) {
		h.nextProbe = now.Add(probeInterval)
	}
}

// RecordOutcome records how a request to the endpoint ended.
func (h *Health) RecordOutcome(now time.Time, outcome cell.Outcome) {
	h.Failures(now)
	switch outcome {
	case cell.Completed:
		weight := float64(failureWeight)
		if h.failureRate > failingRate {
			weight = probeWeight
		}
		h.failureRate -= h.failureRate / weight
	case cell.Failed, cell.Refused:
		h.failureRate += (1 - h.failureRate) / failureWeight
		h.nextProbe = now.Add(probeInterval)
	case cell.Unreached, cell.StartChanged:
		h.failureRate = max(unreachedRate, h.failureRate)
		h.nextProbe = now.Add(probeInterval)
	}
}
