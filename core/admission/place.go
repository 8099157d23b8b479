package admission

import (
	"cmp"
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/engine"
	"ryelug/core/limit"
	"ryelug/core/queue"
	"ryelug/core/result"
	"ryelug/core/slot"
)

const (
	// withinPart is the part of the time left that a prediction may take for a request within its team's share,
	withinPart = 0.95
	// beyondPart is that of the others, so that room is left for those within.
	beyondPart = 0.6
	// beyondSlots is the part of the slots that requests beyond their share may fill.
	beyondSlots = 0.9

	// readAgainWeight weighs the time to read shared parts again against time to the first token: reading them
	// twice costs the engine the time and crowds out other parts.
	readAgainWeight = 15
	// fetchWeight is what copying shared parts from another engine counts for.
	fetchWeight = 40 * time.Millisecond
	// patientPart is the part of its time for which a request waits for an engine that keeps its shared parts.
	patientPart = 0.1
	// lightPart is the part of its slots below which an engine has much room.
	lightPart = 0.5
	// lightWait is the part of the time left that passes there at most before a prompt is read.
	lightWait = 0.25
	// gapPart is the part of the pause between events that a prompt may take up beside other runs.
	gapPart = 0.9
	// fewRuns is the number of runs that a long prompt may hold up.
	fewRuns = 4
	// crowdWeight is what a full batch counts for, as each request slows the tokens of all.
	crowdWeight = 100 * time.Millisecond
	// awayWeight is what the way to another data centre counts for.
	awayWeight = 10 * time.Millisecond
	// failWeightTime is what an endpoint counts for that fails always.
	failWeightTime = 500 * time.Millisecond

	fewWaiting = 4                     // waiting requests that are tried at each event
	tryPause   = 10 * time.Millisecond // between two tries of more of them

	mostTried = 256 // waiting requests that are tried at a time
)

// verdict says what becomes of a request now.
type verdict int

const (
	admitted verdict = iota
	waits            // waits: room may come in time.
	hopeless         // hopeless: no endpoint can answer in time any more.
	closed           // closed: no endpoint is open.
)

// want takes in demands; each is tried at once, since those that wait were tried before.
func (d *Dispatcher) want(now time.Time, ev *dispatch.Want) {
	index, ok := d.entries.Present(ev.Router, ev.Session)
	if !ok {
		return
	}
	for i := range ev.Demands {
		demand := &ev.Demands[i]
		by := d.entries.At(index)
		if by.Knows(demand.Attempt) {
			continue
		}
		of := d.teamOf(demand.Team)
		d.teams[of].active = now
		avoid := int32(-1)
		if at, known := d.index[demand.Avoid]; known {
			avoid = at
		}
		d.shares.Ask(now, int(of), max(1, demand.Estimate))
		place := d.waiting.Push(queue.Request{
			Entry: index, Attempt: demand.Attempt, Team: of, Avoid: avoid, Hint: demand.Estimate, Since: now,
			Class: demand.Class, Prompt: demand.Prompt, Due: demand.Due,
		})
		by.Waiting[demand.Attempt] = place
		d.ledger.Enter(int(of), d.ledger.Virtual())
		d.try(now, place)
	}
}

// tryWaiting tries the requests that wait: those within their team's share first,
// and among them those of the teams that were served least.
//
// Many are tried once in a while only, not at each event that may have made room.
func (d *Dispatcher) tryWaiting(now time.Time) {
	if d.waiting.Len() > fewWaiting && now.Sub(d.triedAt) < tryPause {
		return
	}
	d.triedAt = now
	d.scratch = d.scratch[:0]
	for place := d.waiting.First(); place != slot.None && len(d.scratch) < mostTried; place = d.waiting.Next(place) {
		d.scratch = append(d.scratch, place)
	}
	if len(d.scratch) > 1 {
		slices.SortStableFunc(d.scratch, func(a, b int32) int { return d.before(now, a, b) })
	}
	for _, place := range d.scratch {
		d.try(now, place)
	}
}

func (d *Dispatcher) before(now time.Time, a, b int32) int {
	x, y := int(d.waiting.At(a).Team), int(d.waiting.At(b).Team)
	if x == y {
		return 0
	}
	if d.shares.Within(now, x) != d.shares.Within(now, y) {
		if d.shares.Within(now, x) {
			return -1
		}
		return 1
	}
	return cmp.Compare(d.ledger.Counter(x), d.ledger.Counter(y))
}

// try grants or refuses a waiting request, or leaves it waiting.
func (d *Dispatcher) try(now time.Time, place int32) {
	endpoint, what := d.choose(now, d.waiting.At(place))
	switch what {
	case admitted:
		d.sizesOf(d.waiting.At(place)).decided(d.waiting.At(place).Hint, true)
		d.grant(now, place, endpoint)
	case hopeless:
		d.sizesOf(d.waiting.At(place)).decided(d.waiting.At(place).Hint, false)
		d.refuse(place, result.QueueTimeout, d.returns.next(now))
	case closed:
		d.refuse(place, result.NoCapacity, closedRetry)
	}
}

// sizesOf returns what is known of the sizes of a request's kind.
func (d *Dispatcher) sizesOf(request *queue.Request) *sizes {
	of, known := d.sizes[request.Class]
	if !known {
		of = &sizes{}
		d.sizes[request.Class] = of
	}
	return of
}

// offers are the best endpoints for a request among some of them.
type offers struct {
	endpoint int32 // endpoint has the least cost of those that admit the request; negative if none does.
	cost     time.Duration
	verdict  verdict
}

func noOffers() offers { return offers{endpoint: -1, verdict: closed} }

func (o *offers) add(endpoint int32, cost time.Duration, what verdict) {
	if what != admitted {
		o.verdict = worse(o.verdict, what)
		return
	}
	if o.endpoint < 0 || cost < o.cost {
		o.endpoint, o.cost = endpoint, cost
	}
}

// choose returns the endpoint for a request, if one can answer it in time. While an
// engine that keeps the shared parts may still take it in time, no other one reads them again.
func (d *Dispatcher) choose(now time.Time, request *queue.Request) (int32, verdict) {
	within := d.shares.Within(now, int(request.Team))
	within = within || request.Class != "" && d.sizesOf(request).favours(request.Hint)
	keepers, others := noOffers(), noOffers()
	fetch := d.look(now, &request.Prompt) >= 0
	d.allFail = d.doAllFail(now)
	for i := range d.endpoints {
		at := &d.endpoints[i]
		if !at.open || int32(i) == request.Avoid && d.hasOther(int32(i)) {
			continue
		}
		cost, what := d.weigh(now, at, request, terms{within, fetch})
		if at.engine != nil && at.missing.Shared == 0 {
			keepers.add(int32(i), cost, what)
		} else {
			others.add(int32(i), cost, what)
		}
	}
	switch {
	case keepers.endpoint >= 0:
		return keepers.endpoint, admitted
	case keepers.verdict == waits && d.isPatient(now, request):
		return -1, waits
	case others.endpoint >= 0:
		return others.endpoint, admitted
	}
	return -1, worse(keepers.verdict, others.verdict)
}

// look notes what each engine lacks of a prompt, and returns an open one that keeps its
// shared parts and answers; negative if there is none.
func (d *Dispatcher) look(now time.Time, prompt *cell.Prompt) int32 {
	keeper := int32(-1)
	for i := range d.endpoints {
		at := &d.endpoints[i]
		if !at.open || at.engine == nil {
			continue
		}
		at.missing = at.engine.Missing(prompt)
		if keeper < 0 && len(prompt.Parts) > 1 && at.missing.Shared == 0 && at.failing(now) <= failLimit {
			keeper = int32(i)
		}
	}
	return keeper
}

// best returns the least time to the first token that is predicted at any open engine.
func (d *Dispatcher) best(request *queue.Request) time.Duration {
	var best time.Duration
	for i := range d.endpoints {
		at := &d.endpoints[i]
		if !at.open || at.engine == nil {
			continue
		}
		if first := at.engine.Predict(d.now, &request.Prompt, at.engine.Missing(&request.Prompt), false).First; best == 0 || first < best {
			best = first
		}
	}
	return best
}

// isPatient tells whether a request has time to wait for an engine that keeps its shared parts.
func (d *Dispatcher) isPatient(now time.Time, request *queue.Request) bool {
	return float64(now.Sub(request.Since)) < patientPart*float64(request.Due.Sub(request.Since))
}

// worse joins the verdicts of two endpoints: hope at one of them is enough to wait.
func worse(a, b verdict) verdict {
	if a == waits || b == waits {
		return waits
	}
	return min(a, b)
}

// doAllFail tells whether each open endpoint fails; then none is worse than the others, and all are used.
func (d *Dispatcher) doAllFail(now time.Time) bool {
	for i := range d.endpoints {
		if at := &d.endpoints[i]; at.open && !at.isFailing(now) {
			return false
		}
	}
	return true
}

func (d *Dispatcher) hasOther(than int32) bool {
	for i := range d.endpoints {
		if int32(i) != than && d.endpoints[i].open {
			return true
		}
	}
	return false
}

// terms are what a request is weighed on at each endpoint.
type terms struct {
	within bool // within tells that the request lies within its team's share, or counts as if it did.
	fetch  bool // fetch tells that another engine keeps the shared parts.
}

// weigh says whether an endpoint can answer a request in time, and what choosing it costs.
func (d *Dispatcher) weigh(now time.Time, at *endpoint, request *queue.Request, on terms) (time.Duration, verdict) {
	left := time.Hour
	if !request.Due.IsZero() {
		left = request.Due.Sub(now)
	}
	cost := time.Duration(at.failing(now) * float64(failWeightTime))
	if entry := d.entries.At(request.Entry); at.dataCentre != d.dataCentreOf(entry.Router) {
		cost += awayWeight
	}
	cost += crowdWeight * time.Duration(at.running) / time.Duration(max(1, at.slots))
	if left <= 0 {
		return 0, hopeless
	}
	if at.isFailing(now) && !d.allFail || at.running >= slotsFor(at.slots, on.within) || !d.bears(now, at) {
		return 0, waits
	}
	if at.engine == nil {
		return cost, admitted
	}
	seen := at.engine.Predict(now, &request.Prompt, at.missing, on.fetch)
	if d.disturbs(at, seen) || !mayAnswer(at, seen, left, on.within) {
		return 0, hopeless
	}
	if !seen.Fits {
		return 0, waits
	}
	if at.missing.Shared > 0 && on.fetch {
		return cost + seen.First + fetchWeight, admitted
	}
	again := time.Duration(at.missing.Shared) * d.profile().Prefill
	return cost + seen.First + readAgainWeight*again, admitted
}

// mayAnswer tells whether an engine should answer a request that has so much time left. An engine with
// much room takes all that it can answer in time; otherwise requests beyond their share leave some for the others.
func mayAnswer(at *endpoint, seen engine.Prediction, left time.Duration, within bool) bool {
	isLight := float64(at.running) < lightPart*float64(at.slots) && float64(seen.Wait) < lightWait*float64(left)
	part := beyondPart
	if within || isLight {
		part = withinPart
	}
	return float64(seen.First) <= part*float64(left)
}

// disturbs tells whether reading a prompt would hold up the events of more than a few runs for too long.
func (d *Dispatcher) disturbs(at *endpoint, seen engine.Prediction) bool {
	return d.policy.Gap > 0 && at.running > fewRuns && float64(seen.Gap) > gapPart*float64(d.policy.Gap)
}

func slotsFor(slots int, within bool) int {
	if within {
		return slots
	}
	return max(1, int(beyondSlots*float64(slots)))
}

// bears tells whether an endpoint that may be cold bears one more request now.
func (d *Dispatcher) bears(now time.Time, at *endpoint) bool {
	if !at.isCold(now) {
		return true
	}
	held, total := d.stakes.HeldSince(now, now.Add(-coldWindow))
	return at.recent(now) < limit.Cap(at.coldRate, held, total)
}

func (d *Dispatcher) profile() engine.Profile { return d.policy.Engine.WithDefaults() }

// dataCentreOf returns the data centre of an entry, as far as the policy tells.
func (d *Dispatcher) dataCentreOf(router cell.RouterID) string {
	return d.policy.EntryDataCentres[router.Host()]
}

func (d *Dispatcher) grant(now time.Time, place, to int32) {
	request := *d.waiting.At(place)
	d.unqueue(place)
	at := &d.endpoints[to]
	cost := max(1, request.Hint)
	d.shares.Use(int(request.Team), cost)
	d.returns.granted(now)
	flying := attempt{entry: request.Entry, attempt: request.Attempt, team: request.Team, endpoint: to, charged: cost}
	given := cell.Grant{Attempt: request.Attempt, Endpoint: at.id, Start: at.start}
	if at.engine != nil {
		if keeper := d.look(now, &request.Prompt); keeper >= 0 && at.missing.Shared > 0 {
			given.Fetch = d.endpoints[keeper].id
		}
		run := at.engine.Admit(now, &request.Prompt, given.Fetch != "")
		flying.run = &run
	}
	at.running++
	at.granted(now)
	if at.failing(now) > failLimit {
		at.probeAt = now.Add(probeEvery)
	}
	d.add(flying)
	d.out.Grant(d.entries.At(request.Entry), given)
}
