package admission

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/engine"
)

const (
	failWeight  = 8                      // failWeight divides the newest outcome's difference in the average of failures.
	probeWeight = 3                      // probeWeight takes the place of failWeight for a good answer of an endpoint that is only tried now and then.
	failLimit   = 0.25                   // failLimit is the average of failures above which an endpoint is only tried now and then.
	failFade    = 5 * time.Second        // failFade is the time after which half of the average is forgotten.
	unreached   = 0.5                    // unreached is the least average after a connection that could not be made.
	probeEvery  = 400 * time.Millisecond // between two requests to an endpoint that fails
	coldMargin  = time.Second            // coldMargin is added to the time that an endpoint takes to get warm.
)

// endpoint is what is known of one endpoint.
type endpoint struct {
	id         cell.EndpointID
	start      cell.StartID
	dataCentre string
	open       bool
	slots      int
	engine     *engine.Engine // engine is nil at a plain service.

	missing engine.Missing // missing is what the engine lacks of the prompt that is being placed.
	running int
	fails   float64 // fails is a moving average of failures, from 0 to 1, that fades with time.
	fadedAt time.Time
	probeAt time.Time // probeAt is when an endpoint that fails is tried next.

	coldRate  int
	coldUntil time.Time // coldUntil is when the endpoint is warm, unless it fails.
	coldSpan  time.Duration
	grants    []time.Time // grants holds the grants of the last cold window, while the endpoint may be cold.
}

// set takes in what the platform says of the endpoint.
func (e *endpoint) set(at *dispatch.EndpointPolicy, policy *dispatch.Policy) {
	if e.start != at.Start {
		e.start, e.fails, e.probeAt = at.Start, 0, time.Time{}
		e.coldSpan, e.coldUntil = policy.ColdSpan, time.Time{}
		e.engine = nil
		if policy.Engine != nil {
			e.engine = engine.New(*policy.Engine)
		}
		e.running = 0
	}
	e.dataCentre = at.DataCentre
	e.coldRate = policy.ColdRate
	if !at.ColdUntil.IsZero() {
		e.coldUntil = later(e.coldUntil, at.ColdUntil.Add(coldMargin))
	}
	e.open = !at.Closed
	e.slots = at.WarmLimit
}

// mayBeCold notes that the endpoint may have turned cold just now.
func (e *endpoint) mayBeCold(now time.Time) {
	e.coldUntil = later(e.coldUntil, now.Add(e.coldSpan+coldMargin))
}

// isCold tells whether the endpoint may be cold.
func (e *endpoint) isCold(now time.Time) bool { return e.coldRate > 0 && now.Before(e.coldUntil) }

// granted notes a grant for the count of the cold window.
func (e *endpoint) granted(now time.Time) {
	if e.coldRate == 0 {
		return
	}
	e.grants = append(e.expired(now), now)
}

// expired returns the grants without those that are older than the cold window.
func (e *endpoint) expired(now time.Time) []time.Time {
	old := 0
	for old < len(e.grants) && now.Sub(e.grants[old]) > coldWindow {
		old++
	}
	return append(e.grants[:0], e.grants[old:]...)
}

func (e *endpoint) recent(now time.Time) int {
	e.grants = e.expired(now)
	return len(e.grants)
}

// failing returns the average of failures as it stands now.
func (e *endpoint) failing(now time.Time) float64 {
	if passed := now.Sub(e.fadedAt); passed > 0 {
		e.fails /= 1 + passed.Seconds()/failFade.Seconds()
		e.fadedAt = now
	}
	return e.fails
}

// isFailing tells whether the endpoint is left out but for a probe now and then.
func (e *endpoint) isFailing(now time.Time) bool {
	return e.failing(now) > failLimit && now.Before(e.probeAt)
}

// seen takes in how an attempt ended.
func (e *endpoint) seen(now time.Time, outcome cell.Outcome) {
	e.failing(now)
	switch outcome {
	case cell.Completed:
		weight := float64(failWeight)
		if e.fails > failLimit {
			weight = probeWeight
		}
		e.fails -= e.fails / weight
	case cell.Failed, cell.Refused:
		e.fails += (1 - e.fails) / failWeight
		e.probeAt = now.Add(probeEvery)
	case cell.Unreached, cell.StartChanged:
		e.fails = max(unreached, e.fails)
		e.probeAt = now.Add(probeEvery)
		e.mayBeCold(now)
	}
}

// adopt counts a run in that another dispatcher has granted.
func (e *endpoint) adopt(tokens int) *engine.Run {
	e.running++
	if e.engine == nil {
		return nil
	}
	run := e.engine.Adopt(tokens)
	return &run
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
