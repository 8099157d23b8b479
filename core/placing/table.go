package placing

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/crossing"
	"ryelug/core/dispatch"
	"ryelug/core/engine"
	"ryelug/core/flight"
	"ryelug/core/limit"
	"ryelug/core/rollout"
	"ryelug/core/slot"
)

// Table holds the endpoints of a cell. Each has an index, which it keeps for the life of the Table.
type Table struct {
	policy     dispatch.Policy
	stakes     *limit.Stakes
	endpoints  []endpoint
	indexes    slot.Index[cell.EndpointID]
	reservedAt time.Time  // reservedAt is the time of the last reservation of an engine for long prompts.
	isPaced    bool       // isPaced is set once an endpoint has reported a pace; nothing of pacedCalls and pace.Endpoint acts before.
	mean       pacedCalls // mean is the mean of the times of the calls at all endpoints, from which new endpoints start; only kept while isPaced is set.
	margin     margin     // margin is by how much calls exceed the expected time; only kept while isPaced is set.
	weighed    int64      // weighed counts the endpoints considered for requests, as a measure of the cost of decisions.

	crossing *crossing.Control // crossing decides on requests for other data centres, in a cell where DecidesCrossing reports true.

	selection selection       // selection holds the endpoints that a roll-out allows for the request that is being placed.
	unused    rollout.Group   // unused is the group of a roll-out whose capacity does not count, as it gets a small share at most; zero if there is none.
	offers    []rollout.Offer // offers is a buffer of Capacity.
}

// EndpointsEvaluated returns the number of endpoints considered for requests so far, as a measure of the cost of decisions.
func (t *Table) EndpointsEvaluated() int64 { return t.weighed }

// New returns an empty Table. The stakes limit the rate of grants to cold endpoints.
func New(stakes *limit.Stakes) *Table {
	return &Table{stakes: stakes, indexes: slot.NewIndex[cell.EndpointID](), crossing: crossing.New(crossing.Config{})}
}

// SetPolicy replaces the configuration of the cell. Endpoints that it does not list get no new requests.
func (t *Table) SetPolicy(policy *dispatch.Policy) {
	t.policy = *policy
	for i := range t.endpoints {
		t.endpoints[i].open = false
	}
	for i := range policy.Endpoints {
		at := &t.endpoints[t.Ensure(policy.Endpoints[i].Endpoint)]
		at.applyPolicy(&policy.Endpoints[i], policy)
		at.site = t.crossing.Site(at.dataCentre)
		if at.engine == nil && at.paced.usual == 0 {
			at.paced = pacedCalls{usual: t.mean.usual, ways: t.mean.ways}
		}
	}
}

// Ensure returns the index of an endpoint, and adds the endpoint if it is new.
func (t *Table) Ensure(id cell.EndpointID) int32 {
	endpointIndex, isNew := t.indexes.Ensure(id)
	if isNew {
		t.endpoints = append(t.endpoints, endpoint{id: id})
	}
	return endpointIndex
}

// Len returns the number of endpoints.
func (t *Table) Len() int { return len(t.endpoints) }

// Name returns the name of the endpoint at an index.
func (t *Table) Name(index int32) cell.EndpointID { return t.endpoints[index].id }

// Find returns the index of an endpoint; negative if it is not known.
func (t *Table) Find(id cell.EndpointID) int32 {
	if endpointIndex, ok := t.indexes.Find(id); ok {
		return endpointIndex
	}
	return -1
}

// AddCached records that an engine should have a prompt part cached because an entry router has sent it a request with
// that part. It ignores unknown endpoints.
func (t *Table) AddCached(kept cell.Cached) {
	if endpointIndex := t.Find(kept.Endpoint); endpointIndex >= 0 && t.endpoints[endpointIndex].engine != nil {
		t.endpoints[endpointIndex].engine.AddCached(kept.Part)
	}
}

// SetReported records the prompt parts that an engine itself reports as cached. It ignores unknown endpoints.
func (t *Table) SetReported(id cell.EndpointID, parts []cell.Part) {
	if endpointIndex := t.Find(id); endpointIndex >= 0 && t.endpoints[endpointIndex].engine != nil {
		t.endpoints[endpointIndex].engine.SetReported(parts)
	}
}

// Choice is the decision on a request, valid at the time at which it was made.
type Choice struct {
	Verdict Verdict
	Best    time.Duration // Best is the shortest predicted time to the first token among the open engines; set only for a request that is refused.

	Obstacles dispatch.Obstacles // Obstacles counts the endpoints that could not take the request, by reason; zero if none was considered.

	margin   float64   // margin is by how much a paced call may take longer than expected and still be in time; zero if unknown.
	deadline time.Time // deadline is the request's; only set with margin.

	endpointIndex int32 // endpointIndex is the index of the endpoint that admits the request; negative if none does.
	cacheHolder   int32 // cacheHolder is the index of an engine that has the request's shared parts cached; negative if none does.

	leave leave // leave is the decision on other data centres; unset if the Table makes none.
}

// Choose returns the endpoint for a request, or the reason why it waits or is refused. While an engine that has the
// shared parts cached may still take the request in time, no other engine reads them again.
func (t *Table) Choose(now time.Time, request *Request) Choice {
	isLate := request.left(now) <= 0
	if isLate && t.isOpen() {
		return Choice{Verdict: Hopeless, endpointIndex: -1, cacheHolder: -1}
	}
	if !request.Long && t.isFull(now, request.WithinShare) && !isLate {
		verdict := Waits
		if request.hasRunOut(now, t.LeastCallTime(now)) {
			verdict = Hopeless
		}
		return Choice{Verdict: verdict, endpointIndex: -1, cacheHolder: -1}
	}
	if t.HasPacedCalls() {
		return t.choosePaced(now, request)
	}
	cacheHolder := t.lookUpCached(now, request.Prompt)
	choice := Choice{endpointIndex: -1, cacheHolder: cacheHolder}
	given := conditions{fetch: cacheHolder >= 0, allFail: t.areAllFailing(now), leave: &choice.leave, obstacles: &choice.Obstacles}
	t.decideLeave(now, request, &choice.leave)
	cacheHolders, others := t.bestOfferInScope(now, request, given)
	switch {
	case cacheHolders.endpoint >= 0:
		choice.Verdict, choice.endpointIndex = Admitted, cacheHolders.endpoint
	case cacheHolders.verdict == Waits && request.isPatient(now):
		choice.Verdict = Waits
	case others.endpoint >= 0:
		choice.Verdict, choice.endpointIndex = Admitted, others.endpoint
	default:
		choice.Verdict = cacheHolders.verdict.combine(others.verdict)
	}
	if choice.Verdict != Admitted && request.Long && t.pausesOthers(now, request) {
		t.placeOnReserved(now, request, given, &choice)
	}
	if choice.Verdict > Waits {
		choice.Best = t.best(now, request.Prompt)
	}
	return choice
}

// bestOffer returns the best endpoint among the engines that have the request's shared parts cached, and the best
// among the others.
func (t *Table) bestOffer(now time.Time, request *Request, given conditions) (cacheHolders, others bestOffer) {
	cacheHolders, others = noOffer(), noOffer()
	reserved := false
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if !t.admits(at) || given.leave.excludes(at) || int32(i) == request.Avoid && t.hasOther(int32(i)) {
			continue
		}
		if at.isReserved(now) {
			reserved = true
			continue
		}
		cost, decision := t.weigh(now, at, request, given)
		if at.engine != nil && at.missing.Shared == 0 {
			cacheHolders.add(int32(i), cost, decision)
		} else {
			others.add(int32(i), cost, decision)
		}
	}
	if reserved && cacheHolders.verdict.combine(others.verdict) == Closed {
		others.verdict = Waits // The reservations end, so the request may still be placed.
	}
	return cacheHolders, others
}

// isOpen reports whether any endpoint is open.
func (t *Table) isOpen() bool {
	for i := range t.endpoints {
		if t.admits(&t.endpoints[i]) {
			return true
		}
	}
	return false
}

// isFull reports whether no open endpoint has a free slot that the request may fill. It is false if no endpoint is open.
func (t *Table) isFull(now time.Time, within bool) bool {
	isOpen := false
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if t.admits(at) && !at.isReserved(now) && at.running < t.limitAt(now, at, within) {
			return false
		}
		isOpen = isOpen || t.admits(at)
	}
	return isOpen
}

// lookUpCached records in each open engine what it has not cached of the prompt. It returns the index of one that
// has all shared parts cached and does not fail; negative if there is none.
func (t *Table) lookUpCached(now time.Time, prompt *cell.Prompt) int32 {
	cacheHolder := int32(-1)
	t.weighed += int64(len(t.endpoints))
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if !t.admits(at) || at.engine == nil {
			continue
		}
		if t.isPaced {
			at.engine.SetPace(now, at.pace.Factor(now))
		}
		at.missing = at.engine.Missing(prompt)
		if cacheHolder < 0 && len(prompt.Parts) > 1 && at.missing.Shared == 0 && !at.health.IsFailing(now) {
			cacheHolder = int32(i)
		}
	}
	return cacheHolder
}

// best returns the shortest predicted time to the first token among the open engines; lookUpCached must have been
// called for the prompt.
func (t *Table) best(now time.Time, prompt *cell.Prompt) time.Duration {
	var best time.Duration
	t.weighed += int64(len(t.endpoints))
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if !t.admits(at) || at.engine == nil {
			continue
		}
		if first := at.engine.Predict(now, prompt, at.missing, false).First; best == 0 || first < best {
			best = first
		}
	}
	return best
}

// areAllFailing reports whether every open endpoint fails and is not due for a probe.
func (t *Table) areAllFailing(now time.Time) bool {
	for i := range t.endpoints {
		if at := &t.endpoints[i]; t.admits(at) && !at.health.AwaitsProbe(now) {
			return false
		}
	}
	return true
}

// hasOther reports whether another endpoint than the one at the index is open.
func (t *Table) hasOther(than int32) bool {
	for i := range t.endpoints {
		if int32(i) != than && t.admits(&t.endpoints[i]) {
			return true
		}
	}
	return false
}

// allowsGrant reports whether the endpoint's cold rate allows one more request now; it always does for a warm endpoint.
func (t *Table) allowsGrant(now time.Time, at *endpoint) bool {
	if !at.cold.IsCold(now) {
		return true
	}
	held, total := t.stakes.HeldSince(now, now.Add(-limit.RateWindow))
	return at.cold.Allows(now, held, total)
}

// Placement is a granted request at an endpoint. Its owner passes it to Begun and Ended.
type Placement struct {
	EndpointIndex int32        // EndpointIndex is the index of the endpoint.
	Start         cell.StartID // Start identifies the run of the endpoint's process that the request was granted to.
	// run is the request's record in the endpoint's engine.Engine; unset if the endpoint is not an engine.
	run    engine.Run
	hasRun bool // hasRun reports whether run is set.

	grantedAt  time.Time       // grantedAt is zero if another dispatcher granted the request.
	waitFactor float64         // waitFactor is by how much the request was to take longer because it waits for a slot at its endpoint.
	margin     float64         // margin is that of the Choice.
	deadline   time.Time       // deadline is that of the Choice.
	factor     float64         // factor is the endpoint's pace.Endpoint.Factor when the request was granted; zero if it reported none.
	class      string          // class is that of the request.
	ticket     crossing.Ticket // ticket is the record of the request among those of its data centre.
}

// Grant counts a request at the endpoint of a choice, which Choose must just have returned for it. It returns the
// request's record and the grant for its entry router.
func (t *Table) Grant(now time.Time, choice Choice, prompt *cell.Prompt) (Placement, cell.Grant) {
	at := &t.endpoints[choice.endpointIndex]
	placed := Placement{EndpointIndex: choice.endpointIndex, Start: at.start, grantedAt: now, waitFactor: at.waitFactor(at.running), margin: choice.margin, deadline: choice.deadline}
	if t.isPaced {
		placed.factor = at.pace.Factor(now)
	}
	t.recordLeave(now, &placed, &choice)
	grant := cell.Grant{Endpoint: at.id, Start: at.start}
	if at.engine != nil {
		if choice.cacheHolder >= 0 && at.missing.Shared > 0 {
			grant.Fetch = t.endpoints[choice.cacheHolder].id
		}
		grant.Predicted = at.engine.Predict(now, prompt, at.missing, grant.Fetch != "").First
		placed.run, placed.hasRun = at.engine.Admit(now, prompt, grant.Fetch != ""), true
	}
	at.running++
	at.cold.Granted(now)
	at.health.RecordAttempt(now)
	if at.isReserved(now) {
		at.reservedUntil = now.Add(reservationTime)
	}
	return placed, grant
}

// Adopt counts a request that another dispatcher granted, with its estimated cost in tokens.
func (t *Table) Adopt(endpointIndex int32, tokens int) Placement {
	at := &t.endpoints[endpointIndex]
	at.running++
	placed := Placement{EndpointIndex: endpointIndex, Start: at.start}
	if at.engine != nil {
		placed.run, placed.hasRun = at.engine.Adopt(tokens), true
	}
	return placed
}

// Running returns the number of requests that run at the endpoint of a request, which is one of them; zero if its process
// has started anew since.
func (t *Table) Running(placed *Placement) int {
	at := &t.endpoints[placed.EndpointIndex]
	if at.start != placed.Start {
		return 0
	}
	return at.running
}

// Begun records that a request's first token has arrived.
func (t *Table) Begun(now time.Time, placed *Placement) {
	if at := &t.endpoints[placed.EndpointIndex]; placed.hasRun && at.engine != nil && at.start == placed.Start {
		at.engine.Begun(now, &placed.run)
		t.crossing.Answered(now, &placed.ticket, now.Sub(placed.grantedAt))
	}
}

// Ended removes a request and updates the endpoint's health by its outcome. It ignores requests of a former run of the endpoint's process.
func (t *Table) Ended(now time.Time, placed *Placement, outcome cell.Outcome) {
	at := &t.endpoints[placed.EndpointIndex]
	isPathLost := t.endTicket(now, placed, outcome)
	if at.start != placed.Start {
		return
	}
	at.running--
	if at.engine != nil && placed.hasRun {
		at.engine.Ended(now, &placed.run)
	}
	if at.engine == nil && outcome == cell.Completed && !placed.grantedAt.IsZero() {
		at.call.add(now.Sub(placed.grantedAt), placed.waitFactor)
	}
	if isPathLost {
		return // The endpoint's own data centre may well reach it.
	}
	at.health.RecordOutcome(now, outcome)
	if outcome == cell.Unreached || outcome == cell.StartChanged {
		at.cold.MarkCold(now)
	}
}

// States appends the state of each endpoint to dst and returns the result.
func (t *Table) States(now time.Time, dst []flight.State) []flight.State {
	for i := range t.endpoints {
		at := &t.endpoints[i]
		state := limit.Warm
		if at.cold.IsCold(now) {
			state = limit.Cold
		}
		one := flight.State{Endpoint: at.id, State: state, Open: at.open, Limit: at.slots, InFlight: at.running, Free: max(0, at.slots-at.running)}
		if at.pace.IsKnown() {
			one.Pace = int(100 * at.pace.Factor(now))
			_, one.PaceAge = at.pace.Load(now)
		}
		dst = append(dst, one)
	}
	return dst
}
