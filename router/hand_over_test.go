package router_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"ryelug/standin/fleet"
	"ryelug/standin/fleettest"
)

// coldPause kills the dispatcher of a loaded fleet of cold engines and returns the time from
// then until a request that waited gets its first token.
func coldPause(t *testing.T, seed uint64, tokenGap time.Duration) (pause time.Duration) {
	conf := fleet.Config{Routers: 5, Engines: 4, Seed: seed}
	conf.Delay = func(netip.Addr, netip.Addr) time.Duration { return time.Millisecond }
	conf.Engine.Cold, conf.Engine.WarmUp = true, 100_000
	conf.Engine.TokenGap = tokenGap
	fleettest.Run(t, conf, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		rng := rand.New(rand.NewPCG(seed, 5))
		run := fl.Drive(ctx, fleet.Load{Team: "kiosks", Callers: 30, Tokens: 20}, fleet.Load{Team: "schools", Callers: 30, Tokens: 20})
		time.Sleep(6*time.Second + time.Duration(rng.Int64N(int64(time.Second))))
		dispatcher := fl.Dispatcher(ctx, fleet.EnginePool)
		killed := time.Now()
		dispatcher.Kill()
		time.Sleep(6 * time.Second)
		pause = firstAfter(run.Stop(), killed)
		fleettest.AssertNoExcess(t, fl)
	})
	return pause
}

// onTheWay is the time in which a grant that was made before a kill brings its first token.
const onTheWay = 100 * time.Millisecond

// firstAfter returns the time from a kill to the first token of a request that had no grant then.
func firstAfter(replies []*fleet.Reply, killed time.Time) time.Duration {
	first := time.Hour
	for _, r := range replies {
		if began := r.Sent.Add(r.First).Sub(killed); r.Whole() && began > onTheWay {
			first = min(first, began)
		}
	}
	return first
}

// A cell of cold engines gets its first grant within 2 s of the death of its dispatcher.
func TestColdHandOver(t *testing.T) {
	for _, tokenGap := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("token gap %v, seed %d", tokenGap, seed), func(t *testing.T) {
				pause := coldPause(t, seed, tokenGap)
				t.Logf("first grant after %v", pause)
				if pause >= fleettest.HandOver {
					t.Errorf("the first grant came %v after the dispatcher's death", pause)
				}
			})
		}
	}
}

// The stakes of an idle fleet stay counted over ways of 100 ms: a dispatcher hears the echo
// of its stamp after two heartbeats and two ways at most, which is less than the lease.
func TestIdleStakesStayCounted(t *testing.T) {
	conf := fleet.Config{Routers: 5, Engines: 1}
	conf.Delay = func(netip.Addr, netip.Addr) time.Duration { return 100 * time.Millisecond }
	fleettest.Run(t, conf, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		time.Sleep(5 * time.Second)
		dispatcher := fl.Dispatcher(ctx, fleet.EnginePool)
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(17 * time.Millisecond) {
			view, _ := dispatcher.Router().View(ctx)
			for _, shot := range view.Cells {
				if shot.Held != conf.Routers {
					t.Fatalf("%d of %d stakes are counted", shot.Held, conf.Routers)
				}
			}
		}
	})
}
