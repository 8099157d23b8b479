package admission_test

import (
	"fmt"
	"testing"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// BenchmarkFlood measures the cost of one second of demands, at several rates, for a dispatcher of 90 engines.
func BenchmarkFlood(b *testing.B) {
	for _, rate := range []int{1000, 2500, 5000, 8000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			var names []cell.EndpointID
			for n := range 90 {
				names = append(names, cell.EndpointID(fmt.Sprint("e", n)))
			}
			policy := engines(names...)
			for i := range policy.Endpoints {
				policy.Endpoints[i].WarmLimit = 32
			}
			d := newSimulation(policy)
			d.teams = nil
			d.runSecond(rate)
			d.runSecond(rate)
			before := len(d.grants)
			for b.Loop() {
				d.runSecond(rate)
			}
			b.ReportMetric(float64(len(d.grants)-before)/float64(b.N), "grants/op")
		})
	}
}

// runSecond submits the demands of ten teams for one second, at rate demands per second and in steps of 2 ms.
func (d *simulation) runSecond(rate int) {
	const steps = 500
	for step := range steps {
		for n := range rate / steps {
			team := cell.TeamID(fmt.Sprint("team-", (n+step)%10))
			d.class = fmt.Sprint("/class/", (n+step)%3)
			d.ask(team, prompt(uint64((step*7+n)%200), 1000, 500+100*(step%40)), 600*time.Millisecond)
		}
		d.now = d.now.Add(time.Second / steps)
		if step%25 == 0 {
			d.Step(d.now, &dispatch.Renew{Router: entryRouter, Session: 1, StakeUntil: d.now.Add(time.Second)})
			d.advanceAttempts()
		}
		if step%5 == 0 {
			d.record(d.Step(d.now, &dispatch.Tick{}))
		}
	}
}
