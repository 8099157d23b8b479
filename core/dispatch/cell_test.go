package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/result"
)

const (
	longestRequest = time.Minute
	arrivalWindow  = dispatch.DefaultGrantValid + dispatch.DefaultStakeMargin
)

var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// harness drives one Dispatcher and collects its grants and refusals.
type harness struct {
	*is.I
	d           *dispatch.Dispatcher
	now         time.Time
	hosts       []cell.HostID
	grants      []dispatch.GrantTo
	refusals    []dispatch.RefuseTo
	lastAttempt cell.AttemptID
}

// newHarness returns a harness with the policy, in which the hosts h0, h1, ... are the voters.
func newHarness(t testing.TB, voters int, policy dispatch.Policy) *harness {
	h := &harness{I: is.New(t), d: dispatch.New(dispatch.Config{Cell: "cell"}), now: startTime}
	for i := range voters {
		h.hosts = append(h.hosts, cell.HostID(fmt.Sprint("h", i)))
	}
	h.step(&policy)
	h.step(&dispatch.Voters{Hosts: h.hosts, Total: voters})
	return h
}

// testPolicy returns a policy with one endpoint, e, and the teams a, b and c with shares 1, 1 and 2.
func testPolicy(cold, warm int) dispatch.Policy {
	return dispatch.Policy{
		Teams:      []dispatch.TeamPolicy{{Team: "a", Share: 1}, {Team: "b", Share: 1}, {Team: "c", Share: 2}},
		Endpoints:  []dispatch.EndpointPolicy{{Endpoint: "e", WarmLimit: warm, ColdLimit: cold}},
		QueueLimit: 20, QueueTimeout: 10 * time.Second, LongestRequest: longestRequest, LargestCost: 100, WarmUpRequests: 4,
	}
}

func (h *harness) step(ev dispatch.Event) {
	for _, action := range h.d.Step(h.now, ev) {
		switch action := action.(type) {
		case *dispatch.GrantTo:
			h.grants = append(h.grants, *action)
		case *dispatch.RefuseTo:
			h.refusals = append(h.refusals, *action)
		}
	}
}

func (h *harness) wait(d time.Duration) {
	h.now = h.now.Add(d)
	h.step(&dispatch.Tick{})
}

func router(i int) cell.RouterID { return cell.RouterID(fmt.Sprintf("h%d/1", i)) }

// join lends the stake of host i for an hour and brings the given number of flights at endpoint e.
func (h *harness) join(i, flights int) {
	var list []cell.Flight
	for range flights {
		h.lastAttempt++
		list = append(list, cell.Flight{Attempt: h.lastAttempt, Team: "a", Endpoint: "e", Start: "s1", Charged: 10})
	}
	h.step(&dispatch.Join{Router: router(i), Session: 1, Stake: true, Flights: list})
	h.step(&dispatch.Renew{Router: router(i), Session: 1, StakeUntil: h.now.Add(time.Hour)})
}

func (h *harness) joinAll() {
	for i := range h.hosts {
		h.join(i, 0)
	}
}

// load delivers a load report of endpoint e.
func (h *harness) load(inFlight int, sampled time.Time, cold bool, completed int) {
	h.step(&dispatch.Load{Endpoint: "e", Start: "s1", Cold: cold, InFlight: inFlight, Sampled: sampled, Completed: completed})
}

// want asks for n grants for a team from router i.
func (h *harness) want(i int, team cell.TeamID, n int) {
	var demands []cell.Demand
	for range n {
		h.lastAttempt++
		demands = append(demands, cell.Demand{Attempt: h.lastAttempt, Team: team, Estimate: 10})
	}
	h.step(&dispatch.Want{Router: router(i), Session: 1, Demands: demands})
}

func (h *harness) end(grant dispatch.GrantTo, outcome cell.Outcome, cost cell.Cost) {
	h.step(&dispatch.Ended{Router: grant.Router, Ends: []cell.End{{Attempt: grant.Grant.Attempt, Outcome: outcome, Cost: cost}}})
}

// refused asserts the result codes of all refusals so far, and that each has a retry delay.
func (h *harness) refused(codes ...result.Code) {
	h.Helper()
	var got []result.Code
	for _, refusal := range h.refusals {
		got = append(got, refusal.Code)
		h.True(refusal.RetryAfter > 0)
	}
	h.Equal(got, codes)
}
