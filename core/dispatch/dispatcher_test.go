package dispatch_test

import (
	"testing"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/result"
)

// newWarmHarness returns a harness whose dispatcher holds all stakes and has one warm endpoint.
func newWarmHarness(t testing.TB, warm int) *harness {
	h := newHarness(t, 3, testPolicy(1, warm))
	h.joinAll()
	h.load(0, h.now, false, 100)
	return h
}

func TestGrants(t *testing.T) {
	t.Run("work conserving", func(t *testing.T) {
		h := newWarmHarness(t, 3)
		h.want(0, "a", 5)
		h.Equal(len(h.grants), 3)
		h.Equal(h.grants[0].Grant, cell.Grant{Attempt: 1, Endpoint: "e", Start: "s1"})
		h.end(h.grants[0], cell.Completed, 10)
		h.Equal(len(h.grants), 4)
	})
	t.Run("withdrawn", func(t *testing.T) {
		h := newWarmHarness(t, 1)
		h.want(0, "a", 3)
		h.step(&dispatch.Withdraw{Router: router(0), Session: 1, Attempts: []cell.AttemptID{2}})
		h.end(h.grants[0], cell.Completed, 10)
		h.Equal(h.grants[1].Grant.Attempt, cell.AttemptID(3))
	})
	t.Run("an endpoint that was unreachable twice turns cold", func(t *testing.T) {
		h := newWarmHarness(t, 3)
		h.want(0, "a", 9)
		for _, grant := range h.grants[:2] {
			h.end(grant, cell.Unreached, 0)
		}
		h.Equal(h.d.Snapshot().Endpoints[0].Limit, 1)
	})
	t.Run("a request for grants in another session is ignored", func(t *testing.T) {
		h := newWarmHarness(t, 1)
		h.step(&dispatch.Want{Router: router(0), Session: 2, Demands: []cell.Demand{{Attempt: 1, Team: "a"}}})
		h.Equal(len(h.grants), 0)
	})
	t.Run("the endpoint to avoid is used last", func(t *testing.T) {
		policy := testPolicy(1, 2)
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{Endpoint: "f", WarmLimit: 2, ColdLimit: 1})
		h := newHarness(t, 1, policy)
		h.joinAll()
		for _, id := range []cell.EndpointID{"e", "f"} {
			h.step(&dispatch.Load{Endpoint: id, Start: "s1", Completed: 100, Sampled: h.now})
		}
		for attempt := range cell.AttemptID(4) {
			h.step(&dispatch.Want{Router: router(0), Session: 1, Demands: []cell.Demand{{Attempt: attempt, Team: "a", Avoid: "e"}}})
		}
		var got []cell.EndpointID
		for _, grant := range h.grants {
			got = append(got, grant.Grant.Endpoint)
		}
		h.Equal(got, []cell.EndpointID{"f", "f", "e", "e"}) // The endpoint to avoid is used once the other one is full.
	})
	t.Run("by share", func(t *testing.T) {
		h := newWarmHarness(t, 1)
		h.want(0, "a", 13) // The first is granted before team c asks.
		h.want(0, "c", 12)
		served := map[bool]int{}
		for i := range 12 {
			h.end(h.grants[i], cell.Completed, 10)
			served[h.grants[i+1].Grant.Attempt > 13]++
		}
		h.Equal(served, map[bool]int{false: 4, true: 8})
	})
}

func TestRefusals(t *testing.T) {
	t.Run("team's queue is full", func(t *testing.T) {
		h := newWarmHarness(t, 1)
		h.want(0, "a", 23)
		h.want(0, "b", 1)
		h.refused(result.TeamQueueFull, result.TeamQueueFull)
	})
	t.Run("the queue timeout has passed", func(t *testing.T) {
		h := newWarmHarness(t, 1)
		h.want(0, "a", 2)
		h.wait(10*time.Second - 1)
		h.refused()
		h.wait(1)
		h.refused(result.QueueTimeout)
	})
	t.Run("no endpoint is open", func(t *testing.T) {
		h := newWarmHarness(t, 1)
		h.want(0, "a", 2)
		closed := testPolicy(1, 1)
		closed.Endpoints[0].Closed = true
		h.step(&closed)
		h.want(0, "a", 1)
		h.refused(result.NoCapacity, result.NoCapacity)
	})
	t.Run("the retry delay is the time to drain the queue", func(t *testing.T) {
		h := newWarmHarness(t, 1)
		h.want(0, "a", 22)
		for i := range 8 {
			h.wait(100 * time.Millisecond)
			h.end(h.grants[i], cell.Completed, 10)
			h.want(0, "a", 1)
		}
		h.want(0, "a", 1)
		h.Equal(h.refusals[len(h.refusals)-1].RetryAfter, 2*time.Second) // There are 20 requests waiting, and one is granted every 100 ms.
	})
}

func TestDecisionAllocatesNothing(t *testing.T) {
	h := newWarmHarness(t, 4)
	h.want(0, "a", 10)
	ended := &dispatch.Ended{Router: router(0), Ends: []cell.End{{Attempt: 1, Outcome: cell.Completed, Cost: 5}}}
	want := &dispatch.Want{Router: router(0), Session: 1, Demands: []cell.Demand{{Attempt: h.lastAttempt, Team: "b"}}}
	allocs := testing.AllocsPerRun(10000, func() {
		h.now = h.now.Add(time.Millisecond)
		for _, action := range h.d.Step(h.now, ended) {
			ended.Ends[0].Attempt = action.(*dispatch.GrantTo).Grant.Attempt
		}
		want.Demands[0].Attempt++
		h.d.Step(h.now, want)
	})
	h.Equal(allocs, 0.0)
}

// A team that returns all its grants unused must be charged for them. Otherwise its counter stays the least one and it
// gets every grant while another team waits.
func TestUnusedGrantsCostAPart(t *testing.T) {
	h := newWarmHarness(t, 1)
	h.want(0, "b", 18)
	unused, longest := 0, 0
	for i := range 200 {
		if i >= len(h.grants) {
			break
		}
		if grant := h.grants[i]; grant.Grant.Attempt <= 18 {
			h.end(grant, cell.Completed, 100)
			unused = 0
		} else {
			h.end(grant, cell.Unused, 0)
			unused++
		}
		longest = max(longest, unused)
		h.lastAttempt++
		h.step(&dispatch.Want{Router: router(0), Session: 1, Demands: []cell.Demand{{Attempt: h.lastAttempt, Team: "a", Estimate: 96}}})
	}
	h.True(longest <= 17) // An unused grant costs 96/16 = 6, a request of the other team 100.
}
