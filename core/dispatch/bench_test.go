package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// newFullDispatcher returns a dispatcher whose warm endpoints have all their slots in use while a tenth of the teams
// is backlogged, and the grants that it has made.
func newFullDispatcher(b *testing.B, teams, endpoints int, order dispatch.Order) (*dispatch.Dispatcher, []dispatch.GrantTo) {
	const slots = 8
	policy := dispatch.Policy{QueueTimeout: time.Hour, LongestRequest: time.Hour, LargestCost: 4096, WarmUpRequests: 1}
	for i := range teams {
		policy.Teams = append(policy.Teams, dispatch.TeamPolicy{Team: cell.TeamID(fmt.Sprint("team", i)), Share: 1 + i%7})
	}
	for i := range endpoints {
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{
			Endpoint: cell.EndpointID(fmt.Sprint("e", i)), WarmLimit: slots, ColdLimit: 1,
		})
	}
	d := dispatch.New(dispatch.Config{Cell: "cell", Order: order})
	d.Step(startTime, &policy)
	d.Step(startTime, &dispatch.Voters{Hosts: []cell.HostID{"h0"}, Total: 1})
	for i := range endpoints {
		d.Step(startTime, &dispatch.Load{Endpoint: policy.Endpoints[i].Endpoint, Start: "s", Sampled: startTime, Completed: 9})
	}
	d.Step(startTime, &dispatch.Join{Router: router(0), Session: 1, Stake: true})
	d.Step(startTime, &dispatch.Renew{Router: router(0), Session: 1, StakeUntil: startTime.Add(1000 * time.Hour)})
	grants := make([]dispatch.GrantTo, 0, endpoints*slots)
	backlogged := max(1, teams/10)
	for attempt := range cell.AttemptID(endpoints*slots + 4*backlogged) {
		team := policy.Teams[int(attempt)%backlogged].Team
		want := &dispatch.Want{Router: router(0), Session: 1, Demands: []cell.Demand{{Attempt: attempt, Team: team, Estimate: 100}}}
		for _, action := range d.Step(startTime, want) {
			grants = append(grants, *action.(*dispatch.GrantTo))
		}
	}
	return d, grants
}

// minDecisionsPerSecond is the target for one processor core; a slower benchmark fails.
const minDecisionsPerSecond = 100_000

// benchmarkDecision measures a full cycle: a request ends, the next one is granted, and a team asks for another grant.
func benchmarkDecision(b *testing.B, teams, endpoints int, order dispatch.Order) {
	d, grants := newFullDispatcher(b, teams, endpoints, order)
	names := make([]cell.TeamID, max(1, teams/10))
	for i := range names {
		names[i] = cell.TeamID(fmt.Sprint("team", i))
	}
	ended := &dispatch.Ended{Router: router(0), Ends: make([]cell.End, 1)}
	want := &dispatch.Want{Router: router(0), Session: 1, Demands: make([]cell.Demand, 1)}
	next := cell.AttemptID(1 << 32)
	now := startTime
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(10 * time.Microsecond)
		at := i % len(grants)
		ended.Ends[0] = cell.End{Attempt: grants[at].Grant.Attempt, Outcome: cell.Completed, Cost: cell.Cost(1 + i*7%4096)}
		actions := d.Step(now, ended)
		grants[at] = *actions[0].(*dispatch.GrantTo)
		next++
		want.Demands[0] = cell.Demand{Attempt: next, Team: names[i%len(names)]}
		d.Step(now, want)
	}
	rate := float64(b.N) / b.Elapsed().Seconds()
	b.ReportMetric(rate, "decisions/s")
	if b.N > 10000 && rate < minDecisionsPerSecond {
		b.Errorf("%.0f decisions per second, want at least %d", rate, minDecisionsPerSecond)
	}
}

func BenchmarkTeams(b *testing.B) {
	for _, teams := range []int{16, 160, 1600, 12000} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) { benchmarkDecision(b, teams, 100, dispatch.Fair{}) })
	}
}

func BenchmarkEndpoints(b *testing.B) {
	for _, endpoints := range []int{10, 100, 1200} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) { benchmarkDecision(b, 1600, endpoints, dispatch.Fair{}) })
	}
}

func BenchmarkFirstCome(b *testing.B) {
	benchmarkDecision(b, 1600, 100, dispatch.FirstCome{})
}

// BenchmarkTick measures a Tick and a call of Counters with 12,000 teams and 1,200 endpoints.
func BenchmarkTick(b *testing.B) {
	d, _ := newFullDispatcher(b, 12000, 1200, dispatch.Fair{})
	var counters []cell.TeamCounter
	b.ReportAllocs()
	for i := range b.N {
		d.Step(startTime.Add(time.Duration(i)*time.Microsecond), &dispatch.Tick{})
		counters = d.Counters(counters[:0])
	}
}

// BenchmarkHandOver measures how long a new dispatcher takes to process the Joins of 410 routers with 16 flights each,
// with 12,000 teams and 1,200 endpoints.
func BenchmarkHandOver(b *testing.B) {
	const routers = 410
	for b.Loop() {
		d, _ := newFullDispatcher(b, 12000, 1200, dispatch.Fair{})
		hosts := make([]cell.HostID, routers)
		for i := range hosts {
			hosts[i] = router(i).Host()
		}
		d.Step(startTime, &dispatch.Voters{Hosts: hosts, Total: routers})
		start := time.Now()
		for i := range routers {
			join := &dispatch.Join{Router: router(i), Session: 2, Stake: true}
			for n := range 16 {
				join.Flights = append(join.Flights, cell.Flight{
					Attempt: cell.AttemptID(1<<40 + n), Team: cell.TeamID(fmt.Sprint("team", i)), Endpoint: cell.EndpointID(fmt.Sprint("e", i)), Start: "s",
				})
			}
			d.Step(startTime, join)
			d.Step(startTime, &dispatch.Renew{Router: router(i), Session: 2, StakeUntil: startTime.Add(time.Hour)})
		}
		b.ReportMetric(float64(time.Since(start).Milliseconds()), "ms/fleet")
	}
}
