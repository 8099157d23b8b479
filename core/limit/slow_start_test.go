package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/limit"
)

var began = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// warmSlowStart returns the SlowStart of an endpoint with limits 2 and 10 that has warmed up with 4 requests.
func warmSlowStart(t *testing.T) *limit.SlowStart {
	is := is.New(t)
	slowStart := &limit.SlowStart{}
	slowStart.SetLimits(2, 10, 4)
	is.Equal(slowStart.Limit(), 2) // No report has arrived yet.
	is.True(!slowStart.Reachable())
	slowStart.Reported(began, limit.Report{Start: "a", Cold: true})
	slowStart.Completed(began, 0)
	is.Equal(slowStart.State(), limit.Cold) // The endpoint's report takes precedence over its completed work.
	slowStart.Reported(began, limit.Report{Start: "a", Sampled: began})
	for _, size := range []int{2, 4, 6, 8, 10} {
		is.Equal(slowStart.Limit(), size)
		slowStart.Completed(began, 100*time.Millisecond)
	}
	is.Equal(slowStart.State(), limit.Warm)
	return slowStart
}

// A warm endpoint becomes cold at once on each sign that it may have restarted.
func TestGateBecomesCold(t *testing.T) {
	late := began.Add(time.Hour)
	signs := []struct {
		name  string
		apply func(*limit.SlowStart)
	}{
		{"new start", func(g *limit.SlowStart) { g.Reported(began, limit.Report{Start: "b"}) }},
		{"reported cold", func(g *limit.SlowStart) { g.Reported(began, limit.Report{Start: "a", Cold: true}) }},
		{"start is outdated", func(g *limit.SlowStart) { g.RestartDetected(began) }},
		{"failures", func(g *limit.SlowStart) { g.Failed(began); g.Failed(began) }},
		{"lost polls", func(g *limit.SlowStart) { g.PollLost(began); g.PollLost(began) }},
		{"late first token", func(g *limit.SlowStart) {
			for range 20 {
				g.Completed(began, 200*time.Millisecond)
			}
			g.Completed(began, 3*time.Second)
		}},
	}
	for _, sign := range signs {
		t.Run(sign.name, func(t *testing.T) {
			is := is.New(t)
			slowStart := warmSlowStart(t)
			sign.apply(slowStart)
			is.Equal(slowStart.State(), limit.Cold)
			is.Equal(slowStart.Limit(), 2)
			work := 0
			if slowStart.Start() == "a" {
				work = 50 // The endpoint completed these requests before it was cold, and reports them late.
			}
			slowStart.Reported(late, limit.Report{Start: slowStart.Start(), Completed: work, Sampled: began.Add(-1)})
			is.Equal(slowStart.Limit(), 2)
			slowStart.Reported(late, limit.Report{Start: slowStart.Start(), Completed: work, Sampled: late})
			is.Equal(slowStart.Limit(), 2)
			slowStart.Reported(late, limit.Report{Start: slowStart.Start(), Completed: work + 4, Sampled: late})
			is.Equal(slowStart.Limit(), 10)
		})
	}
}

func TestGateStaysWarm(t *testing.T) {
	t.Run("single failures between successes", func(t *testing.T) {
		is := is.New(t)
		slowStart := warmSlowStart(t)
		for range 5 {
			slowStart.Failed(began)
			slowStart.Completed(began, 0)
		}
		is.Equal(slowStart.State(), limit.Warm)
	})
	t.Run("idle, with fresh reports", func(t *testing.T) {
		is := is.New(t)
		slowStart := warmSlowStart(t)
		late := began.Add(time.Hour)
		slowStart.Reported(late, limit.Report{Start: "a"})
		slowStart.Update(late.Add(time.Second))
		is.Equal(slowStart.State(), limit.Warm)
	})
	t.Run("idle until the next report", func(t *testing.T) {
		is := is.New(t)
		slowStart := warmSlowStart(t)
		late := began.Add(time.Hour)
		slowStart.Update(late)
		is.Equal(slowStart.State(), limit.Cold)
		slowStart.Reported(late, limit.Report{Start: "a", Completed: 4, Sampled: late})
		is.Equal(slowStart.State(), limit.Warm)
	})
	t.Run("work completed under a previous dispatcher", func(t *testing.T) {
		is := is.New(t)
		slowStart := &limit.SlowStart{}
		slowStart.SetLimits(2, 10, 4)
		slowStart.Reported(began, limit.Report{Start: "a", Completed: 2})
		is.Equal(slowStart.Limit(), 6)
	})
}
