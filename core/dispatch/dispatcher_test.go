package dispatch_test

import (
	"testing"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/result"
)

// warmBench is a dispatcher with all stakes and one warm endpoint.
func warmBench(t testing.TB, warm int) *bench {
	b := newBench(t, 3, onePool(1, warm))
	b.joinAll()
	b.load(0, b.now, false, 100)
	return b
}

func TestGrants(t *testing.T) {
	t.Run("work conserving", func(t *testing.T) {
		b := warmBench(t, 3)
		b.want(0, "a", 5)
		b.Equal(len(b.grants), 3)
		b.Equal(b.grants[0].Grant, cell.Grant{Attempt: 1, Endpoint: "e", Start: "s1"})
		b.end(b.grants[0], cell.Completed, 10)
		b.Equal(len(b.grants), 4)
	})
	t.Run("withdrawn", func(t *testing.T) {
		b := warmBench(t, 1)
		b.want(0, "a", 3)
		b.step(&dispatch.Withdraw{Router: router(0), Session: 1, Attempts: []cell.AttemptID{2}})
		b.end(b.grants[0], cell.Completed, 10)
		b.Equal(b.grants[1].Grant.Attempt, cell.AttemptID(3))
	})
	t.Run("unreached endpoints turn cold", func(t *testing.T) {
		b := warmBench(t, 3)
		b.want(0, "a", 9)
		for _, grant := range b.grants[:2] {
			b.end(grant, cell.Unreached, 0)
		}
		b.Equal(b.d.Snapshot().Endpoints[0].Limit, 1)
	})
	t.Run("another session is ignored", func(t *testing.T) {
		b := warmBench(t, 1)
		b.step(&dispatch.Want{Router: router(0), Session: 2, Demands: []cell.Demand{{Attempt: 1, Team: "a"}}})
		b.Equal(len(b.grants), 0)
	})
	t.Run("another endpoint than the one to avoid", func(t *testing.T) {
		policy := onePool(1, 2)
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{Endpoint: "f", WarmLimit: 2, ColdLimit: 1})
		b := newBench(t, 1, policy)
		b.joinAll()
		for _, id := range []cell.EndpointID{"e", "f"} {
			b.step(&dispatch.Load{Endpoint: id, Start: "s1", Completed: 100, Sampled: b.now})
		}
		for attempt := range cell.AttemptID(4) {
			b.step(&dispatch.Want{Router: router(0), Session: 1, Demands: []cell.Demand{{Attempt: attempt, Team: "a", Avoid: "e"}}})
		}
		var got []cell.EndpointID
		for _, grant := range b.grants {
			got = append(got, grant.Grant.Endpoint)
		}
		b.Equal(got, []cell.EndpointID{"f", "f", "e", "e"}) // Only with no room elsewhere is it taken all the same.
	})
	t.Run("by share", func(t *testing.T) {
		b := warmBench(t, 1)
		b.want(0, "a", 13) // The first is granted before c comes.
		b.want(0, "c", 12)
		served := map[bool]int{}
		for i := range 12 {
			b.end(b.grants[i], cell.Completed, 10)
			served[b.grants[i+1].Grant.Attempt > 13]++
		}
		b.Equal(served, map[bool]int{false: 4, true: 8})
	})
}

func TestRefusals(t *testing.T) {
	t.Run("team's queue is full", func(t *testing.T) {
		b := warmBench(t, 1)
		b.want(0, "a", 23)
		b.want(0, "b", 1)
		b.refused(result.TeamQueueFull, result.TeamQueueFull)
	})
	t.Run("waited too long", func(t *testing.T) {
		b := warmBench(t, 1)
		b.want(0, "a", 2)
		b.wait(10*time.Second - 1)
		b.refused()
		b.wait(1)
		b.refused(result.QueueTimeout)
	})
	t.Run("no endpoint is open", func(t *testing.T) {
		b := warmBench(t, 1)
		b.want(0, "a", 2)
		closed := onePool(1, 1)
		closed.Endpoints[0].Closed = true
		b.step(&closed)
		b.want(0, "a", 1)
		b.refused(result.NoCapacity, result.NoCapacity)
	})
	t.Run("retry after the queue has drained", func(t *testing.T) {
		b := warmBench(t, 1)
		b.want(0, "a", 22)
		for i := range 8 {
			b.wait(100 * time.Millisecond)
			b.end(b.grants[i], cell.Completed, 10)
			b.want(0, "a", 1)
		}
		b.want(0, "a", 1)
		b.Equal(b.refuse[len(b.refuse)-1].RetryAfter, 2*time.Second) // 20 wait, one goes each 100 ms.
	})
}

func TestDecisionAllocatesNothing(t *testing.T) {
	b := warmBench(t, 4)
	b.want(0, "a", 10)
	ended := &dispatch.Ended{Router: router(0), Ends: []cell.End{{Attempt: 1, Outcome: cell.Completed, Cost: 5}}}
	want := &dispatch.Want{Router: router(0), Session: 1, Demands: []cell.Demand{{Attempt: b.next, Team: "b"}}}
	allocs := testing.AllocsPerRun(10000, func() {
		b.now = b.now.Add(time.Millisecond)
		for _, action := range b.d.Step(b.now, ended) {
			ended.Ends[0].Attempt = action.(*dispatch.GrantTo).Grant.Attempt
		}
		want.Demands[0].Attempt++
		b.d.Step(b.now, want)
	})
	b.Equal(allocs, 0.0)
}

// A team whose grants all come back unused does not keep the least counter.
func TestUnusedGrantsCostAPart(t *testing.T) {
	b := warmBench(t, 1)
	b.want(0, "b", 18)
	unused, longest := 0, 0
	for i := range 200 {
		if i >= len(b.grants) {
			break
		}
		if grant := b.grants[i]; grant.Grant.Attempt <= 18 {
			b.end(grant, cell.Completed, 100)
			unused = 0
		} else {
			b.end(grant, cell.Unused, 0)
			unused++
		}
		longest = max(longest, unused)
		b.next++
		b.step(&dispatch.Want{Router: router(0), Session: 1, Demands: []cell.Demand{{Attempt: b.next, Team: "a", Estimate: 96}}})
	}
	b.True(longest <= 17) // Each costs 96/16, and a request of the other team 100.
}
