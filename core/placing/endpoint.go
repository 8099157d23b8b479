package placing

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/crossing"
	"ryelug/core/dispatch"
	"ryelug/core/engine"
	"ryelug/core/limit"
	"ryelug/core/pace"
	"ryelug/core/rollout"
)

// endpoint is the state of one endpoint: its configuration, its health and the requests that it runs.
type endpoint struct {
	id            cell.EndpointID
	start         cell.StartID // start identifies the endpoint's present run of its process; a restart changes it.
	dataCentre    string
	site          crossing.Site // site is the index of dataCentre.
	open          bool          // open is true if the endpoint may get new requests.
	slots         int           // slots is the largest number of requests that the endpoint may run at once.
	running       int           // running is the number of requests granted to this start that have not ended.
	health        limit.Health
	cold          limit.Rate     // cold limits the rate of grants while the endpoint is cold, that is shortly after its start.
	reservedUntil time.Time      // reservedUntil is the time until which the engine is reserved for long prompts; zero if it never was.
	engine        *engine.Engine // engine models the requests and the cache of an engine; nil if the endpoint is not an engine.
	call          callTime       // call is the time that a call takes here; zero for an engine.
	pace          pace.Endpoint  // pace is how fast the endpoint is, by its own reports; unknown if it makes none.
	paced         pacedCalls     // paced is the time that a call takes here, if the cell's endpoints report a pace; zero for an engine.
	group         rollout.Group  // group is the endpoint's group in the cell's roll-out; zero if there is none.
	version       string
	isFaulty      bool           // isFaulty is true if the roll-out leaves the endpoint out.
	missing       engine.Missing // missing is what the engine has not cached of the prompt that is being placed.
}

// applyPolicy applies the platform's description of the endpoint. A changed start resets the state that belongs to
// the former one.
func (e *endpoint) applyPolicy(at *dispatch.EndpointPolicy, policy *dispatch.Policy) {
	if e.start != at.Start {
		e.start, e.health, e.running, e.call = at.Start, limit.Health{}, 0, 0
		e.pace, e.paced = pace.Endpoint{}, pacedCalls{}
		e.cold.SetStart(policy.ColdSpan)
		e.engine = nil
		if policy.Engine != nil {
			e.engine = engine.New(*policy.Engine)
		}
	}
	e.dataCentre = at.DataCentre
	e.cold.SetRate(policy.ColdRate)
	if !at.ColdUntil.IsZero() {
		e.cold.ColdUntil(at.ColdUntil)
	}
	e.open = !at.Closed
	e.slots = at.WarmLimit
	e.version = at.Version
}

// limitFor returns the number of requests beside which the endpoint gets no other one: a few slots are kept for requests within
// their team's share.
func (e *endpoint) limitFor(within bool) int {
	limit := e.slots + e.queueLimit()
	if within {
		return limit
	}
	return max(1, int(beyondShareSlots*float64(limit)))
}

// mayAnswer reports whether an engine should get a request with this time left until its deadline. A lightly loaded
// engine gets every request that it can answer in time. Otherwise a request beyond its team's share must
// leave a margin for the others.
func (e *endpoint) mayAnswer(prediction engine.Prediction, left time.Duration, within bool) bool {
	isLight := float64(e.running) < lightLoadFraction*float64(e.slots) && float64(prediction.Wait) < lightWaitFraction*float64(left)
	part := beyondShareFraction
	if within || isLight {
		part = withinShareFraction
	}
	return float64(prediction.First) <= part*float64(left)
}

// pausesTooLong reports whether reading a prompt would pause the streams of the other requests for more than gapFraction of
// gap, the longest allowed pause. It returns false for up to maxPausedRequests other requests, and for a gap of zero,
// which means no limit.
func (e *endpoint) pausesTooLong(prediction engine.Prediction, gap time.Duration) bool {
	return gap > 0 && e.running > maxPausedRequests && float64(prediction.Gap) > gapFraction*float64(gap)
}
