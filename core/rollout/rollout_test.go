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

// Guards against an exposure that grows with the number of dispatchers, one after the other and side by side, and against a new judge
// that completes a version on too little evidence. Without a judge the target gets nothing.
func TestSeveralDispatchers(t *testing.T) {
	for seed := range *seeds / 4 {
		given := randomScenario(4*seed, kind(1+seed%uint64(kindCount-1)))
		given.turns = 2 + int(seed%3)
		if seed%2 == 0 {
			given.splits = []float64{0.7, 0.1, 0.1, 0.1}
		}
		if seed%6 == 5 {
			given.splits = []float64{0.5, 0.5}
		}
		got := play(given)
		checkBounds(t, given, got)
		if got.state == rollout.Completed || seed%6 == 5 && got.exposed > 0 {
			t.Errorf("%+v: %+v", given, got)
		}
	}
}

// Guards against good versions that are rolled back because the judge is lost.
func TestGoodVersionsOfSeveralJudges(t *testing.T) {
	completed := 0
	for seed := range *seeds / 4 {
		given := randomScenario(4*seed, good)
		given.turns = 2 + int(seed%3)
		got := play(given)
		if got.state == rollout.Completed && got.at < given.duration {
			completed++
		} else {
			t.Logf("%+v: %+v", given, got)
		}
	}
	if uint64(completed) < *seeds/4*9/10 {
		t.Errorf("%d of %d good versions were completed", completed, *seeds/4)
	}
}

// Guards against a judge that dies as it writes its verdict: the next one must come to the same before the deadline.
func TestLostWrite(t *testing.T) {
	completed := uint64(0)
	for seed := range *seeds / 4 {
		given := randomScenario(4*seed, kind(seed%uint64(kindCount)))
		given.lostWrite = true
		got := play(given)
		checkBounds(t, given, got)
		switch {
		case given.kind != good && got.state == rollout.Completed:
			t.Errorf("%+v: %+v", given, got)
		case given.kind == good && (got.state != rollout.Completed || got.at > given.duration):
			t.Logf("%+v: %+v", given, got)
		case given.kind == good:
			completed++
		}
	}
	if count := *seeds / 4 / uint64(kindCount); completed < count*9/10 {
		t.Errorf("%d of %d good versions were completed", completed, count)
	}
}

// Guards against a target that gets requests from a dispatcher that the store no longer tells about the roll-out.
func TestStoreIsSilent(t *testing.T) {
	for seed := range uint64(10) {
		given := randomScenario(4*seed, good)
		given.sickAfter = 4 * time.Second
		got := play(given)
		if got.state == rollout.Completed || got.lastSent > 6*time.Second+100*time.Millisecond {
			t.Errorf("%+v: %+v", given, got)
		}
	}
}

// Guards against a good version that is rolled back because one of its endpoints is faulty.
func TestFaultyEndpoint(t *testing.T) {
	completed := 0
	for seed := range uint64(20) {
		given := randomScenario(4*seed, good)
		given.faulty, given.endpoints = true, given.endpoints+1
		got := play(given)
		if got.state == rollout.Completed {
			completed++
		} else {
			t.Logf("%+v: %+v", given, got)
		}
	}
	if completed < 18 {
		t.Errorf("%d of 20 versions with a faulty endpoint were completed", completed)
	}
}

// Guards against good versions of services with few requests that are never completed, for want of samples.
func TestFewRequests(t *testing.T) {
	for seed := range uint64(20) {
		given := randomScenario(4*seed, good)
		given.rate = 15 + 2*float64(seed)
		got := play(given)
		checkBounds(t, given, got)
		if got.state != rollout.Completed {
			t.Errorf("%+v: %+v", given, got)
		}
	}
}
