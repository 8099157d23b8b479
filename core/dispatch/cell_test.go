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
	longest = time.Minute
	window  = dispatch.DefaultGrantValid + dispatch.DefaultStakeMargin
)

var began = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// bench drives one Dispatcher.
type bench struct {
	*is.I
	d      *dispatch.Dispatcher
	now    time.Time
	hosts  []cell.HostID
	grants []dispatch.GrantTo
	refuse []dispatch.RefuseTo
	next   cell.AttemptID
}

// newBench returns a dispatcher of a cell with the endpoints, in which hosts h0 to hN-1 vote.
func newBench(t testing.TB, voters int, policy dispatch.Policy) *bench {
	b := &bench{I: is.New(t), d: dispatch.New(dispatch.Config{Cell: "cell"}), now: began}
	for i := range voters {
		b.hosts = append(b.hosts, cell.HostID(fmt.Sprint("h", i)))
	}
	b.step(&policy)
	b.step(&dispatch.Voters{Hosts: b.hosts, Total: voters})
	return b
}

// onePool is a policy of one endpoint and teams a, b and c with shares 1, 1 and 2.
func onePool(cold, warm int) dispatch.Policy {
	return dispatch.Policy{
		Teams:      []dispatch.TeamPolicy{{Team: "a", Share: 1}, {Team: "b", Share: 1}, {Team: "c", Share: 2}},
		Endpoints:  []dispatch.EndpointPolicy{{Endpoint: "e", WarmLimit: warm, ColdLimit: cold}},
		QueueLimit: 20, QueueTimeout: 10 * time.Second, LongestRequest: longest, LargestCost: 100, WarmUpRequests: 4,
	}
}

func (b *bench) step(ev dispatch.Event) {
	for _, action := range b.d.Step(b.now, ev) {
		switch action := action.(type) {
		case *dispatch.GrantTo:
			b.grants = append(b.grants, *action)
		case *dispatch.RefuseTo:
			b.refuse = append(b.refuse, *action)
		}
	}
}

func (b *bench) wait(d time.Duration) {
	b.now = b.now.Add(d)
	b.step(&dispatch.Tick{})
}

func router(i int) cell.RouterID { return cell.RouterID(fmt.Sprintf("h%d/1", i)) }

// join lends the stake of host i for an hour, with so many flights at endpoint e.
func (b *bench) join(i, flights int) {
	var list []cell.Flight
	for range flights {
		b.next++
		list = append(list, cell.Flight{Attempt: b.next, Team: "a", Endpoint: "e", Start: "s1", Charged: 10})
	}
	b.step(&dispatch.Join{Router: router(i), Session: 1, Stake: true, Flights: list})
	b.step(&dispatch.Renew{Router: router(i), Session: 1, StakeUntil: b.now.Add(time.Hour)})
}

func (b *bench) joinAll() {
	for i := range b.hosts {
		b.join(i, 0)
	}
}

// load reports so many in flight at endpoint e.
func (b *bench) load(inFlight int, sampled time.Time, cold bool, completed int) {
	b.step(&dispatch.Load{Endpoint: "e", Start: "s1", Cold: cold, InFlight: inFlight, Sampled: sampled, Completed: completed})
}

// want asks for n grants of a team at router i.
func (b *bench) want(i int, team cell.TeamID, n int) {
	var demands []cell.Demand
	for range n {
		b.next++
		demands = append(demands, cell.Demand{Attempt: b.next, Team: team, Estimate: 10})
	}
	b.step(&dispatch.Want{Router: router(i), Session: 1, Demands: demands})
}

func (b *bench) end(grant dispatch.GrantTo, outcome cell.Outcome, cost cell.Cost) {
	b.step(&dispatch.Ended{Router: grant.Router, Ends: []cell.End{{Attempt: grant.Grant.Attempt, Outcome: outcome, Cost: cost}}})
}

// refused asserts the codes of all refusals so far.
func (b *bench) refused(codes ...result.Code) {
	b.Helper()
	var got []result.Code
	for _, refusal := range b.refuse {
		got = append(got, refusal.Code)
		b.True(refusal.RetryAfter > 0)
	}
	b.Equal(got, codes)
}
