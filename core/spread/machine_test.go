package spread_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryelug/core/spread"
)

// TestMain fixes the seed of the property tests; the flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// check runs a random schedule of at least the given number of steps, ends the faults and publishes a generation. It
// returns what went wrong. If wrongAtEnd is true, the platform serves wrong parts until it publishes that generation.
func check(t *rapid.T, settings spread.Config, routers, steps int, wrongAtEnd bool) []string {
	w := newSimulation(t, routers, settings)
	for range rapid.IntRange(steps, 25).Draw(t, "steps") {
		w.injectFault()
		w.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
	}
	if wrongAtEnd {
		w.corrupt, w.everCorrupt = true, true
	}
	w.run(2 * time.Second)
	w.repair()
	w.corrupt = false // The target applies only while the platform serves correct parts.
	w.publish()
	w.run(adoptionTarget)
	for _, n := range w.nodes {
		if !n.dead && n.adopted != w.newest {
			w.failures = append(w.failures, fmt.Sprintf("%s has generation %d, not %d", n.id, n.adopted, w.newest))
		}
	}
	return w.failures
}

// TestSpread checks that all routers adopt the newest generation within 3 s once the faults have ended, and that none goes back to an older one.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 9).Draw(t, "routers")
		if failures := check(t, spread.Config{}, routers, 1, false); len(failures) > 0 {
			t.Fatal(failures)
		}
	})
}

// TestSpreadAfterWrongParts checks the same after the platform has served wrong parts until the last generation was published.
func TestSpreadAfterWrongParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 9).Draw(t, "routers")
		if failures := check(t, spread.Config{}, routers, 1, true); len(failures) > 0 {
			t.Fatal(failures)
		}
	})
}

// busiest returns how many bytes the busiest router, and a router on average, sends for one change.
func busiest(t *testing.T, settings spread.Config) (most, mean int) {
	const changes = 10
	w := newSimulation(nil, 60, settings)
	w.publish()
	w.run(5 * time.Second)
	for _, n := range w.nodes {
		n.sent = 0
	}
	for range changes {
		w.publish()
		w.run(time.Second)
	}
	for _, n := range w.nodes {
		most = max(most, n.sent/changes)
		mean += n.sent / changes
		if n.adopted != w.newest {
			t.Errorf("%s has generation %d, not %d", n.id, n.adopted, w.newest)
		}
	}
	return most, mean / len(w.nodes)
}

// TestLoadIsSpread checks that no router of a large data centre sends a change to most of the others.
func TestLoadIsSpread(t *testing.T) {
	relayed, mean := busiest(t, spread.Config{})
	direct, _ := busiest(t, spread.Config{FanOut: 60})
	t.Logf("60 routers in 3 data centres: the busiest sends %d bytes a change, %d on average; %d if watchers send all", relayed, mean, direct)
	if relayed > 5*mean || direct < 2*relayed {
		t.Errorf("the busiest router sends %d bytes a change, the mean is %d", relayed, mean)
	}
}

// TestSpreadBaselines checks that the property test finds violations by machines that lack one of their mechanisms.
func TestSpreadBaselines(t *testing.T) {
	const enough = 3 // enough is how many schedules must break the property; the search ends there.
	for _, c := range []struct {
		name     string
		settings spread.Config
	}{
		{"no reads beside the watch", spread.Config{Check: time.Hour, Stale: time.Hour}},
		{"watchers without a link keep their role", spread.Config{Grace: time.Hour, Stale: time.Hour}},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := 0
			rapid.Check(t, func(t *rapid.T) {
				if found < enough && len(check(t, c.settings, 9, 15, false)) > 0 {
					found++
				}
			})
			t.Logf("%d schedules break the property", found)
			if found < enough {
				t.Error("too few schedules break the property")
			}
		})
	}
}
