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

// Each single fault strikes a fleet whose engines stay cold. No engine may get more requests than its limit for cold engines.
func TestFaultsWhileCold(t *testing.T) {
	for i, f := range trial.Faults {
		t.Run(f.Name, func(t *testing.T) { assertNoViolations(t, uint64(50+i), true, f) })
	}
}

// Pairs of faults are drawn at random, and the second fault begins at most a second after the first.
// Every other pair strikes a fleet whose engines stay cold.
func TestFaultPairs(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 11))
	for i := range 8 {
		order := rng.Perm(len(trial.Faults))
		first, second := trial.Faults[order[0]], trial.Faults[order[1]]
		t.Run(fmt.Sprintf("%s and %s", first.Name, second.Name), func(t *testing.T) {
			assertNoViolations(t, uint64(100+i), i%2 == 1, first, second)
		})
	}
}

// assertNoViolations checks that a fleet under load keeps all its guarantees during the faults.
func assertNoViolations(t *testing.T, seed uint64, cold bool, faults ...trial.Fault) {
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
