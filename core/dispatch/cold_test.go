package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fault describes a fault for injectFault: its kind, two parameters and the time to the next one.
type fault struct {
	kind  int
	a, b  int
	pause time.Duration // pause is the simulated time between this fault and the next one.
}

const faultKinds = 9

// injectFault makes one fault occur now.
func (sim *simulation) injectFault(f fault) {
	a, b := f.a%len(sim.nodes), f.b%len(sim.nodes)
	switch f.kind {
	case 0: // All frames from host a to host b are lost.
		sim.cutDirections[[2]int{a, b}] = true
	case 1: // The network is partitioned into two groups of hosts.
		for i := range sim.nodes {
			for j := range sim.nodes {
				sim.cutDirections[[2]int{i, j}] = (i < a) != (j < a)
			}
		}
	case 2: // All directions work again.
		clear(sim.cutDirections)
	case 3: // A process is paused.
		sim.nodes[a].pausedUntil = sim.now.Add(time.Duration(f.b) * 100 * time.Millisecond)
	case 4: // A process dies and is replaced by a new one without state.
		sim.startRouter(a, sim.queue.Added())
	case 5: // The endpoint restarts and its running requests fail.
		sim.engine.restart()
	case 6: // A router changes the order in which it prefers dispatchers.
		sim.shuffleDispatchers(sim.nodes[a])
	case 7: // A dispatcher gets another total of stakes, as when its view of the members changes.
		sim.nodes[a].setVoters(len(sim.nodes) + f.b%3)
	case 8: // The endpoint turns cold without a restart; running requests continue.
		sim.engine.turnCold()
	}
}

func drawFaults(t *rapid.T) []fault {
	one := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind: rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
			a:    rapid.IntRange(0, 9).Draw(t, "a"), b: rapid.IntRange(0, 29).Draw(t, "b"),
			pause: time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 1, 12).Draw(t, "faults")
}

// Random faults must never make a cold endpoint run more requests than its cold limit.
// After the faults end, at least 80% of the warm limit must be in use again; the rest
// is the time between the end of a request and the arrival of the next one.
func TestColdLimitHolds(t *testing.T) {
	served := 0
	rapid.Check(t, func(rt *rapid.T) {
		cold := rapid.IntRange(1, 7).Draw(rt, "cold limit")
		sim := newSimulation(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 5).Draw(rt, "hosts"), cold)
		sim.run(5 * time.Second)
		for _, f := range drawFaults(rt) {
			sim.injectFault(f)
			sim.run(f.pause)
		}
		sim.run(5 * time.Second)
		if sim.engine.maxColdInFlight > cold {
			rt.Fatalf("%d requests in flight at a cold endpoint, cold limit %d", sim.engine.maxColdInFlight, cold)
		}
		sim.endFaults()
		sim.run(30 * time.Second)
		if utilisation := sim.utilisation(10 * time.Second); utilisation < 0.8 {
			rt.Fatalf("fraction of the warm limit in use: %.2f", utilisation)
		}
		served += sim.engine.served
	})
	t.Logf("%d requests served", served)
}

// If the limit is split evenly among routers, the only busy router uses just its own part. If the routers lend their
// stakes to one dispatcher, the busy router can use the whole limit.
func TestFixedSplitIdles(t *testing.T) {
	use := func(fixedSplit bool) float64 {
		sim := newSimulation(1, 5, 6, func(sim *simulation) { sim.fixedSplit, sim.firstRouterOnly, sim.faultsEnded = fixedSplit, true, true })
		sim.run(30 * time.Second)
		return sim.utilisation(30 * time.Second)
	}
	is := is.New(t)
	stakes, fixedSplit := use(false), use(true)
	t.Logf("fraction of the warm limit in use: %.2f with stakes, %.2f with a fixed split", stakes, fixedSplit)
	is.True(stakes > 0.8)
	is.True(fixedSplit < 0.3)
}
