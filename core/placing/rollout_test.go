package placing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/placing"
	"ryelug/core/rollout"
)

// newPacedRollout returns a service with a slow endpoint of v1 and a fast one of v2, and the Trial of a running order for v2.
func newPacedRollout(now time.Time) (*placing.Table, *rollout.Trial) {
	service := newService(now, 2, 200, 100)
	service.SetPolicy(&dispatch.Policy{Endpoints: []dispatch.EndpointPolicy{
		{Endpoint: "0", WarmLimit: 2, Start: "s", Version: "v1"}, {Endpoint: "1", WarmLimit: 2, Start: "s", Version: "v2"},
	}})
	trial := rollout.New(rollout.Config{
		Order:  rollout.Order{Target: "v2", Duration: 12 * time.Second, Seen: now, ConfirmedAt: now, State: rollout.Running},
		Bounds: rollout.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second},
	})
	service.SetTarget("v2")
	service.SetFaulty(trial)
	return service, trial
}

// Guards against a Retry-After, and refusals, by the capacity of endpoints that get no more than a small share of the calls.
func TestCallRateLeavesOutUnusedVersion(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	service, trial := newPacedRollout(now)
	now = now.Add(3 * callTime)
	running := service.CallRate(now)
	trial.Update(rollout.Order{Target: "v2", State: rollout.Completed})
	service.SetFaulty(trial)
	completed := service.CallRate(now)
	service.EndRollout()
	all := service.CallRate(now)
	is.True(running > 0 && completed > 0)
	is.True(running < 0.5*all)
	is.True(completed > 0.5*all && completed < 0.8*all)
}

// Guards against calls that wait for an endpoint of the other version, which they can't get: those that no endpoint of the version in
// use could answer in time are taken anyway, as without a roll-out.
func TestCallsDoNotWaitForUnusedVersion(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	service, trial := newPacedRollout(now)
	now = now.Add(3 * callTime)
	choice := service.ChooseIn(now, call(now, 50*time.Millisecond), rollout.Stable, trial)
	is.Equal(choice.Verdict, placing.Admitted)
	placed, _ := service.Grant(now, choice, &cell.Prompt{})
	is.Equal(placed.EndpointIndex, int32(0))
}
