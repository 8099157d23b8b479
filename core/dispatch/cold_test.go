package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fault is a fault that is injected into a world.
type fault struct {
	kind  int
	a, b  int
	pause time.Duration // pause is the time to the next fault.
}

const faultKinds = 9

// inject lets one fault happen.
func (w *world) inject(f fault) {
	a, b := f.a%len(w.nodes), f.b%len(w.nodes)
	switch f.kind {
	case 0: // One direction is cut.
		w.cut[[2]int{a, b}] = true
	case 1: // The fleet falls in two.
		for i := range w.nodes {
			for j := range w.nodes {
				w.cut[[2]int{i, j}] = (i < a) != (j < a)
			}
		}
	case 2: // All heals.
		clear(w.cut)
	case 3: // A process freezes.
		w.nodes[a].frozen = w.now.Add(time.Duration(f.b) * 100 * time.Millisecond)
	case 4: // A process dies, and an empty one takes its place.
		w.boot(a, w.queue.Added())
	case 5: // The endpoint restarts.
		w.engine.restart()
	case 6: // A router prefers other dispatchers.
		w.prefer(w.nodes[a])
	case 7: // A dispatcher sees more members, or again fewer.
		w.nodes[a].vote(len(w.nodes) + f.b%3)
	case 8: // The endpoint turns cold and goes on with what it runs.
		w.engine.turnCold()
	}
}

func faults(t *rapid.T) []fault {
	one := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind: rapid.IntRange(0, faultKinds-1).Draw(t, "kind"),
			a:    rapid.IntRange(0, 9).Draw(t, "a"), b: rapid.IntRange(0, 29).Draw(t, "b"),
			pause: time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 1, 12).Draw(t, "faults")
}

// Whatever fails, a cold endpoint runs no more than its cold limit; when all is
// well again, the warm limit is in use but for the way from one request to the next.
func TestColdLimitHolds(t *testing.T) {
	served := 0
	rapid.Check(t, func(rt *rapid.T) {
		cold := rapid.IntRange(1, 7).Draw(rt, "cold limit")
		w := newWorld(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 5).Draw(rt, "hosts"), cold)
		w.run(5 * time.Second)
		for _, f := range faults(rt) {
			w.inject(f)
			w.run(f.pause)
		}
		w.run(5 * time.Second)
		if w.engine.worst > cold {
			rt.Fatalf("%d in flight at a cold endpoint that bears %d", w.engine.worst, cold)
		}
		w.heal()
		w.run(30 * time.Second)
		if used := w.used(10 * time.Second); used < 0.8 {
			rt.Fatalf("%.2f of the warm limit is used", used)
		}
		served += w.engine.served
	})
	t.Logf("%d requests served", served)
}

// With a fixed split a busy router uses its own part alone; with stakes it uses the whole limit.
func TestFixedSplitIdles(t *testing.T) {
	use := func(split bool) float64 {
		w := newWorld(1, 5, 6, func(w *world) { w.split, w.onlyFirst, w.healthy = split, true, true })
		w.run(30 * time.Second)
		return w.used(30 * time.Second)
	}
	is := is.New(t)
	stakes, split := use(false), use(true)
	t.Logf("in use: %.2f with stakes, %.2f with a fixed split", stakes, split)
	is.True(stakes > 0.8)
	is.True(split < 0.3)
}
