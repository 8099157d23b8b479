package router_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"ryelug/standin/fleet"
	"ryelug/standin/trial"
)

// coldHandOverTime kills the dispatcher of a loaded fleet whose engines are cold, and returns the time from the
// kill to the first token of a request that had no grant at that time.
func coldHandOverTime(t *testing.T, seed uint64, tokenGap time.Duration) (pause time.Duration) {
	conf := fleet.Config{Routers: 5, Engines: 4, Seed: seed}
	conf.Delay = func(netip.Addr, netip.Addr) time.Duration { return time.Millisecond }
	conf.Engine.Cold, conf.Engine.WarmUp = true, 100_000
	conf.Engine.TokenGap = tokenGap
	withTestFleet(t, conf, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		rng := rand.New(rand.NewPCG(seed, 5))
		run := fl.Drive(ctx, fleet.Load{Team: "kiosks", Callers: 30, Tokens: 20}, fleet.Load{Team: "schools", Callers: 30, Tokens: 20})
		time.Sleep(6*time.Second + time.Duration(rng.Int64N(int64(time.Second))))
		dispatcher := fl.Dispatcher(ctx, fleet.EnginePool)
		killed := time.Now()
		dispatcher.Kill()
		time.Sleep(6 * time.Second)
		pause = timeToFirstGrant(run.Stop(), killed)
		assertNoExcess(t, fl)
	})
	return pause
}

// inFlightGrace is how long after a kill first tokens can still belong to grants made before it.
const inFlightGrace = 100 * time.Millisecond

// timeToFirstGrant returns the time from a kill to the first token of a request that was granted after it, or an
// hour if there is none.
func timeToFirstGrant(replies []*fleet.Reply, killed time.Time) time.Duration {
	first := time.Hour
	for _, r := range replies {
		if began := r.Sent.Add(r.First).Sub(killed); r.Whole() && began > inFlightGrace {
			first = min(first, began)
		}
	}
	return first
}

// When the dispatcher of a cell with cold engines dies, the next one grants a request within 2 s.
func TestColdHandOver(t *testing.T) {
	for _, tokenGap := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("token gap %v, seed %d", tokenGap, seed), func(t *testing.T) {
				pause := coldHandOverTime(t, seed, tokenGap)
				t.Logf("first grant after %v", pause)
				if pause >= trial.HandOver {
					t.Errorf("the first grant came %v after the dispatcher's death", pause)
				}
			})
		}
	}
}

// In an idle fleet with a one-way delay of 100 ms, a dispatcher keeps counting the stakes of all entries: the echo
// that renews a stake takes at most two heartbeats and two one-way delays, which is less than the stake lease.
func TestIdleStakesStayCounted(t *testing.T) {
	conf := fleet.Config{Routers: 5, Engines: 1}
	conf.Delay = func(netip.Addr, netip.Addr) time.Duration { return 100 * time.Millisecond }
	withTestFleet(t, conf, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		time.Sleep(5 * time.Second)
		dispatcher := fl.Dispatcher(ctx, fleet.EnginePool)
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(17 * time.Millisecond) {
			view, _ := dispatcher.Router().View(ctx)
			for _, snapshot := range view.Cells {
				if snapshot.Held != conf.Routers {
					t.Fatalf("%d of %d stakes are counted", snapshot.Held, conf.Routers)
				}
			}
		}
	})
}
