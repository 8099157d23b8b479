package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/admission"
	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// Requests that share a prompt part go to the engine that has it cached, as long as it answers in time.
func TestSharedPartsStayTogether(t *testing.T) {
	is := is.New(t)
	d := newSimulation(engines("e1", "e2", "e3"))
	home := granted(t, d.ask("kiosks", prompt(1, 5000, 500), time.Second)).Endpoint
	other := granted(t, d.ask("kiosks", prompt(2, 5000, 500), time.Second)).Endpoint
	is.True(home != other)
	for range 5 {
		d.pass(100 * time.Millisecond)
		is.Equal(granted(t, d.ask("schools", prompt(1, 5000, 500), time.Second)).Endpoint, home)
	}
}

// A request that no engine can answer before its deadline is refused at once, with a time after which to retry.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	d := newSimulation(engines("e1"))
	var refused *dispatch.RefuseTo
	for range 20 {
		actions := d.ask("kiosks", prompt(uint64(d.last)+10, 0, 20_000), 600*time.Millisecond)
		is.Equal(len(actions), 1) // no request waits without a chance to meet its deadline
		if refusal, ok := actions[0].(*dispatch.RefuseTo); ok {
			refused = refusal
		}
	}
	is.True(refused != nil)
	is.True(refused.RetryAfter > 0)
}

// A cold endpoint gets no more than its cold rate of requests in any second.
func TestColdRate(t *testing.T) {
	is := is.New(t)
	policy := engines("e1")
	policy.Endpoints[0].ColdUntil = time.Now().Add(time.Minute)
	d := newSimulation(policy)
	var times []time.Time
	for range 400 {
		d.pass(50 * time.Millisecond)
		d.ask("kiosks", prompt(1, 10, 10), 200*time.Millisecond)
		for len(times) < len(d.grants) {
			times = append(times, d.now)
		}
	}
	is.True(len(times) > 20) // it is not starved
	for i := policy.ColdRate; i < len(times); i++ {
		is.True(times[i].Sub(times[i-policy.ColdRate]) > time.Second)
	}
}

// An endpoint that fails gets only occasional probes, and its normal load again once it answers.
func TestFailingEndpoint(t *testing.T) {
	is := is.New(t)
	d := newSimulation(engines("e1", "e2"))
	count := func(steps int, outcome cell.Outcome) (first int) {
		for range steps {
			d.pass(50 * time.Millisecond)
			grant := granted(t, d.ask("kiosks", prompt(uint64(d.last)+10, 0, 100), time.Second))
			if grant.Endpoint == "e1" {
				first++
				d.outcome[grant.Attempt] = outcome
			}
		}
		return first
	}
	is.True(count(200, cell.Failed) < 50) // 25 probes in 10 s, and the attempts that were running when the first failure became known
	count(100, cell.Completed)
	is.True(count(100, cell.Completed) > 30)
}

// A failing endpoint gets only occasional probes, even while the others are full.
func TestFailingEndpointIsProbed(t *testing.T) {
	is := is.New(t)
	policy := engines("e1", "e2")
	policy.Endpoints[1].WarmLimit = 1
	d := newSimulation(policy)
	probes := 0
	for range 200 {
		d.pass(50 * time.Millisecond)
		for range 2 {
			d.ask("kiosks", prompt(uint64(d.last)+10, 0, 100), 200*time.Millisecond)
		}
		for _, grant := range d.grants {
			if grant.Endpoint == "e1" {
				probes++
				d.outcome[grant.Attempt] = cell.Failed
			}
		}
		d.grants = nil
	}
	is.True(probes < 50) // 25 probes in 10 s, and the attempts that were running when the first failure became known
}

// Requests of teams beyond their shares leave a few slots free for the other teams.
func TestFloodLeavesSlots(t *testing.T) {
	is := is.New(t)
	policy := engines("e1")
	policy.Engine, policy.FairRate = nil, 1000
	policy.Endpoints[0].WarmLimit = 20
	d := newSimulation(policy)
	served := 0
	for step := range 400 {
		d.pass(50 * time.Millisecond)
		for range 30 {
			d.ask("flood", prompt(1, 0, 500), 50*time.Millisecond)
		}
		is.True(step < 10 || len(d.running) >= 10) // the overloading team gets all slots but those left free
		if step%10 > 0 {
			continue
		}
		if _, ok := first(d.ask("kiosks", prompt(2, 0, 10), 50*time.Millisecond)).(*dispatch.GrantTo); ok {
			served++
		}
	}
	t.Logf("served %d of 40", served)
	is.True(served >= 36)
}

// Requests of a team beyond its share leave capacity for the requests of the other teams.
func TestFloodLeavesRoom(t *testing.T) {
	is := is.New(t)
	policy := engines("e1")
	policy.FairRate = 10_000
	d := newSimulation(policy)
	refused := map[cell.TeamID]int{}
	asked := map[cell.TeamID]int{}
	for step := range 400 {
		d.pass(50 * time.Millisecond)
		for range 4 {
			asked["flood"]++
			if _, ok := first(d.ask("flood", prompt(uint64(d.last)+10, 0, 5000), 400*time.Millisecond)).(*dispatch.RefuseTo); ok {
				refused["flood"]++
			}
		}
		if step%20 == 0 {
			asked["kiosks"]++
			if _, ok := first(d.ask("kiosks", prompt(uint64(d.last)+10, 0, 500), 400*time.Millisecond)).(*dispatch.RefuseTo); ok {
				refused["kiosks"]++
			}
		}
	}
	t.Logf("refused %v of %v", refused, asked)
	is.True(refused["flood"] > asked["flood"]/3)
	is.True(refused["kiosks"] <= 1)
}

// first returns the first action, or nil if there is none.
func first(actions []dispatch.Action) dispatch.Action {
	if len(actions) == 0 {
		return nil
	}
	return actions[0]
}

// If the engine that has the shared prompt parts cached is full, a request goes to another one, with a hint to
// fetch the parts from there.
func TestSharedPartsAreFetched(t *testing.T) {
	is := is.New(t)
	policy := engines("e1", "e2")
	policy.Endpoints[0].WarmLimit, policy.Endpoints[1].WarmLimit = 4, 4
	d := newSimulation(policy)
	home := granted(t, d.ask("kiosks", prompt(1, 5000, 500), time.Second)).Endpoint
	d.pass(time.Second)
	for range 4 {
		d.ask("kiosks", prompt(1, 5000, 500), time.Second)
	}
	d.ask("kiosks", prompt(1, 5000, 500), time.Second)
	d.pass(200 * time.Millisecond)
	last := d.grants[len(d.grants)-1]
	is.True(last.Endpoint != home)
	is.Equal(last.Fetch, home)
	is.Equal(d.grants[0].Fetch, cell.EndpointID("")) // the first request found no parts to fetch
}

// A new dispatcher learns from joining entries which engines have which prompt parts cached.
func TestKeptPartsAreTold(t *testing.T) {
	is := is.New(t)
	d := newSimulation(engines("e1", "e2", "e3"))
	d.Step(d.now, &dispatch.Join{Router: "b/1", Session: 1, Cached: []cell.Cached{
		{Endpoint: "e3", Part: cell.Part{ID: 7, Tokens: 5000}, Age: time.Second}, {Endpoint: "gone", Part: cell.Part{ID: 8, Tokens: 10}},
	}})
	is.Equal(granted(t, d.ask("kiosks", prompt(7, 5000, 500), time.Second)).Endpoint, cell.EndpointID("e3"))
}

// A dispatcher without a stake grants requests to warm endpoints and none to a cold one.
func TestWithoutStake(t *testing.T) {
	is := is.New(t)
	policy := engines("cold", "warm")
	policy.Endpoints[0].ColdUntil = time.Now().Add(time.Hour)
	d := &simulation{Dispatcher: admission.New(admission.Config{Cell: "chat"}), now: time.Now(), tick: 50 * time.Millisecond, running: map[cell.AttemptID]time.Time{}}
	d.Step(d.now, &dispatch.Voters{Hosts: []cell.HostID{"a", "b"}, Total: 2})
	d.Step(d.now, &policy)
	d.Step(d.now, &dispatch.Join{Router: entryRouter, Session: 1})
	for range 20 {
		d.pass(50 * time.Millisecond)
		is.Equal(granted(t, d.ask("kiosks", prompt(uint64(d.last)+10, 0, 100), time.Second)).Endpoint, cell.EndpointID("warm"))
	}
}

// Dispatchers that divide the stakes of the fleet between them together give a cold endpoint no more than its cold rate.
func TestColdRateOfRivals(t *testing.T) {
	is := is.New(t)
	const hosts, bears = 7, 29
	policy := engines("e1")
	policy.ColdRate = bears
	policy.Endpoints[0].ColdUntil = time.Now().Add(time.Hour)
	var voters []cell.HostID
	for n := range hosts {
		voters = append(voters, cell.HostID(string(rune('a'+n))))
	}
	now := time.Now()
	for _, split := range []int{1, 2, 3} { // split is the number of stakes of the first dispatcher; the second one has the rest.
		total := 0
		for _, held := range []int{split, hosts - split} {
			d := admission.New(admission.Config{Cell: "chat"})
			d.Step(now, &dispatch.Voters{Hosts: voters, Total: hosts})
			d.Step(now, &policy)
			for n := range held {
				router := cell.RouterID(voters[n]) + "/1"
				d.Step(now, &dispatch.Join{Router: router, Session: 1, Stake: true, UncountedFor: time.Hour})
				d.Step(now, &dispatch.Renew{Router: router, Session: 1, StakeUntil: now.Add(time.Hour)})
			}
			for attempt := range cell.AttemptID(100) {
				demand := cell.Demand{Attempt: attempt + 1, Team: "kiosks", Prompt: prompt(uint64(attempt), 0, 1), Deadline: now.Add(time.Second)}
				for _, action := range d.Step(now, &dispatch.Want{Router: "a/1", Session: 1, Demands: []cell.Demand{demand}}) {
					if _, ok := action.(*dispatch.GrantTo); ok {
						total++
					}
				}
			}
		}
		is.True(total <= bears)
		is.True(total >= bears-hosts)
	}
}

// BenchmarkAdmission measures the time and the allocations of a request's three steps, with 60 engines.
func BenchmarkAdmission(b *testing.B) {
	names := make([]cell.EndpointID, 60)
	for i := range names {
		names[i] = cell.EndpointID(string(rune('a'+i/26)) + string(rune('a'+i%26)))
	}
	d := admission.New(admission.Config{Cell: "chat"})
	now := time.Now()
	policy := engines(names...)
	d.Step(now, &policy)
	d.Step(now, &dispatch.Join{Router: entryRouter, Session: 1})
	prompts := make([]cell.Prompt, 200)
	for i := range prompts {
		prompts[i] = prompt(uint64(i), 500, 50)
	}
	want := dispatch.Want{Router: entryRouter, Session: 1, Demands: make([]cell.Demand, 1)}
	begun := dispatch.Progressed{Router: entryRouter, Session: 1, Progress: make([]cell.Progress, 1)}
	ended := dispatch.Ended{Router: entryRouter, Ends: make([]cell.End, 1)}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		attempt := cell.AttemptID(i + 1)
		want.Demands[0] = cell.Demand{Attempt: attempt, Team: "kiosks", Estimate: 600, Prompt: prompts[i%200], Deadline: now.Add(time.Second)}
		begun.Progress[0] = cell.Progress{Attempt: attempt, FirstToken: time.Millisecond}
		ended.Ends[0] = cell.End{Attempt: attempt, Outcome: cell.Completed}
		d.Step(now, &want)
		d.Step(now, &begun)
		d.Step(now, &ended)
	}
}

// If all endpoints fail, all are used, since a service that fails for a part of its calls still serves the others.
func TestAllFail(t *testing.T) {
	is := is.New(t)
	policy := dispatch.Policy{Predicted: true}
	for _, name := range []cell.EndpointID{"e1", "e2"} {
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{Endpoint: name, WarmLimit: 6, Start: "s"})
	}
	d := newSimulation(policy)
	for range 100 {
		d.pass(50 * time.Millisecond)
		grant := granted(t, d.ask("kiosks", cell.Prompt{}, 150*time.Millisecond))
		d.outcome[grant.Attempt] = cell.Failed
	}
	is.Equal(len(d.grants), 100)
}

// In an overload the long requests of a class are admitted at least three quarters as often as the others.
func TestLongRequestsAreAdmitted(t *testing.T) {
	is := is.New(t)
	policy := engines("e1", "e2")
	policy.FairRate = 1000 // less than the teams ask for, so that requests exceed the share
	d := newSimulation(policy)
	d.class = "plan"
	asked, admitted := [2]int{}, [2]int{}
	for step := range 2000 {
		d.pass(50 * time.Millisecond)
		for i := range 4 {
			long, tokens := 0, 3000
			if (step+i)%10 == 0 {
				long, tokens = 1, 20_000
			}
			asked[long]++
			if _, ok := first(d.ask("kiosks", prompt(uint64(d.last)+10, 0, tokens), 600*time.Millisecond)).(*dispatch.GrantTo); ok {
				admitted[long]++
			}
		}
	}
	part := func(of int) float64 { return float64(admitted[of]) / float64(asked[of]) }
	t.Logf("admitted %v of %v", admitted, asked)
	is.True(part(0) < 0.95)         // proves that there is an overload
	is.True(part(1) >= part(0)*3/4) // The target is half; three quarters leave a margin for long requests that fail after they were granted.
}

// Tallies reports each team's requests and their outcomes exactly once.
func TestTallies(t *testing.T) {
	is := is.New(t)
	d := newSimulation(engines("e1"))
	for range 20 {
		d.ask("kiosks", prompt(uint64(d.last)+10, 0, 20_000), 600*time.Millisecond)
	}
	tallies := d.Tallies(nil)
	is.Equal(len(tallies), 1)
	tally := tallies[0]
	is.Equal(tally.Team, cell.TeamID("kiosks"))
	is.Equal(tally.Asked, 20)
	is.True(tally.Granted > 0 && tally.RefusedOnArrival > 0)
	is.Equal(tally.Granted+tally.RefusedOnArrival+tally.RefusedAfterWait, tally.Asked)
	is.True(tally.GrantedCost > 0 && tally.GrantedCost < tally.AskedCost)
	is.Equal(tally.Largest*20, tally.AskedCost)
	is.Equal(len(d.Tallies(nil)), 0)
}

// A refusal counts the endpoints by the reason for which they could not take the request.
func TestObstacles(t *testing.T) {
	is := is.New(t)
	policy := engines("e1", "e2")
	policy.Gap = 300 * time.Millisecond
	d := newSimulation(policy)
	var refused *dispatch.RefuseTo
	for refused == nil {
		refused, _ = first(d.ask("kiosks", prompt(uint64(d.last)+10, 0, 20_000), 600*time.Millisecond)).(*dispatch.RefuseTo)
	}
	is.Equal(refused.RefusalDetails.Tokens, 20_000)
	is.Equal(refused.RefusalDetails.Obstacles, dispatch.Obstacles{Time: 2})
}

// Teams alternate. A team with few requests gets all of them served, and teams with many get about equal service,
// whatever service they got before.
func TestTeamsTakeTurns(t *testing.T) {
	is := is.New(t)
	policy := engines("e1", "e2")
	policy.Engine = nil
	for i := range policy.Endpoints {
		policy.Endpoints[i].WarmLimit = 10
	}
	d := newSimulation(policy)
	served := map[cell.TeamID]int{}
	play := func(span time.Duration, teams ...cell.TeamID) {
		for end := d.now.Add(span); d.now.Before(end); {
			d.pass(50 * time.Millisecond)
			for range 8 {
				for _, team := range teams {
					d.ask(team, prompt(1, 0, 500), 300*time.Millisecond)
				}
			}
			d.ask("small", prompt(2, 0, 10), 300*time.Millisecond)
		}
	}
	play(20*time.Second, "early")
	before := len(d.grants)
	play(6*time.Second, "early", "later")
	for _, grant := range d.grants[before:] {
		served[d.teams[grant.Attempt]]++
	}
	t.Logf("served %v", served)
	is.True(served["early"] >= served["later"]/2)
	is.True(served["later"] >= served["early"]/2)
	is.True(served["small"] >= 110) // of 120
}
