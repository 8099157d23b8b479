package placing

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

const (
	// withinShareFraction is the fraction of the time left that the predicted time to the first token may take, for a
	// request within its team's share.
	withinShareFraction = 0.95
	// beyondShareFraction is the fraction of the time left that the predicted time to the first token may take, for a
	// request beyond its team's share. It is smaller, which leaves capacity for requests within their team's share.
	beyondShareFraction = 0.6
	// beyondShareSlots is the fraction of an endpoint's slots that requests beyond their team's share may fill.
	beyondShareSlots = 0.9

	// rereadWeight is the cost of reading shared parts a second time, per unit of the time that it takes: it occupies
	// the engine for this time and evicts other parts from its cache.
	rereadWeight = 15
	// fetchWeight is the cost of copying shared parts from another engine, as time to the first token.
	fetchWeight = 40 * time.Millisecond
	// patientFraction is the fraction of the time from Request.Since to Request.Deadline for which a request waits for an
	// engine that has its shared parts cached.
	patientFraction = 0.1
	// lightLoadFraction is the fraction of its slots below which an engine is lightly loaded.
	lightLoadFraction = 0.5
	// lightWaitFraction is a fraction of the time left until the deadline. An engine is lightly loaded only if the
	// predicted wait for other prompts is shorter.
	lightWaitFraction = 0.25
	// gapFraction is a fraction of the longest allowed pause between two events of a stream. Reading a prompt may pause
	// the other streams of an engine for at most this time.
	gapFraction = 0.9
	// maxPausedRequests is the number of running requests up to which an engine may read a prompt that pauses their
	// streams for longer than gapFraction permits.
	maxPausedRequests = 4
	// loadWeight is the cost of an endpoint with all slots in use, as each request slows down the tokens of all others.
	loadWeight = 100 * time.Millisecond
	// distanceWeight is the cost of the network delay to another data centre where the Table doesn't decide on that.
	distanceWeight = 10 * time.Millisecond
	// failureWeight is the cost of an endpoint at which every request fails.
	failureWeight = 500 * time.Millisecond
)

// Verdict is the decision on a request at this time.
type Verdict int

// The verdicts, from the best to the worst.
const (
	Admitted Verdict = iota // Admitted: an endpoint takes the request now.
	Waits                   // Waits: an endpoint may have capacity before the deadline.
	Hopeless                // Hopeless: no endpoint can answer before the deadline.
	Closed                  // Closed: no endpoint is open.
)

// combine returns the verdict of two endpoints together: Waits if either of them may take the request later, otherwise
// the better of the two.
func (v Verdict) combine(other Verdict) Verdict {
	if v == Waits || other == Waits {
		return Waits
	}
	return min(v, other)
}

// Request holds the properties of a request that the choice of an endpoint depends on.
type Request struct {
	Prompt      *cell.Prompt
	Since       time.Time     // Since is the time at which the request began to wait.
	Deadline    time.Time     // Deadline is the deadline of the first token; zero is none.
	Objective   time.Duration // Objective is the time that requests of this class have from the start; only set for calls of a service whose endpoints report their pace.
	Avoid       int32         // Avoid is the index of an endpoint to avoid if another one is open; negative is none.
	Class       string        // Class names the kind of request, as in cell.Demand; empty if unknown.
	From        string        // From is the data centre of the entry router that holds the request.
	WithinShare bool          // WithinShare is true if the request lies within its team's share, or is treated as if it did.
	Long        bool          // Long is true if an engine may be reserved for the request: it is among the most expensive of its class, and too few of those are admitted.
}

// left returns the time until the deadline; an hour if there is none.
func (r *Request) left(now time.Time) time.Duration {
	if r.Deadline.IsZero() {
		return time.Hour
	}
	return r.Deadline.Sub(now)
}

// isPatient reports whether a request has time to wait for an engine that has its shared parts cached.
func (r *Request) isPatient(now time.Time) bool {
	return float64(now.Sub(r.Since)) < patientFraction*float64(r.Deadline.Sub(r.Since))
}

// bestOffer is the best result over a set of endpoints.
type bestOffer struct {
	endpoint int32         // endpoint is the index of the cheapest endpoint that admits the request; negative if none does.
	cost     time.Duration // cost is the result of Table.weigh for that endpoint, on the scale of the time to the first token.
	verdict  Verdict       // verdict combines the verdicts of the endpoints that don't admit the request, as Verdict.combine does; Closed if there are none.
}

func noOffer() bestOffer { return bestOffer{endpoint: -1, verdict: Closed} }

func (o *bestOffer) add(endpoint int32, cost time.Duration, decision Verdict) {
	if decision != Admitted {
		o.verdict = o.verdict.combine(decision)
		return
	}
	if o.endpoint < 0 || cost < o.cost {
		o.endpoint, o.cost = endpoint, cost
	}
}

// conditions holds the conditions that are the same at every endpoint while one request is placed.
type conditions struct {
	fetch   bool // fetch is true if another engine has the shared parts cached, so that they can be copied.
	allFail bool // allFail is true if every open endpoint fails and none is due for a probe: then failures exclude none of them.

	least     time.Duration       // least is the least time to expect of a call; only set where endpoints report their pace.
	leave     *leave              // leave is the decision on other data centres.
	obstacles *dispatch.Obstacles // obstacles counts, by reason, the endpoints that can't take the request now.
}

// weigh returns whether an endpoint can answer a request in time, and the cost of choosing it, on the scale of the
// time to the first token.
func (t *Table) weigh(now time.Time, at *endpoint, request *Request, given conditions) (time.Duration, Verdict) {
	left := request.left(now)
	if left <= 0 {
		given.obstacles.Time++
		return 0, Hopeless
	}
	if at.running >= t.limitAt(now, at, request.WithinShare) {
		given.obstacles.Slots++
		return 0, Waits
	}
	if at.health.AwaitsProbe(now) && !given.allFail || !t.allowsGrant(now, at) {
		given.obstacles.Unavailable++
		return 0, Waits
	}
	cost := time.Duration(at.health.Failures(now) * float64(failureWeight))
	cost += loadWeight * time.Duration(at.running) / time.Duration(max(1, at.slots))
	cost += distance(at, request, given)
	if at.engine == nil {
		var (
			expected time.Duration
			verdict  Verdict
		)
		if t.isPaced {
			expected, verdict = t.verdictOnPacedCall(now, at, request, given.least)
		} else {
			verdict = at.verdictOnCall(now, request)
		}
		if verdict != Admitted {
			given.obstacles.Time++
		}
		return cost + expected, verdict
	}
	prediction := at.engine.Predict(now, request.Prompt, at.missing, given.fetch)
	if at.pausesTooLong(prediction, t.policy.Gap) {
		given.obstacles.Pauses++
		return 0, Hopeless
	}
	if !at.mayAnswer(prediction, left, request.WithinShare) {
		given.obstacles.Time++
		return 0, Hopeless
	}
	if !prediction.Fits {
		given.obstacles.Memory++
		return 0, Waits
	}
	if t.isPaced {
		cost += t.slowOutputCost(at, request.Prompt)
	}
	if at.missing.Shared > 0 && given.fetch {
		return cost + prediction.First + fetchWeight, Admitted
	}
	rereadTime := time.Duration(at.missing.Shared) * t.policy.Engine.WithDefaults().Prefill
	return cost + prediction.First + rereadWeight*rereadTime, Admitted
}
