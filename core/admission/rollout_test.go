package admission_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/rollout"
)

// rolloutRun plays a roll-out of a service with three endpoints of each version.
type rolloutRun struct {
	*simulation
	policy    dispatch.Policy
	began     time.Time
	grants    map[string]int                     // grants counts the grants by version.
	started   map[cell.AttemptID]cell.EndpointID // started maps the granted attempts that have not ended to their endpoints.
	verdicts  []rollout.Verdict
	random    *rand.Rand
	failEvery int           // failEvery makes one in so many answers of the target fail; zero means none.
	slower    time.Duration // slower is added to the time of the target's answers.
	slowUntil time.Time     // slowUntil is until when it is; zero means always.
}

// newRolloutRun returns a run whose endpoints of the target v2 are open; without an order.
func newRolloutRun() *rolloutRun {
	policy := dispatch.Policy{Predicted: true, RolloutBounds: rollout.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}}
	for i := range 3 {
		for _, version := range []string{"v1", "v2"} {
			policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{
				Endpoint: cell.EndpointID(fmt.Sprint(version, "-", i)), Start: "s", Version: version, WarmLimit: 6, Closed: version == "v2",
			})
		}
	}
	r := &rolloutRun{simulation: newSimulation(policy), policy: policy, grants: map[string]int{}, started: map[cell.AttemptID]cell.EndpointID{}, random: rand.New(rand.NewPCG(1, 1))}
	r.tick, r.began = 10*time.Millisecond, r.now
	return r
}

// open opens the endpoints of the target.
func (r *rolloutRun) open() {
	for i := range r.policy.Endpoints {
		r.policy.Endpoints[i].Closed = false
	}
	r.setPolicy()
}

// begin gives the order.
func (r *rolloutRun) begin(revision uint64) {
	r.began = r.now
	r.policy.Rollout = &rollout.Order{Cell: "chat", Target: "v2", Revision: revision, Duration: 12 * time.Second, Seen: r.now, State: rollout.Running}
	r.setPolicy()
}

// setPolicy applies the policy, with a new confirmation of the order.
func (r *rolloutRun) setPolicy() {
	if r.policy.Rollout != nil {
		order := *r.policy.Rollout
		order.ConfirmedAt = r.now
		r.policy.Rollout = &order
	}
	policy := r.policy
	r.Step(r.now, &policy)
}

// play sends 200 requests a second for the span. Each takes 30 ms, unless the target is bad.
func (r *rolloutRun) play(span time.Duration) {
	for end := r.now.Add(span); r.now.Before(end); {
		r.now = r.now.Add(r.tick)
		r.Step(r.now, &dispatch.Renew{Router: entryRouter, Session: 1, StakeUntil: r.now.Add(time.Second)})
		for _, attempt := range slices.Sorted(maps.Keys(r.started)) {
			endpoint := r.started[attempt]
			ended := cell.End{Attempt: attempt, Outcome: cell.Completed, Took: 30 * time.Millisecond}
			if endpoint[:2] == "v2" && (r.slowUntil.IsZero() || r.running[attempt].Before(r.slowUntil)) {
				ended.Took += r.slower
			}
			if r.now.Sub(r.running[attempt]) < ended.Took {
				continue
			}
			if endpoint[:2] == "v2" && r.failEvery > 0 && r.random.IntN(r.failEvery) == 0 {
				ended.Outcome = cell.Failed
			}
			delete(r.started, attempt)
			r.Step(r.now, &dispatch.Ended{Router: entryRouter, Ends: []cell.End{ended}})
		}
		r.Step(r.now, &dispatch.Tick{})
		for _, verdict := range r.TakeVerdicts() {
			r.verdicts = append(r.verdicts, verdict)
			r.policy.Rollout.State = verdict.State
		}
		r.setPolicy()
		for range 2 {
			r.ask("kiosks", cell.Prompt{}, time.Second)
		}
		for _, grant := range r.simulation.grants {
			r.started[grant.Attempt] = grant.Endpoint
			r.grants[string(grant.Endpoint[:2])]++
		}
		r.simulation.grants = nil
	}
}

// Guards against requests to a new version before its order is known.
func TestNoOrderNoExposure(t *testing.T) {
	is := is.New(t)
	r := newRolloutRun()
	r.play(time.Second)
	r.open()
	r.play(time.Second)
	is.Equal(r.grants["v2"], 0)
	is.True(r.grants["v1"] > 300)
}

// A good version is completed; afterwards the old one gets nothing.
func TestGoodVersionIsCompleted(t *testing.T) {
	is := is.New(t)
	r := newRolloutRun()
	r.play(time.Second)
	r.begin(1)
	r.open()
	r.grants = map[string]int{}
	r.play(9 * time.Second)
	t.Log(r.grants)
	is.True(r.grants["v2"] > 65)
	is.True(10*r.grants["v2"] < r.grants["v1"]+r.grants["v2"])
	r.play(2 * time.Second)
	is.Equal(len(r.verdicts), 1)
	is.Equal(r.verdicts[0].State, rollout.Completed)
	old := r.grants["v1"]
	r.play(time.Second)
	is.Equal(r.grants["v1"], old)
	r.policy.Rollout = nil // The order is removed: the roll-out stays completed.
	r.play(time.Second)
	is.Equal(r.grants["v1"], old)
}

// A bad version is rolled back; afterwards it gets nothing, until an order with another revision.
func TestBadVersionIsRolledBack(t *testing.T) {
	is := is.New(t)
	r := newRolloutRun()
	r.failEvery = 2
	r.begin(1)
	r.open()
	r.play(8 * time.Second)
	is.Equal(len(r.verdicts), 1)
	is.Equal(r.verdicts[0].State, rollout.RolledBack)
	t.Log(r.verdicts[0].Reason, r.grants)
	bad := r.grants["v2"]
	is.True(bad > 0 && bad < 50)
	r.play(5 * time.Second)
	is.Equal(r.grants["v2"], bad)
	r.policy.Rollout = nil
	r.play(time.Second)
	is.Equal(r.grants["v2"], bad)
	r.failEvery = 0
	r.begin(2)
	r.play(11 * time.Second)
	is.Equal(len(r.verdicts), 2)
	is.Equal(r.verdicts[1].State, rollout.Completed)
}

// Guards against bad versions that pass because the dispatcher sends less to endpoints that fail or are slow.
func TestBadVersions(t *testing.T) {
	for _, bad := range []rolloutRun{{failEvery: 2}, {failEvery: 10}, {slower: 60 * time.Millisecond}, {slower: 210 * time.Millisecond}} {
		r := newRolloutRun()
		r.failEvery, r.slower = bad.failEvery, bad.slower
		r.begin(1)
		r.open()
		r.play(11500 * time.Millisecond)
		if len(r.verdicts) == 0 || r.verdicts[0].State != rollout.RolledBack || 10*r.grants["v2"] > r.grants["v1"]+r.grants["v2"] {
			t.Errorf("one in %d fails, slower by %v: %v, %+v", bad.failEvery, bad.slower, r.grants, r.verdicts)
		}
		t.Log(r.grants, r.verdicts[0].Reason, r.verdicts[0].Counts)
	}
}

// Guards against a good version that is taken for slow because requests that it got while cold end when it is warm.
func TestColdIsNotSlow(t *testing.T) {
	is := is.New(t)
	r := newRolloutRun()
	r.policy.ColdRate, r.slower = 1000, 900*time.Millisecond
	r.begin(1)
	for i := range r.policy.Endpoints {
		if r.policy.Endpoints[i].Version == "v2" {
			r.policy.Endpoints[i].ColdUntil = r.now.Add(2 * time.Second)
		}
	}
	r.open()
	r.play(2900 * time.Millisecond) // The endpoints count as cold for another second after two.
	r.slowUntil = r.now
	r.play(8 * time.Second)
	is.Equal(len(r.verdicts), 1)
	is.Equal(r.verdicts[0].State, rollout.Completed)
}

// A dispatcher that holds no majority of the stakes writes no verdict, and sends nothing to the target.
func TestNoVerdictWithoutMajority(t *testing.T) {
	is := is.New(t)
	r := newRolloutRun()
	r.Step(r.now, &dispatch.Voters{Hosts: []cell.HostID{"a", "b"}, Total: 2})
	r.begin(1)
	r.open()
	r.play(12 * time.Second)
	is.Equal(len(r.verdicts), 0)
	is.Equal(r.grants["v2"], 0)
}

// Guards against requests that wait because the group that was picked has no endpoint, and against an order that can't be met.
func TestNoTargetEndpoint(t *testing.T) {
	is := is.New(t)
	r := newRolloutRun()
	r.begin(1)
	r.play(11 * time.Second)
	is.Equal(r.grants["v1"], 2200)
	is.Equal(len(r.verdicts), 1)
	is.Equal(r.verdicts[0].State, rollout.RolledBack)
	is.Equal(r.verdicts[0].Reason, "no endpoint of the target")
}

// A decision of a cell with a roll-out allocates nothing.
func BenchmarkRollout(b *testing.B) {
	r := newRolloutRun()
	r.begin(1)
	r.open()
	r.play(time.Second)
	trial := rollout.New(rollout.Config{Order: *r.policy.Rollout, Bounds: r.policy.RolloutBounds})
	trial.Step(r.now, rollout.Capacity{Targets: []rollout.Offer{{Endpoint: "v2-0", Slots: 6}}, ReadySlots: 18}, true)
	sample := rollout.Sample{Group: rollout.Stable, Class: "k", Endpoint: "v1-0", Outcome: cell.Completed, Took: time.Millisecond, Slots: 6, Running: 1}
	b.ReportAllocs()
	for b.Loop() {
		sample.Group = trial.Pick(r.now, "k")
		trial.Granted(r.now, sample.Group, "k", "v1-0")
		trial.Ended(r.now, sample)
	}
}
