package lend_test

import (
	"flag"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryelug/core/lend"
)

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// operation is a fault or a round of ordinary work that the property test applies.
type operation int

const (
	noFault operation = iota
	cutLink
	freeze
	restart
	reorder
	leave
	work
	faultCount
)

// run applies operations to three simulated routers, with random delays drawn from the seed.
func run(seed uint64, conf lend.Config, faults []operation) *cluster {
	w := newCluster(seed, conf, "a", "b", "c")
	for _, f := range faults {
		w.apply(f)
		w.connect(0.5)
		w.advance(w.randomUpTo(300 * time.Millisecond))
	}
	return w
}

func (w *cluster) apply(f operation) {
	p := w.routers[w.rng.IntN(len(w.routers))]
	switch f {
	case cutLink:
		if len(w.links) > 0 {
			w.links[w.rng.IntN(len(w.links))].cut = true
		}
	case freeze:
		p.frozenUntil = w.now + w.randomUpTo(4*time.Second)
	case restart:
		p.restart()
	case reorder:
		for _, p := range w.routers {
			p.reorder()
		}
	case leave:
		for _, l := range w.links {
			if l.ends[1] == p && l.open[1] {
				l.send(1, frame{body: leaving{}})
			}
		}
	default:
		w.issueAndEnd()
	}
}

func (w *cluster) issueAndEnd() {
	for _, p := range w.routers {
		if w.now < p.frozenUntil {
			continue
		}
		p.want()
		p.end()
		p.grant()
	}
}

// connect dials each missing link between routers that aren't frozen, with the given probability.
func (w *cluster) connect(likelihood float64) {
	for _, from := range w.routers {
		for _, to := range w.routers {
			if from != to && w.now >= from.frozenUntil && w.now >= to.frozenUntil && w.rng.Float64() < likelihood {
				w.dial(from, to)
			}
		}
	}
}

// heal lets the system recover: all links work and are fast, no router is frozen and no new grants are made.
func (w *cluster) heal() {
	w.delay = time.Millisecond
	for _, p := range w.routers {
		p.frozenUntil = 0
	}
	for range 30 {
		w.connect(1)
		w.advance(100 * time.Millisecond)
	}
}

// checkHealed verifies that exactly one dispatcher counts each entry's stake and knows exactly its demands and its
// running attempts, and that no dispatcher counts an attempt that has ended.
func (w *cluster) checkHealed() {
	for _, entry := range w.routers {
		holders := 0
		for _, d := range w.routers {
			s := d.sessions[entry.host]
			if s == nil || s.router != entry.router {
				continue
			}
			for a := range s.flights {
				if !entry.running[a] {
					w.fail("%s counts attempt %d of %s, which has ended", d.router, a, entry.router)
				}
			}
			if !d.countsStake(entry.host) {
				continue
			}
			holders++
			if !reflect.DeepEqual(s.flights, entry.running) || !reflect.DeepEqual(s.demands, entry.waiting) {
				w.fail("%s has flights %v and demands %v of %s, which has %v and %v",
					d.router, s.flights, s.demands, entry.router, entry.running, entry.waiting)
			}
		}
		if holders != 1 {
			w.fail("%d dispatchers count the stake of %s, want 1", holders, entry.host)
		}
	}
}

func TestStakeIsNeverLentTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		ops := rapid.SliceOfN(rapid.IntRange(0, int(faultCount)+4), 20, 80).Draw(t, "faults")
		faults := make([]operation, len(ops))
		for i, op := range ops {
			faults[i] = min(operation(op), work) // ordinary work is five times as frequent as each fault
		}
		w := run(seed, lend.Config{}, faults)
		w.heal()
		w.checkHealed()
		if w.violated != "" {
			t.Fatal(w.violated)
		}
	})
}

// With near-zero waits before the stake moves, the same faults must let two dispatchers count it; this shows that the test can fail.
func TestStakeIsLentTwiceWithoutWaiting(t *testing.T) {
	faults := []operation{work, freeze, work, cutLink, work, reorder, work, work}
	violated := 0
	for seed := range uint64(200) {
		w := run(seed, lend.Config{StakeLease: 1, GrantValid: 1}, append(faults, faults...))
		if w.violated != "" {
			violated++
		}
	}
	t.Logf("%d of 200 seeds violate the property", violated)
	if violated == 0 {
		t.Error("no seed violates the property without the waits")
	}
}
