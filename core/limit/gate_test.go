package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/limit"
)

var began = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// warmGate returns the gate of an endpoint with limits 2 and 10 that has warmed up with 4 requests.
func warmGate(t *testing.T) *limit.Gate {
	is := is.New(t)
	gate := &limit.Gate{}
	gate.SetLimits(2, 10, 4)
	is.Equal(gate.Limit(), 2) // No report has arrived yet.
	is.True(!gate.Reachable())
	gate.Reported(began, limit.Report{Start: "a", Cold: true})
	gate.Completed(began, 0)
	is.Equal(gate.State(), limit.Cold) // The endpoint's report takes precedence over its completed work.
	gate.Reported(began, limit.Report{Start: "a", Sampled: began})
	for _, size := range []int{2, 4, 6, 8, 10} {
		is.Equal(gate.Limit(), size)
		gate.Completed(began, 100*time.Millisecond)
	}
	is.Equal(gate.State(), limit.Warm)
	return gate
}

// A warm endpoint becomes cold at once on each sign that it may have restarted.
func TestGateBecomesCold(t *testing.T) {
	late := began.Add(time.Hour)
	signs := []struct {
		name  string
		apply func(*limit.Gate)
	}{
		{"new start", func(g *limit.Gate) { g.Reported(began, limit.Report{Start: "b"}) }},
		{"reported cold", func(g *limit.Gate) { g.Reported(began, limit.Report{Start: "a", Cold: true}) }},
		{"start is outdated", func(g *limit.Gate) { g.Outdated(began) }},
		{"failures", func(g *limit.Gate) { g.Failed(began); g.Failed(began) }},
		{"lost polls", func(g *limit.Gate) { g.PollLost(began); g.PollLost(began) }},
		{"late first token", func(g *limit.Gate) {
			for range 20 {
				g.Completed(began, 200*time.Millisecond)
			}
			g.Completed(began, 3*time.Second)
		}},
	}
	for _, sign := range signs {
		t.Run(sign.name, func(t *testing.T) {
			is := is.New(t)
			gate := warmGate(t)
			sign.apply(gate)
			is.Equal(gate.State(), limit.Cold)
			is.Equal(gate.Limit(), 2)
			work := 0
			if gate.Start() == "a" {
				work = 50 // The endpoint completed these requests before it was cold, and reports them late.
			}
			gate.Reported(late, limit.Report{Start: gate.Start(), Completed: work, Sampled: began.Add(-1)})
			is.Equal(gate.Limit(), 2)
			gate.Reported(late, limit.Report{Start: gate.Start(), Completed: work, Sampled: late})
			is.Equal(gate.Limit(), 2)
			gate.Reported(late, limit.Report{Start: gate.Start(), Completed: work + 4, Sampled: late})
			is.Equal(gate.Limit(), 10)
		})
	}
}

func TestGateStaysWarm(t *testing.T) {
	t.Run("single failures between successes", func(t *testing.T) {
		is := is.New(t)
		gate := warmGate(t)
		for range 5 {
			gate.Failed(began)
			gate.Completed(began, 0)
		}
		is.Equal(gate.State(), limit.Warm)
	})
	t.Run("idle, with fresh reports", func(t *testing.T) {
		is := is.New(t)
		gate := warmGate(t)
		late := began.Add(time.Hour)
		gate.Reported(late, limit.Report{Start: "a"})
		gate.Elapse(late.Add(time.Second))
		is.Equal(gate.State(), limit.Warm)
	})
	t.Run("idle until the next report", func(t *testing.T) {
		is := is.New(t)
		gate := warmGate(t)
		late := began.Add(time.Hour)
		gate.Elapse(late)
		is.Equal(gate.State(), limit.Cold)
		gate.Reported(late, limit.Report{Start: "a", Completed: 4, Sampled: late})
		is.Equal(gate.State(), limit.Warm)
	})
	t.Run("work completed under a previous dispatcher", func(t *testing.T) {
		is := is.New(t)
		gate := &limit.Gate{}
		gate.SetLimits(2, 10, 4)
		gate.Reported(began, limit.Report{Start: "a", Completed: 2})
		is.Equal(gate.Limit(), 6)
	})
}
