package faultpairs_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"ryelug/standin/bubble"
	"ryelug/standin/trial"
)

// Engines that stay cold never get more than they bear.
func TestFaultsWhileCold(t *testing.T) {
	for i, f := range trial.Faults {
		t.Run(f.Name, func(t *testing.T) { assertBorne(t, uint64(50+i), true, f) })
	}
}

// Pairs of faults, one within a second of the other.
func TestFaultPairs(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 11))
	for i := range 8 {
		order := rng.Perm(len(trial.Faults))
		first, second := trial.Faults[order[0]], trial.Faults[order[1]]
		t.Run(fmt.Sprintf("%s and %s", first.Name, second.Name), func(t *testing.T) {
			assertBorne(t, uint64(100+i), i%2 == 1, first, second)
		})
	}
}

// assertBorne checks that a loaded fleet bears faults.
func assertBorne(t *testing.T, seed uint64, cold bool, faults ...trial.Fault) {
	t.Helper()
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		outcome, err := trial.WithFaults(t.Context(), seed, cold, faults...)
		is.New(t).NoErr(err)
		t.Log(outcome.Figures())
		for _, violation := range outcome.Violations() {
			t.Error(violation)
		}
	})
}
