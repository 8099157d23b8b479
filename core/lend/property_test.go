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

// fault is one thing that can go wrong at any moment, or work that goes on meanwhile.
type fault int

const (
	pass fault = iota
	cutLink
	freeze
	restart
	reorder
	leave
	work
	faultCount
)

// run lets seeded faults and work happen to three routers.
func run(seed uint64, conf lend.Config, faults []fault) *world {
	w := newWorld(seed, conf, "a", "b", "c")
	for _, f := range faults {
		w.inflict(f)
		w.connect(0.5)
		w.advance(w.upTo(300 * time.Millisecond))
	}
	return w
}

func (w *world) inflict(f fault) {
	p := w.parties[w.rng.IntN(len(w.parties))]
	switch f {
	case cutLink:
		if len(w.links) > 0 {
			w.links[w.rng.IntN(len(w.links))].cut = true
		}
	case freeze:
		p.frozen = w.now + w.upTo(4*time.Second)
	case restart:
		p.restart()
	case reorder:
		for _, p := range w.parties {
			p.reorder()
		}
	case leave:
		for _, l := range w.links {
			if l.ends[1] == p && l.open[1] {
				l.send(1, frame{body: leaving{}})
			}
		}
	default:
		w.work()
	}
}

func (w *world) work() {
	for _, p := range w.parties {
		if w.now < p.frozen {
			continue
		}
		p.want()
		p.end()
		p.grant()
	}
}

// connect dials each missing link with some likelihood.
func (w *world) connect(likelihood float64) {
	for _, from := range w.parties {
		for _, to := range w.parties {
			if from != to && w.now >= from.frozen && w.now >= to.frozen && w.rng.Float64() < likelihood {
				w.dial(from, to)
			}
		}
	}
}

// calm lets everything heal: all links work and are fast, nobody is frozen, no new grants are made.
func (w *world) calm() {
	w.delay = time.Millisecond
	for _, p := range w.parties {
		p.frozen = 0
	}
	for range 30 {
		w.connect(1)
		w.advance(100 * time.Millisecond)
	}
}

// checkCalm asserts that the dispatcher that counts an entry's stake knows its demands and
// flights exactly, and that no other linked dispatcher counts a flight that has ended.
func (w *world) checkCalm() {
	for _, entry := range w.parties {
		holders := 0
		for _, d := range w.parties {
			s := d.sessions[entry.host]
			if s == nil || s.router != entry.router {
				continue
			}
			for a := range s.flights {
				if !entry.running[a] {
					w.fail("%s counts attempt %d of %s, which has ended", d.router, a, entry.router)
				}
			}
			if !d.counts(entry.host) {
				continue
			}
			holders++
			if !reflect.DeepEqual(s.flights, entry.running) || !reflect.DeepEqual(s.demands, entry.waiting) {
				w.fail("%s has flights %v and demands %v of %s, which has %v and %v",
					d.router, s.flights, s.demands, entry.router, entry.running, entry.waiting)
			}
		}
		if holders != 1 {
			w.fail("%d dispatchers count the stake of %s", holders, entry.host)
		}
	}
}

func TestStakeIsNeverLentTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		ops := rapid.SliceOfN(rapid.IntRange(0, int(faultCount)+4), 20, 80).Draw(t, "faults")
		faults := make([]fault, len(ops))
		for i, op := range ops {
			faults[i] = min(fault(op), work) // Work is five times as frequent as each fault.
		}
		w := run(seed, lend.Config{}, faults)
		w.calm()
		w.checkCalm()
		if w.broken != "" {
			t.Fatal(w.broken)
		}
	})
}

// With the waiting switched off, the same faults break the promise.
func TestStakeIsLentTwiceWithoutWaiting(t *testing.T) {
	faults := []fault{work, freeze, work, cutLink, work, reorder, work, work}
	broken := 0
	for seed := range uint64(200) {
		w := run(seed, lend.Config{StakeLease: 1, GrantValid: 1}, append(faults, faults...))
		if w.broken != "" {
			broken++
		}
	}
	t.Logf("%d of 200 seeds break it", broken)
	if broken == 0 {
		t.Error("the waiting makes no difference")
	}
}
