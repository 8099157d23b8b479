package placing

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/crossing"
	"ryelug/core/dispatch"
	"ryelug/core/engine"
)

// leave is the decision on whether a request may be sent to another data centre, with its inputs.
type leave struct {
	isDecided  bool // isDecided is false where the Table makes no decision; then the other fields are zero.
	isOverflow bool // isOverflow is true if the request may leave only because its own data centre can't take it.
	from       crossing.Site
	trip       crossing.Trip
	decision   crossing.Decision
	costs      crossing.Costs // costs is unset if the request may not leave.
}

// scope returns where the request may be sent.
func (l *leave) scope() crossing.Scope { return l.decision.Scope }

// excludes reports whether the decision excludes an endpoint.
func (l *leave) excludes(at *endpoint) bool {
	switch l.scope() {
	case crossing.Own:
		return at.site != l.from
	case crossing.Others:
		// A request that leaves doesn't wait for a slot at its endpoint: its own data centre could have done that as well.
		return at.site == l.from || at.running >= at.slots || !l.costs.MayEnter(at.site)
	case crossing.Anywhere:
		return l.isOverflow && l.costs.IsBarred(at.site)
	}
	return false
}

// SetCrossing sets how the Table decides on requests for other data centres. It must be called before SetPolicy.
func (t *Table) SetCrossing(config crossing.Config) { t.crossing = crossing.New(config) }

// Crossing returns the decisions on requests for other data centres, for metrics and logs.
func (t *Table) Crossing() *crossing.Control { return t.crossing }

// reportsPace reports whether an endpoint has reported its pace.
func (t *Table) reportsPace() bool { return t.isPaced }

// DecidesCrossing reports whether the Table decides on requests for other data centres. If not, an endpoint in another data
// centre costs distanceWeight more. Calls of a service whose endpoints report their pace are left out: they move few bytes, and
// none may wait while an endpoint anywhere has a free slot.
func (t *Table) DecidesCrossing() bool {
	return !t.HasPacedCalls() && t.crossing.Config().IsActive(t.reportsPace())
}

// Arrived records a request of the callers of a data centre. It need not be called unless DecidesCrossing reports true.
func (t *Table) Arrived(now time.Time, dataCentre string) {
	t.crossing.Arrived(now, t.crossing.Site(dataCentre))
}

// Reported records the bytes that a request has moved.
func (t *Table) Reported(placed *Placement, bytes int) {
	if t.DecidesCrossing() {
		t.crossing.Learn(placed.class, bytes)
	}
}

// IsConfined reports whether a request of a data centre's callers with this deadline can't reach another one in time.
func (t *Table) IsConfined(now time.Time, dataCentre string, deadline time.Time) bool {
	request := Request{Deadline: deadline}
	return t.DecidesCrossing() && t.crossing.IsConfined(t.crossing.Site(dataCentre), request.left(now))
}

// decideLeave decides whether a request may be sent to another data centre. lookUpCached must have been called for its prompt.
func (t *Table) decideLeave(now time.Time, request *Request, l *leave) {
	if !t.DecidesCrossing() {
		return
	}
	l.isDecided, l.from = true, t.crossing.Site(request.From)
	l.trip = crossing.Trip{Class: request.Class, Waited: now.Sub(request.Since), Left: request.left(now)}
	t.loadSites(now)
	t.predict(now, request, l)
	l.decision = t.crossing.Decide(now, l.from, &l.trip)
	if l.decision.Scope != crossing.Own {
		t.crossing.SetCosts(now, l.from, &l.trip, &l.costs)
	}
}

// loadSites passes the present load of each data centre to the Control. Endpoints that fail don't count: a data centre whose endpoints
// all fail is treated as one that has none.
func (t *Table) loadSites(now time.Time) {
	t.crossing.ClearLoads()
	for i := range t.endpoints {
		if at := &t.endpoints[i]; t.admits(at) && !at.health.IsFailing(now) {
			t.crossing.AddLoad(at.site, crossing.Load{Slots: at.slots, Running: at.running})
		}
	}
}

// predict sets what the models of the engines tell about a request in its own and in other data centres.
func (t *Table) predict(now time.Time, request *Request, l *leave) {
	if t.policy.Engine == nil {
		return
	}
	var own, other outlook
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if !t.admits(at) || at.engine == nil {
			continue
		}
		prediction := at.engine.Predict(now, request.Prompt, at.missing, false)
		if at.site == l.from {
			own.add(at, prediction)
			own.isInTime = own.isInTime || at.mayAnswer(prediction, l.trip.Left, request.WithinShare) && !at.pausesTooLong(prediction, t.policy.Gap)
		} else if at.running < at.slots {
			other.add(at, prediction)
		}
	}
	l.trip.InOwn, l.trip.InOther, l.trip.IsOwnLate = own.first, other.first, own.first > 0 && !own.isInTime
	if len(request.Prompt.Parts) > 1 {
		l.trip.Part = request.Prompt.Parts[0].ID
		l.trip.OtherReread = time.Duration(other.shared) * t.policy.Engine.WithDefaults().Prefill
	}
}

// outlook is what the engines of some data centres offer to a request; its first is zero if there are none.
type outlook struct {
	first    time.Duration // first is the shortest time to the first token.
	shared   int           // shared is the least number of tokens of shared parts that must be read again.
	isInTime bool          // isInTime is true if an engine would answer in time.
}

func (o *outlook) add(at *endpoint, prediction engine.Prediction) {
	if o.first == 0 {
		o.first, o.shared = prediction.First, at.missing.Shared
	}
	o.first, o.shared = min(o.first, prediction.First), min(o.shared, at.missing.Shared)
}

// bestOfferInScope returns the best offers as bestOffer does. If no other data centre takes a request that may leave, they are those
// of its own. If its own can't take a request that should stay, they are those of all that it reaches in time: no endpoint is idle
// while a request waits.
func (t *Table) bestOfferInScope(now time.Time, request *Request, given conditions) (cacheHolders, others bestOffer) {
	cacheHolders, others = t.bestOffer(now, request, given)
	l := given.leave
	if l.scope() == crossing.Others && cacheHolders.endpoint < 0 && others.endpoint < 0 {
		*given.obstacles, l.decision.Scope = dispatch.Obstacles{}, crossing.Own
		cacheHolders, others = t.bestOffer(now, request, given)
	}
	if l.scope() == crossing.Own && cacheHolders.endpoint < 0 && others.endpoint < 0 {
		l.decision.Scope, l.decision.Cause, l.isOverflow = crossing.Anywhere, crossing.OwnLate, true
		if cacheHolders.verdict.combine(others.verdict) == Closed {
			l.decision.Cause, l.isOverflow = crossing.OwnClosed, false // The request avoids the only endpoint of its data centre.
		}
		t.crossing.SetCosts(now, l.from, &l.trip, &l.costs)
		*given.obstacles = dispatch.Obstacles{}
		cacheHolders, others = t.bestOffer(now, request, given)
	}
	return cacheHolders, others
}

// distance returns the cost of the endpoint's distance from the entry of a request.
func distance(at *endpoint, request *Request, given conditions) time.Duration {
	switch {
	case given.leave.isDecided:
		return given.leave.costs.Of(at.site)
	case at.dataCentre != request.From:
		return distanceWeight
	}
	return 0
}

// recordLeave records the data centre that a request is granted in.
func (t *Table) recordLeave(now time.Time, placed *Placement, choice *Choice) {
	if l := &choice.leave; l.isDecided {
		placed.class = l.trip.Class
		placed.ticket = t.crossing.Sent(now, l.from, t.endpoints[placed.EndpointIndex].site, &l.trip, &l.decision)
	}
}

// endTicket records the end of a request for the path that it took. It reports whether the path rather than the endpoint failed.
func (t *Table) endTicket(now time.Time, placed *Placement, outcome cell.Outcome) bool {
	if outcome == cell.Completed && !placed.grantedAt.IsZero() {
		took := time.Duration(float64(now.Sub(placed.grantedAt)) / placed.waitFactor)
		if placed.hasRun {
			t.crossing.AnsweredWhole(now, &placed.ticket, took)
		} else {
			t.crossing.Answered(now, &placed.ticket, took)
		}
		return false
	}
	return t.crossing.Failed(now, &placed.ticket, outcome)
}
