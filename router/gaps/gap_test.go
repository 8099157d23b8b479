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

// What the fleets of these tests are made of.
const (
	routers   = 5
	engines   = 4
	warmLimit = 8
	slots     = engines * warmLimit
	tokens    = 20
	cost      = tokens + 4 // cost is that of the tokens and the prompt.
	callers   = 120        // callers keep a team backlogged, whatever it is granted.
	tokenGap  = 10 * time.Millisecond
	delay     = time.Millisecond

	// turnaround is the number of one-way delays by which a request can take longer from its grant to
	// its first token: grant to the entry, connection, load report, request and token.
	turnaround = 1 + 2 + 2 + 1 + 1

	settle = 2 * time.Second                // settle lets all costs become known.
	age    = member.DefaultDamping + settle // age is that of routers among which no cell moves by itself.
)

// withTestFleet runs body in virtual time with a fleet that is ready to serve.
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

func equalFleet(seed uint64) fleet.Config {
	conf := fleet.Config{Routers: routers, Engines: engines, Seed: seed}
	conf.Teams = []config.Team{{Name: "kiosks", Share: 4}, {Name: "schools", Share: 1}, {Name: "clinics", Share: 1}}
	conf.Delay = func(netip.Addr, netip.Addr) time.Duration { return delay }
	conf.LargestCost, conf.QueueLimit = cost, 4*callers
	conf.Engine.WarmLimit, conf.Engine.TokenGap = warmLimit, tokenGap
	return conf
}

// equal is the bound for requests of so many tokens; their prompts cost the same and are no service.
func equal() fair.EqualCosts {
	return fair.EqualCosts{
		Cost: cell.Cost(tokens), Slots: slots, Teams: 3, Shares: 6,
		Jitter: float64(turnaround*delay) / float64(tokenGap),
	}
}

// gap returns the largest difference over any interval between two times of the
// tokens that two teams got, divided by their shares.
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
	ahead, least, most := 0.0, 0.0, 0.0
	for _, at := range times {
		ahead += served[at]
		least, most = min(least, ahead), max(most, ahead)
	}
	return most - least
}

// assertGaps checks the gap of each pair of teams.
func assertGaps(t *testing.T, replies []*fleet.Reply, from, to time.Time, teams []config.Team, bound func(a, b config.Team) float64) {
	t.Helper()
	for i, a := range teams {
		for _, b := range teams[:i] {
			seen, limit := gap(replies, from, to, a, b), bound(a, b)
			t.Logf("%s and %s: gap %.1f, bound %.1f", a.Name, b.Name, seen, limit)
			if seen > limit {
				t.Errorf("%s and %s: the gap is %.1f, over its bound of %.1f", a.Name, b.Name, seen, limit)
			}
		}
	}
}

// Equal requests whose cost is known keep the gap within one request of each
// team, also for a team that returns from idleness.
func TestEqualRequests(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withTestFleet(t, equalFleet(seed), func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
				run := fl.Drive(ctx, fleet.Load{Team: "kiosks", Callers: 60, Tokens: tokens}, fleet.Load{Team: "schools", Callers: 30, Tokens: tokens})
				time.Sleep(age)
				first := time.Now()
				time.Sleep(5 * time.Second)
				returns := fl.Drive(ctx, fleet.Load{Team: "clinics", Callers: 30, Tokens: tokens})
				time.Sleep(settle)
				second := time.Now()
				time.Sleep(10 * time.Second)
				end := time.Now()
				replies := append(run.Stop(), returns.Stop()...)
				bound := func(a, b config.Team) float64 { return equal().GapBound(a.Share, b.Share) }
				assertGaps(t, replies, first, end, fl.Document.Teams[:2], bound)
				assertGaps(t, replies, second, end, fl.Document.Teams, bound)
			})
		})
	}
}

// healedBound is the bound of the gap from the moment when a partition heals, with
// teams backlogged in both halves or in that of the dispatcher that stays. docs/DESIGN.md derives it.
func healedBound(a, b config.Team) float64 {
	const (
		leastShare = 1
		handOver   = 2 * time.Second // the limit of a hand-over, in which the other half goes on
		rate       = float64(slots) * float64(time.Second) / float64(tokenGap)
		shares     = 5 // the shares of the teams in the other half
	)
	inFlight := 2 * slots * tokens / float64(min(a.Share, b.Share))
	return equal().GapBound(a.Share, b.Share) + fair.Spread(tokens, slots, leastShare) + inFlight + handOver.Seconds()*rate/shares
}

// Two halves serve at different paces for long. When they heal, what one served
// beyond the other is forgiven, and no team pays for it.
func TestHealedHalves(t *testing.T) {
	withTestFleet(t, equalFleet(7), func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		minor, major := trial.Halves(ctx, fl)
		run := fl.Drive(ctx,
			fleet.Load{Team: "kiosks", Callers: 60, Tokens: tokens, Routers: minor}, fleet.Load{Team: "kiosks", Callers: 60, Tokens: tokens, Routers: major},
			fleet.Load{Team: "schools", Callers: 30, Tokens: tokens, Routers: minor}, fleet.Load{Team: "schools", Callers: 30, Tokens: tokens, Routers: major},
			fleet.Load{Team: "clinics", Callers: callers, Tokens: tokens, Routers: minor})
		time.Sleep(age)
		trial.EachPair(fl, minor, major, fl.Network.Cut)
		time.Sleep(settle)
		parted := time.Now()
		time.Sleep(40 * time.Second)
		healed := time.Now()
		before := fl.Dispatcher(ctx, fleet.EnginePool)
		trial.EachPair(fl, minor, major, fl.Network.Heal)
		time.Sleep(15 * time.Second)
		end := time.Now()
		if now := fl.Dispatcher(ctx, fleet.EnginePool); now == before || now != fl.Routers[minor[0]] {
			t.Errorf("the dispatcher was %s before the partition healed and is %s now", before.Host, now.Host)
		}
		replies := run.Stop()
		drift := gap(replies, parted, healed, fl.Document.Teams[0], fl.Document.Teams[2])
		t.Logf("kiosks and clinics while parted: %.0f", drift)
		for i, a := range fl.Document.Teams {
			for _, b := range fl.Document.Teams[:i] {
				if drift < 1.2*healedBound(a, b) {
					t.Errorf("the halves drift apart by too little for the bound of %.0f to tell", healedBound(a, b))
				}
			}
		}
		assertGaps(t, replies, healed, end, fl.Document.Teams, healedBound)
	})
}
