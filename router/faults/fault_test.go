package faults_test

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"ryelug/standin/bubble"
	"ryelug/standin/trial"
)

// Each single fault strikes a fleet under load, which must keep all its guarantees.
func TestFaults(t *testing.T) {
	for i, f := range trial.Faults {
		t.Run(f.Name, func(t *testing.T) { assertNoViolations(t, uint64(i), f) })
	}
}

// assertNoViolations checks that a fleet under load keeps all its guarantees during a fault.
func assertNoViolations(t *testing.T, seed uint64, f trial.Fault) {
	t.Helper()
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		outcome, err := trial.WithFaults(t.Context(), seed, false, f)
		is.New(t).NoErr(err)
		t.Log(outcome.Figures())
		for _, violation := range outcome.Violations() {
			t.Error(violation)
		}
	})
}
