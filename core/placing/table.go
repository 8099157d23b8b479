package placing

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/engine"
	"ryelug/core/flight"
	"ryelug/core/limit"
	"ryelug/core/slot"
)

// Table is the endpoints of a cell, each at a place that it keeps.
type Table struct {
	policy    dispatch.Policy
	stakes    *limit.Stakes
	endpoints []endpoint
	places    slot.Index[cell.EndpointID]
	lanedAt   time.Time // lanedAt is when an engine was set apart for long prompts last.
	weighed   int64     // weighed counts the endpoints that were looked at for requests, which is what decisions cost.
}

// Weighed returns how many endpoints were looked at for requests so far, which is what decisions cost.
func (t *Table) Weighed() int64 { return t.weighed }

// New returns an empty Table that bounds what it gives to cold endpoints by the stakes.
func New(stakes *limit.Stakes) *Table {
	return &Table{stakes: stakes, places: slot.NewIndex[cell.EndpointID]()}
}

// SetPolicy replaces the configuration of the cell.
func (t *Table) SetPolicy(policy *dispatch.Policy) {
	t.policy = *policy
	for i := range t.endpoints {
		t.endpoints[i].open = false
	}
	for i := range policy.Endpoints {
		t.endpoints[t.Ensure(policy.Endpoints[i].Endpoint)].set(&policy.Endpoints[i], policy)
	}
}

// Ensure returns the place of an endpoint and makes one for a new name.
func (t *Table) Ensure(id cell.EndpointID) int32 {
	place, isNew := t.places.Ensure(id)
	if isNew {
		t.endpoints = append(t.endpoints, endpoint{id: id})
	}
	return place
}

// Find returns the place of an endpoint, negative if it is not known.
func (t *Table) Find(id cell.EndpointID) int32 {
	if place, ok := t.places.Find(id); ok {
		return place
	}
	return -1
}

// Keep notes that an engine should keep a part of prompts.
func (t *Table) Keep(kept cell.Kept) {
	if place := t.Find(kept.Endpoint); place >= 0 && t.endpoints[place].engine != nil {
		t.endpoints[place].engine.Keep(kept.Part)
	}
}

// Learn takes in which parts an engine keeps by its own word.
func (t *Table) Learn(id cell.EndpointID, parts []cell.Part) {
	if place := t.Find(id); place >= 0 && t.endpoints[place].engine != nil {
		t.endpoints[place].engine.Learn(parts)
	}
}

// Choice is what becomes of a request, as of the moment at which it was made.
type Choice struct {
	Verdict Verdict
	Best    time.Duration // Best is the least time to the first token that is predicted at any open engine, for a request that none can answer.

	Obstacles dispatch.Obstacles // Obstacles says why endpoints were passed over; zero where none was weighed.

	place  int32 // place is that of the endpoint which admits the request; negative if none does.
	keeper int32 // keeper is the place of an engine that keeps its shared parts; negative if none does.
}

// Choose returns the endpoint for a request, if one can answer it in time. While an
// engine that keeps the shared parts may still take it in time, no other one reads them again.
func (t *Table) Choose(now time.Time, request *Request) Choice {
	isLate := request.left(now) <= 0
	if isLate && t.isOpen() {
		return Choice{Verdict: Hopeless, place: -1, keeper: -1}
	}
	if !request.Long && t.isFull(now, request.Within) && !isLate {
		return Choice{Verdict: Waits, place: -1, keeper: -1}
	}
	keeper := t.look(now, request.Prompt)
	choice := Choice{place: -1, keeper: keeper}
	on := terms{fetch: keeper >= 0, allFail: t.doAllFail(now), obstacles: &choice.Obstacles}
	keepers, others := t.offers(now, request, on)
	switch {
	case keepers.endpoint >= 0:
		choice.Verdict, choice.place = Admitted, keepers.endpoint
	case keepers.verdict == Waits && request.isPatient(now):
		choice.Verdict = Waits
	case others.endpoint >= 0:
		choice.Verdict, choice.place = Admitted, others.endpoint
	default:
		choice.Verdict = keepers.verdict.join(others.verdict)
	}
	if choice.Verdict != Admitted && request.Long && t.holdsUp(now, request) {
		t.chooseLane(now, request, on, &choice)
	}
	if choice.Verdict > Waits {
		choice.Best = t.best(now, request.Prompt)
	}
	return choice
}

// offers returns the best engines that keep the shared parts of a request, and the best other endpoints.
func (t *Table) offers(now time.Time, request *Request, on terms) (keepers, others offers) {
	keepers, others = noOffers(), noOffers()
	lanes := false
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if !at.open || int32(i) == request.Avoid && t.hasOther(int32(i)) {
			continue
		}
		if at.isLane(now) {
			lanes = true
			continue
		}
		cost, what := t.weigh(now, at, request, on)
		if at.engine != nil && at.missing.Shared == 0 {
			keepers.add(int32(i), cost, what)
		} else {
			others.add(int32(i), cost, what)
		}
	}
	if lanes && keepers.verdict.join(others.verdict) == Closed {
		others.verdict = Waits // Engines that are set apart are open again in a while.
	}
	return keepers, others
}

// isOpen tells whether any endpoint is open.
func (t *Table) isOpen() bool {
	for i := range t.endpoints {
		if t.endpoints[i].open {
			return true
		}
	}
	return false
}

// isFull tells whether all open endpoints have their slots in use, as far as they are given to the request.
func (t *Table) isFull(now time.Time, within bool) bool {
	isOpen := false
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if at.open && !at.isLane(now) && at.running < at.slotsFor(within) {
			return false
		}
		isOpen = isOpen || at.open
	}
	return isOpen
}

// look notes what each engine lacks of a prompt, and returns an open one that keeps its
// shared parts and answers; negative if there is none.
func (t *Table) look(now time.Time, prompt *cell.Prompt) int32 {
	keeper := int32(-1)
	t.weighed += int64(len(t.endpoints))
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if !at.open || at.engine == nil {
			continue
		}
		at.missing = at.engine.Missing(prompt)
		if keeper < 0 && len(prompt.Parts) > 1 && at.missing.Shared == 0 && !at.health.IsFailing(now) {
			keeper = int32(i)
		}
	}
	return keeper
}

// best returns the least time to the first token that is predicted at any open engine, after look.
func (t *Table) best(now time.Time, prompt *cell.Prompt) time.Duration {
	var best time.Duration
	t.weighed += int64(len(t.endpoints))
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if !at.open || at.engine == nil {
			continue
		}
		if first := at.engine.Predict(now, prompt, at.missing, false).First; best == 0 || first < best {
			best = first
		}
	}
	return best
}

func (t *Table) doAllFail(now time.Time) bool {
	for i := range t.endpoints {
		if at := &t.endpoints[i]; at.open && !at.health.IsOut(now) {
			return false
		}
	}
	return true
}

func (t *Table) hasOther(than int32) bool {
	for i := range t.endpoints {
		if int32(i) != than && t.endpoints[i].open {
			return true
		}
	}
	return false
}

// bears tells whether an endpoint that may be cold bears one more request now.
func (t *Table) bears(now time.Time, at *endpoint) bool {
	if !at.cold.IsCold(now) {
		return true
	}
	held, total := t.stakes.HeldSince(now, now.Add(-limit.RateWindow))
	return at.cold.Bears(now, held, total)
}

// Placed is a request at an endpoint.
type Placed struct {
	Place int32
	Start cell.StartID // Start is the start of the endpoint that was to run the request.
	run   engine.Run
	isRun bool // isRun is false at a plain service.
}

// Grant places a request as Choose has just decided, and returns the grant for it.
func (t *Table) Grant(now time.Time, choice Choice, prompt *cell.Prompt) (Placed, cell.Grant) {
	at := &t.endpoints[choice.place]
	placed, grant := Placed{Place: choice.place, Start: at.start}, cell.Grant{Endpoint: at.id, Start: at.start}
	if at.engine != nil {
		if choice.keeper >= 0 && at.missing.Shared > 0 {
			grant.Fetch = t.endpoints[choice.keeper].id
		}
		grant.Predicted = at.engine.Predict(now, prompt, at.missing, grant.Fetch != "").First
		placed.run, placed.isRun = at.engine.Admit(now, prompt, grant.Fetch != ""), true
	}
	at.running++
	at.cold.Granted(now)
	at.health.Tried(now)
	if at.isLane(now) {
		at.laneUntil = now.Add(laneSpan)
	}
	return placed, grant
}

// Adopt counts a request in that another dispatcher has granted.
func (t *Table) Adopt(place int32, tokens int) Placed {
	at := &t.endpoints[place]
	at.running++
	placed := Placed{Place: place, Start: at.start}
	if at.engine != nil {
		placed.run, placed.isRun = at.engine.Adopt(tokens), true
	}
	return placed
}

// Begun notes the first token of a request.
func (t *Table) Begun(now time.Time, placed *Placed) {
	if at := &t.endpoints[placed.Place]; placed.isRun && at.engine != nil && at.start == placed.Start {
		at.engine.Begun(now, &placed.run)
	}
}

// Ended counts a request no more, with what its end says of the endpoint.
func (t *Table) Ended(now time.Time, placed *Placed, outcome cell.Outcome) {
	at := &t.endpoints[placed.Place]
	if at.start != placed.Start {
		return
	}
	at.running--
	if at.engine != nil && placed.isRun {
		at.engine.Ended(now, &placed.run)
	}
	at.health.Seen(now, outcome)
	if outcome == cell.Unreached || outcome == cell.StartChanged {
		at.cold.Doubt(now)
	}
}

// States appends the state of each endpoint.
func (t *Table) States(now time.Time, dst []flight.State) []flight.State {
	for i := range t.endpoints {
		at := &t.endpoints[i]
		state := limit.Warm
		if at.cold.IsCold(now) {
			state = limit.Cold
		}
		dst = append(dst, flight.State{
			Endpoint: at.id, State: state, Open: at.open, Limit: at.slots, InFlight: at.running, Free: max(0, at.slots-at.running),
		})
	}
	return dst
}
