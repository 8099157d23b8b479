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

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// check runs a random schedule of at least so many steps and returns what went wrong.
// The platform may serve wrong parts until the moment of the last change.
func check(t *rapid.T, settings spread.Config, routers, steps int, wrongAtEnd bool) []string {
	w := newWorld(t, routers, settings)
	for range rapid.IntRange(steps, 25).Draw(t, "steps") {
		w.disturb()
		w.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond)
	}
	if wrongAtEnd {
		w.corrupt, w.harmed = true, true
	}
	w.run(2 * time.Second)
	w.heal()
	w.corrupt = false // The target holds for a platform whose parts are whole.
	w.publish()
	w.run(inForce)
	for _, n := range w.nodes {
		if !n.dead && n.adopted != w.newest {
			w.failures = append(w.failures, fmt.Sprintf("%s has generation %d, not %d", n.id, n.adopted, w.newest))
		}
	}
	return w.failures
}

// All routers reach the newest generation within 3 s once connected, and none goes back.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 9).Draw(t, "routers")
		if failures := check(t, spread.Config{}, routers, 1, false); len(failures) > 0 {
			t.Fatal(failures)
		}
	})
}

// The same from a platform that serves wrong parts until the moment of the change.
func TestSpreadAfterWrongParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 9).Draw(t, "routers")
		if failures := check(t, spread.Config{}, routers, 1, true); len(failures) > 0 {
			t.Fatal(failures)
		}
	})
}

// busiest returns the bytes that the busiest router and a router on average send for a change.
func busiest(t *testing.T, settings spread.Config) (most, mean int) {
	const changes = 10
	w := newWorld(nil, 60, settings)
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

// No router of a large data centre sends a change to many others.
func TestLoadIsSpread(t *testing.T) {
	relayed, mean := busiest(t, spread.Config{})
	direct, _ := busiest(t, spread.Config{FanOut: 60})
	t.Logf("60 routers in 3 data centres: the busiest sends %d bytes a change, %d on average; %d if watchers send all", relayed, mean, direct)
	if relayed > 5*mean || direct < 2*relayed {
		t.Errorf("the busiest router sends %d bytes a change, the mean is %d", relayed, mean)
	}
}

// The check must find what a machine without one of its mechanisms does.
func TestSpreadBaselines(t *testing.T) {
	const enough = 3 // enough schedules that break the property end the search.
	for _, c := range []struct {
		name     string
		settings spread.Config
	}{
		{"watches are trusted", spread.Config{Check: time.Hour, Stale: time.Hour}},
		{"the dead keep their role", spread.Config{Grace: time.Hour, Stale: time.Hour}},
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
				t.Error("the check finds nothing wrong")
			}
		})
	}
}
