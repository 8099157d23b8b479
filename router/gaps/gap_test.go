package gaps_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/core/fair"
	"ryelug/core/member"
	"ryelug/standin/bubble"
	"ryelug/standin/fleet"
	"ryelug/standin/trial"
)

// Sizes and times of the fleets in these tests.
const (
	routers   = 5
	engines   = 4                     // engines is the number of endpoints; each is a simulated inference engine.
	warmLimit = 8                     // warmLimit is the number of requests that one engine serves at a time.
	slots     = engines * warmLimit   // slots is the number of requests that all engines serve at a time.
	tokens    = 20                    // tokens is the number of tokens that each request generates.
	cost      = tokens + 4            // cost is the cost of one request: its tokens and 4 for its prompt.
	callers   = 120                   // callers is the number of callers that keep a team backlogged whatever capacity it is granted.
	tokenGap  = 10 * time.Millisecond // tokenGap is the time that an engine takes for one token.
	delay     = time.Millisecond      // delay is the one-way delay between any two hosts.

	// turnaround is the number of one-way delays by which the time from the grant of a request to its first
	// token can be longer for one request than for another: one for the grant to the router that received the
	// request, two for a connection, two for a load report, one for the request and one for the token.
	turnaround = 1 + 2 + 2 + 1 + 1

	settleTime = 2 * time.Second                    // settleTime is enough for the routers to learn the costs of all teams' requests.
	stableAge  = member.DefaultDamping + settleTime // stableAge is the age of routers from which on their roles as dispatchers change only because of faults.
)

// withTestFleet runs body in virtual time with a simulated fleet of routers and endpoints that is ready to serve.
func withTestFleet(t *testing.T, conf fleet.Config, body func(ctx context.Context, t *testing.T, fl *fleet.Fleet)) {
	t.Helper()
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl, err := fleet.StartReady(t.Context(), conf)
		is.NoErr(err)
		defer func() { is.NoErr(fl.Close()) }()
		body(t.Context(), t, fl)
	})
}

// equalCostFleet returns a fleet with three teams in which no request costs more than cost.
func equalCostFleet(seed uint64) fleet.Config {
	conf := fleet.Config{Routers: routers, Engines: engines, Seed: seed}
	conf.Teams = []config.Team{{Name: "kiosks", Share: 4}, {Name: "schools", Share: 1}, {Name: "clinics", Share: 1}}
	conf.Delay = func(netip.Addr, netip.Addr) time.Duration { return delay }
	conf.LargestCost, conf.QueueLimit = cost, 4*callers
	conf.Engine.WarmLimit, conf.Engine.TokenGap = warmLimit, tokenGap
	return conf
}

// equalCosts returns the values from which the gap between two teams is bounded if every
// request generates the same number of tokens. Prompts cost the same too but don't count as service.
func equalCosts() fair.EqualCosts {
	return fair.EqualCosts{
		Cost: cell.Cost(tokens), Slots: slots, Teams: 3, Shares: 6,
		Jitter: float64(turnaround*delay) / float64(tokenGap),
	}
}

// gap returns the gap in service between two teams: the largest change, over any interval
// between from and to, of the difference between the tokens that they got, each divided by
// the team's share.
func gap(replies []*fleet.Reply, from, to time.Time, a, b config.Team) float64 {
	served := make(map[time.Time]float64)
	for _, reply := range replies {
		weight := 0.0
		switch reply.Team {
		case a.Name:
			weight = 1 / float64(a.Share)
		case b.Name:
			weight = -1 / float64(b.Share)
		}
		for token := range reply.Tokens {
			served[reply.Sent.Add(reply.First+time.Duration(token)*tokenGap)] += weight
		}
	}
	times := make([]time.Time, 0, len(served))
	for at := range served {
		if at.After(from) && at.Before(to) {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	lead, least, most := 0.0, 0.0, 0.0
	for _, at := range times {
		lead += served[at]
		least, most = min(least, lead), max(most, lead)
	}
	return most - least
}

// assertGaps checks that the gap between each pair of teams does not exceed its bound.
func assertGaps(t *testing.T, replies []*fleet.Reply, from, to time.Time, teams []config.Team, bound func(a, b config.Team) float64) {
	t.Helper()
	for i, a := range teams {
		for _, b := range teams[:i] {
			measured, limit := gap(replies, from, to, a, b), bound(a, b)
			t.Logf("%s and %s: gap %.1f, bound %.1f", a.Name, b.Name, measured, limit)
			if measured > limit {
				t.Errorf("%s and %s: the gap is %.1f, over its bound of %.1f", a.Name, b.Name, measured, limit)
			}
		}
	}
}

// While all requests cost the same and their cost is known, the gap between two teams must not
// exceed about one request of each. This holds also for a team that was idle before.
func TestEqualRequests(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withTestFleet(t, equalCostFleet(seed), func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
				run := fl.Drive(ctx, fleet.Load{Team: "kiosks", Callers: 60, Tokens: tokens}, fleet.Load{Team: "schools", Callers: 30, Tokens: tokens})
				time.Sleep(stableAge)
				bothFrom := time.Now()
				time.Sleep(5 * time.Second)
				returning := fl.Drive(ctx, fleet.Load{Team: "clinics", Callers: 30, Tokens: tokens})
				time.Sleep(settleTime)
				allFrom := time.Now()
				time.Sleep(10 * time.Second)
				end := time.Now()
				replies := append(run.Stop(), returning.Stop()...)
				bound := func(a, b config.Team) float64 { return equalCosts().GapBound(a.Share, b.Share) }
				assertGaps(t, replies, bothFrom, end, fl.Document.Teams[:2], bound)
				assertGaps(t, replies, allFrom, end, fl.Document.Teams, bound)
			})
		})
	}
}

// healedBound returns the bound of the gap between two teams from the moment when a partition
// heals. The teams are backlogged in both parts, or in the part whose dispatcher keeps its role.
// docs/DESIGN.md derives the bound.
func healedBound(a, b config.Team) float64 {
	const (
		leastShare = 1
		handOver   = 2 * time.Second                                           // handOver is the longest time of a hand-over between dispatchers, during which the other part still serves requests.
		rate       = float64(slots) * float64(time.Second) / float64(tokenGap) // rate is the number of tokens that all engines generate in a second.
		shares     = 5                                                         // shares is the sum of the shares of the teams that are backlogged in the other part.
	)
	inFlight := 2 * slots * tokens / float64(min(a.Share, b.Share))
	return equalCosts().GapBound(a.Share, b.Share) + fair.CounterSpread(tokens, slots, leastShare) + inFlight + handOver.Seconds()*rate/shares
}

// A partitioned fleet serves the teams unequally in its two parts for a long time. After the
// partition heals, a team must not get less service because it got more in one part than in
// the other: the gap from then on stays within healedBound.
func TestHealedHalves(t *testing.T) {
	withTestFleet(t, equalCostFleet(7), func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		minority, majority := trial.Halves(ctx, fl)
		run := fl.Drive(ctx,
			fleet.Load{Team: "kiosks", Callers: 60, Tokens: tokens, Routers: minority}, fleet.Load{Team: "kiosks", Callers: 60, Tokens: tokens, Routers: majority},
			fleet.Load{Team: "schools", Callers: 30, Tokens: tokens, Routers: minority}, fleet.Load{Team: "schools", Callers: 30, Tokens: tokens, Routers: majority},
			fleet.Load{Team: "clinics", Callers: callers, Tokens: tokens, Routers: minority})
		time.Sleep(stableAge)
		trial.EachPair(fl, minority, majority, fl.Network.Cut)
		time.Sleep(settleTime)
		partitioned := time.Now()
		time.Sleep(40 * time.Second)
		healed := time.Now()
		before := fl.Dispatcher(ctx, fleet.EnginePool)
		trial.EachPair(fl, minority, majority, fl.Network.Heal)
		time.Sleep(15 * time.Second)
		end := time.Now()
		if now := fl.Dispatcher(ctx, fleet.EnginePool); now == before || now != fl.Routers[minority[0]] {
			t.Errorf("the dispatcher was %s before the partition healed and is %s now", before.Host, now.Host)
		}
		replies := run.Stop()
		drift := gap(replies, partitioned, healed, fl.Document.Teams[0], fl.Document.Teams[2])
		t.Logf("gap of kiosks and clinics during the partition: %.0f", drift)
		for i, a := range fl.Document.Teams {
			for _, b := range fl.Document.Teams[:i] {
				if drift < 1.2*healedBound(a, b) {
					t.Errorf("the gap during the partition is too small to test the bound of %.0f", healedBound(a, b))
				}
			}
		}
		assertGaps(t, replies, healed, end, fl.Document.Teams, healedBound)
	})
}
