package limit

import (
	"time"

	"ryelug/core/cell"
)

const (
	failWeight  = 8                      // failWeight divides the newest outcome's difference in the average of failures.
	probeWeight = 3                      // probeWeight takes the place of failWeight for a good answer of an endpoint that is only tried now and then.
	failLimit   = 0.25                   // failLimit is the average of failures above which an endpoint is only tried now and then.
	failFade    = 5 * time.Second        // failFade is the time after which half of the average is forgotten.
	unreached   = 0.5                    // unreached is the least average after a connection that could not be made.
	probeEvery  = 400 * time.Millisecond // between two requests to an endpoint that fails
)

// Health is how often an endpoint failed of late.
type Health struct {
	fails   float64 // fails is a moving average of failures, from 0 to 1, that fades with time.
	fadedAt time.Time
	probeAt time.Time // probeAt is when an endpoint that fails is tried next.
}

// Failures returns the part of the attempts that failed of late, from 0 to 1.
func (h *Health) Failures(now time.Time) float64 {
	if passed := now.Sub(h.fadedAt); passed > 0 {
		h.fails /= 1 + passed.Seconds()/failFade.Seconds()
		h.fadedAt = now
	}
	return h.fails
}

// IsFailing tells whether the endpoint fails so often that it is only tried now and then.
func (h *Health) IsFailing(now time.Time) bool { return h.Failures(now) > failLimit }

// IsOut tells whether the endpoint fails, and its next trial is still to come.
func (h *Health) IsOut(now time.Time) bool { return h.IsFailing(now) && now.Before(h.probeAt) }

// Tried notes an attempt, which is the trial if the endpoint fails.
func (h *Health) Tried(now time.Time) {
	if h.IsFailing(now) {
		h.probeAt = now.Add(probeEvery)
	}
}

// Seen takes in how an attempt ended.
func (h *Health) Seen(now time.Time, outcome cell.Outcome) {
	h.Failures(now)
	switch outcome {
	case cell.Completed:
		weight := float64(failWeight)
		if h.fails > failLimit {
			weight = probeWeight
		}
		h.fails -= h.fails / weight
	case cell.Failed, cell.Refused:
		h.fails += (1 - h.fails) / failWeight
		h.probeAt = now.Add(probeEvery)
	case cell.Unreached, cell.StartChanged:
		h.fails = max(unreached, h.fails)
		h.probeAt = now.Add(probeEvery)
	}
}
