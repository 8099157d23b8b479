package overload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/engine"
	"ryelug/standin/batch"
	"ryelug/standin/timeline"
)

const (
	tickEvery   = 50 * time.Millisecond
	after       = 15 * time.Second // after is how long requests may still end once no more come.
	mostSends   = 2                // mostSends is the number of engines that one try may reach.
	callerTries = 2                // callerTries is how often a caller tries.
)

// policy decides which engine answers a request, and when.
type policy interface {
	ask(now time.Time, r *request)
	begun(now time.Time, r *request)
	ended(now time.Time, r *request, outcome cell.Outcome)
	tick(now time.Time)
}

// world is one play of a load under one policy.
type world struct {
	plan    *Plan
	start   time.Time
	now     time.Time
	events  timeline.Queue[func()]
	random  *rand.Rand
	policy  policy
	engines []*batch.Engine
	faults  []*Fault // faults holds the present fault of each engine; nil is none.
	sends   map[*request]int
	jobs    map[*batch.Job]*request
	alone   []bool // alone tells which engines have no step on the way.

	requests []*request
}

// profile returns what the engines are.
func (p *Plan) profile() engine.Profile {
	return engine.Profile{Slots: p.Slots, Memory: p.Memory, Stride: p.Stride}
}

func newWorld(plan *Plan) *world {
	w := &world{
		plan: plan, start: time.Unix(0, 0), random: rand.New(rand.NewPCG(plan.Seed, 2)),
		sends: make(map[*request]int), jobs: make(map[*batch.Job]*request),
		faults: make([]*Fault, plan.Engines), alone: make([]bool, plan.Engines),
	}
	w.now = w.start
	seen := make(map[uint64]bool)
	for i := range plan.Engines {
		w.engines = append(w.engines, batch.New(plan.profile(), seen))
		w.alone[i] = true
	}
	w.requests = load(plan, w.start)
	return w
}

// play plays the load to its end.
func (w *world) play(p policy) {
	w.policy = p
	for _, r := range w.requests {
		w.events.Add(r.sent, func() { w.try(r) })
	}
	for i := range w.plan.Faults {
		fault := &w.plan.Faults[i]
		w.events.Add(w.start.Add(time.Duration(fault.From)), func() { w.setFault(fault) })
		w.events.Add(w.start.Add(time.Duration(fault.To)), func() { w.endFault(fault) })
	}
	end := w.start.Add(time.Duration(w.plan.Length) + after)
	for at := w.start; at.Before(end); at = at.Add(tickEvery) {
		w.events.Add(at, func() { w.policy.tick(w.now) })
	}
	for {
		event, ok := w.events.Next(end)
		if !ok {
			return
		}
		w.now = event.At
		event.What()
	}
}

func (w *world) later(by time.Duration, do func()) { w.events.Add(w.now.Add(by), do) }

func (w *world) way() time.Duration { return time.Duration(w.plan.Way) }

func (w *world) kind(r *request) *Kind { return &w.plan.Kinds[r.kind] }

// try is one of a caller's tries.
func (w *world) try(r *request) {
	r.tries++
	w.sends[r] = 0
	w.later(w.way(), func() { w.policy.ask(w.now, r) })
}

// grant sends a request to an engine, which may copy shared parts from another; negative is none.
func (w *world) grant(r *request, to, fetch int, predicted time.Duration) {
	r.engine, r.grantedAt, r.predicted = to, w.now, predicted
	w.sends[r]++
	w.later(2*w.way(), func() { w.arrive(r, to, fetch) })
}

func (w *world) arrive(r *request, to, fetch int) {
	fault := w.faults[to]
	if fault != nil && fault.Slow == 0 && fault.Fails == 0 {
		w.lose(r, cell.Unreached)
		return
	}
	if fault != nil && w.random.Float64() < fault.Fails {
		w.lose(r, cell.Failed)
		return
	}
	job := &batch.Job{Prompt: r.prompt, Output: r.output}
	if fetch >= 0 {
		job.Fetch = w.engines[fetch]
	}
	w.jobs[job] = r
	w.engines[to].Add(job)
	if w.alone[to] {
		w.step(to)
	}
}

// step runs an engine's next step and plans the one after it.
func (w *world) step(at int) {
	type told struct {
		job  *batch.Job
		what batch.Event
	}
	var events []told
	took := w.engines[at].Step(func(job *batch.Job, what batch.Event) { events = append(events, told{job, what}) })
	w.alone[at] = took == 0
	if took == 0 {
		return
	}
	w.later(took, func() {
		for _, one := range events {
			if r := w.jobs[one.job]; r != nil {
				w.tell(one.job, r, one.what)
			}
		}
		w.step(at)
	})
}

// tell brings an event of a stream to the caller.
func (w *world) tell(job *batch.Job, r *request, what batch.Event) {
	seen := w.now.Add(w.way())
	if r.first.IsZero() {
		r.first = seen
		w.later(w.way(), func() { w.policy.begun(w.now, r) })
	} else if gap := time.Duration(w.kind(r).Gap); gap > 0 && seen.Sub(r.last) > gap {
		r.paused = true
	}
	r.last = seen
	if what == batch.Done {
		delete(w.jobs, job)
		r.state = whole
		w.later(w.way(), func() { w.policy.ended(w.now, r, cell.Completed) })
	}
}

// lose ends an attempt that came to nothing; the router asks again while the try may reach another engine.
func (w *world) lose(r *request, outcome cell.Outcome) {
	w.policy.ended(w.now, r, outcome)
	if w.sends[r] < mostSends && r.first.IsZero() {
		w.policy.ask(w.now, r)
		return
	}
	r.state = failed
}

// refuse answers a request at once; its caller may come back.
func (w *world) refuse(r *request, retryAfter time.Duration) {
	r.state = refused
	if w.plan.AtOnce > 0 && w.random.Float64() < w.plan.AtOnce {
		retryAfter = 0
	}
	back := w.way() + retryAfter
	deadline := time.Duration(w.kind(r).Deadline)
	if r.tries < callerTries && (deadline == 0 || w.now.Add(back).Sub(r.sent) < deadline/3) {
		w.later(back, func() { w.try(r) })
	}
}

func (w *world) setFault(fault *Fault) {
	at := fault.Engine - 1
	w.faults[at] = fault
	if fault.Slow > 0 {
		w.engines[at].SetSlow(fault.Slow)
		return
	}
	if fault.Fails > 0 {
		return
	}
	w.engines[at].Clear()
	var lost []*request
	for job, r := range w.jobs {
		if r.engine == at {
			delete(w.jobs, job)
			lost = append(lost, r)
		}
	}
	slices.SortFunc(lost, func(a, b *request) int { return cmp.Compare(a.id, b.id) }) // A map has no order.
	for _, r := range lost {
		w.lose(r, cell.Failed)
	}
}

func (w *world) endFault(fault *Fault) {
	w.faults[fault.Engine-1] = nil
	w.engines[fault.Engine-1].SetSlow(1)
}
