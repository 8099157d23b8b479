package rollout_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"ryelug/core/rollout"
)

// seeds is the number of seeds that the tests of random versions play; CI plays 200.
var seeds = flag.Uint64("seeds", 200, "number of seeds")

// randomScenario returns a service of random size and load, with enough requests to tell a version that fails one in ten.
func randomScenario(seed uint64, version kind) scenario {
	random := rand.New(rand.NewPCG(seed, 1))
	given := scenario{
		seed: seed, kind: version, duration: 12 * time.Second, endpoints: 3 + random.IntN(6), slots: 4 + random.IntN(5), classes: 1 + random.IntN(3),
		spread: 0.2 + 0.6*random.Float64(), failures: 0.005 * random.Float64(),
	}
	busy := 0.3 + 0.5*random.Float64()
	given.rate = max(150, busy*float64(given.endpoints*given.slots)/callTime.Seconds())
	given.onset = time.Duration((0.1 + 0.5*random.Float64()) * float64(given.duration))
	switch seed % 4 { // What happens to good versions too.
	case 1:
		given.cut = true
	case 2:
		given.crash = true
	case 3:
		given.splits = []float64{0.6, 0.3, 0.1}
	}
	return given
}

// checkBounds checks that the exposure to a bad version is bounded, and that no group gets requests that must get none.
func checkBounds(t *testing.T, given scenario, got result) {
	t.Helper()
	if float64(got.exposed) > 0.1*float64(got.requests) {
		t.Errorf("seed %d, kind %d: %d of %d requests went to the target", given.seed, given.kind, got.exposed, got.requests)
	}
	if got.bad >= 50 && given.kind != good && got.lastSent > got.badAt+5*time.Second {
		t.Errorf("seed %d, kind %d: a request at %v, 50 bad answers at %v", given.seed, given.kind, got.lastSent, got.badAt)
	}
	if got.afterward > 0 {
		t.Errorf("seed %d, kind %d: %d requests to the wrong version after the verdict", given.seed, given.kind, got.afterward)
	}
}

// Guards against tests that condemn good versions: of 200, at most one is rolled back, though both versions are disturbed at times
// and endpoints of the target crash.
func TestGoodVersions(t *testing.T) {
	rolledBack := 0
	for seed := range *seeds {
		given := randomScenario(seed, good)
		got := play(given)
		checkBounds(t, given, got)
		if got.state != rollout.Completed || got.at > given.duration {
			rolledBack++
			t.Logf("%+v: %+v", given, got)
		}
	}
	if uint64(rolledBack) > *seeds/200 {
		t.Errorf("%d of %d good versions were not completed", rolledBack, *seeds)
	}
}

// Guards against bad versions that pass: of 200, none is completed, and the exposure to each is bounded.
func TestBadVersions(t *testing.T) {
	for seed := range *seeds {
		given := randomScenario(seed, kind(1+seed%uint64(kindCount-1)))
		got := play(given)
		checkBounds(t, given, got)
		if got.state != rollout.RolledBack {
			t.Errorf("%+v: %+v", given, got)
		}
	}
}
