package overload

import (
	"fmt"
	"strconv"
	"time"

	"ryelug/core/admission"
	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/engine"
)

const (
	poolOf      = cell.ID("pool")
	reportEvery = 250 * time.Millisecond // between two load reports of an engine
)

// dispatched is a policy of real dispatchers, one for all routers or one for each.
type dispatched struct {
	world       *world
	dispatchers []dispatcher
	attempts    []map[cell.AttemptID]*request
	last        cell.AttemptID
	of          map[*request]cell.AttemptID
	avoid       map[*request]cell.EndpointID
	reports     bool // reports tells that the dispatchers need load reports.
	reportedAt  time.Time
	inFlight    []int
	completed   []int
}

type dispatcher interface {
	Step(now time.Time, ev dispatch.Event) []dispatch.Action
}

// newRyelug is the product: one dispatcher that knows of all requests.
func newRyelug(w *world) policy {
	return newDispatched(w, 1, func(int) dispatcher { return admission.New(admission.Config{Cell: poolOf}) })
}

// newUncoordinated is the product's admission at each router, which knows of its own requests alone.
func newUncoordinated(w *world) policy {
	return newDispatched(w, w.plan.Routers, func(int) dispatcher { return admission.New(admission.Config{Cell: poolOf}) })
}

// newFormer is the release before, which counted requests in flight and knew of no prompts.
func newFormer(w *world) policy {
	d := newDispatched(w, 1, func(int) dispatcher {
		return dispatch.New(dispatch.Config{Cell: poolOf, GrantValid: time.Second})
	})
	d.reports = true
	return d
}

func newDispatched(w *world, n int, one func(int) dispatcher) *dispatched {
	d := &dispatched{
		world: w, of: make(map[*request]cell.AttemptID), avoid: make(map[*request]cell.EndpointID),
		inFlight: make([]int, w.plan.Engines), completed: make([]int, w.plan.Engines),
	}
	policy := w.dispatchPolicy(n)
	for i := range n {
		d.dispatchers = append(d.dispatchers, one(i))
		d.attempts = append(d.attempts, make(map[cell.AttemptID]*request))
		d.step(i, &dispatch.Voters{Hosts: []cell.HostID{"r"}, Total: 1})
		d.step(i, policy)
		d.step(i, &dispatch.Join{Router: "r/1", Session: 1, Stake: true, UncountedFor: time.Hour})
	}
	return d
}

// dispatchPolicy is the configuration of one of n dispatchers.
func (w *world) dispatchPolicy(n int) *dispatch.Policy {
	profile := w.plan.profile().WithDefaults()
	policy := &dispatch.Policy{
		Engine: &engine.Profile{Slots: profile.Slots, Memory: profile.Memory, Stride: profile.Stride}, Predicted: true, FairRate: w.plan.FairRate / float64(n),
		QueueLimit: 1 << 20, QueueTimeout: time.Second, LongestRequest: time.Minute, LargestCost: 100_000, WarmUpRequests: 1,
	}
	for i := range w.plan.Kinds {
		policy.Gap = max(policy.Gap, time.Duration(w.plan.Kinds[i].Gap))
	}
	for team := range w.plan.Teams {
		policy.Teams = append(policy.Teams, dispatch.TeamPolicy{Team: teamID(team), Share: 1})
	}
	for at := range w.plan.Engines {
		slots := profile.Slots
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{
			Endpoint: engineID(at), WarmLimit: slots, ColdLimit: slots, Start: "s",
		})
	}
	return policy
}

func teamID(team int) cell.TeamID       { return cell.TeamID(fmt.Sprintf("team-%02d", team+1)) }
func engineID(at int) cell.EndpointID   { return cell.EndpointID(strconv.Itoa(at)) }
func engineAt(id cell.EndpointID) int   { at, _ := strconv.Atoi(string(id)); return at }
func (d *dispatched) at(r *request) int { return r.router % len(d.dispatchers) }

func (d *dispatched) ask(now time.Time, r *request) {
	d.last++
	d.of[r] = d.last
	d.attempts[d.at(r)][d.last] = r
	d.step(d.at(r), &dispatch.Want{Router: "r/1", Session: 1, Demands: []cell.Demand{{
		Attempt: d.last, Team: teamID(r.team), Estimate: r.prompt.Cost(), Avoid: d.avoid[r], Class: d.world.kind(r).Name,
		Prompt: r.prompt, Deadline: now.Add(time.Duration(d.world.kind(r).Aim) - 2*d.world.way()),
	}}})
}

func (d *dispatched) begun(now time.Time, r *request) {
	d.step(d.at(r), &dispatch.Progressed{Router: "r/1", Session: 1, Progress: []cell.Progress{{Attempt: d.of[r], FirstToken: now.Sub(r.grantedAt)}}})
}

func (d *dispatched) ended(_ time.Time, r *request, outcome cell.Outcome) {
	if outcome != cell.Completed {
		d.avoid[r] = engineID(r.engine)
	}
	d.inFlight[r.engine]--
	d.completed[r.engine]++
	d.step(d.at(r), &dispatch.Ended{Router: "r/1", Ends: []cell.End{{Attempt: d.of[r], Outcome: outcome, Cost: r.prompt.Cost()}}})
}

func (d *dispatched) tick(now time.Time) {
	for i := range d.dispatchers {
		d.step(i, &dispatch.Renew{Router: "r/1", Session: 1, StakeUntil: now.Add(time.Second)})
		d.step(i, &dispatch.Tick{})
	}
	if !d.reports || now.Sub(d.reportedAt) < reportEvery {
		return
	}
	d.reportedAt = now
	for at := range d.world.engines {
		d.step(0, &dispatch.Load{Endpoint: engineID(at), Start: "s", InFlight: d.inFlight[at], Completed: d.completed[at], Sampled: now})
	}
}

// step steps a dispatcher and does what it decides.
func (d *dispatched) step(i int, ev dispatch.Event) {
	now := d.world.now
	for _, action := range d.dispatchers[i].Step(now, ev) {
		switch action := action.(type) {
		case *dispatch.GrantTo:
			grant := &action.Grant
			r := d.attempts[i][grant.Attempt]
			delete(d.attempts[i], grant.Attempt)
			fetch := -1
			if grant.Fetch != "" {
				fetch = engineAt(grant.Fetch)
			}
			d.inFlight[engineAt(grant.Endpoint)]++
			d.world.grant(r, engineAt(grant.Endpoint), fetch, grant.Predicted)
		case *dispatch.RefuseTo:
			r := d.attempts[i][action.Attempt]
			delete(d.attempts[i], action.Attempt)
			d.world.refuse(r, action.RetryAfter)
		}
	}
}
