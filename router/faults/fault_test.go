package faults_test

import (
	"testing"

	"ryelug/standin/fleettest"
)

func TestFaults(t *testing.T) {
	for i, f := range fleettest.Faults {
		t.Run(f.Name, func(t *testing.T) { fleettest.WithFaults(t, uint64(i), false, f) })
	}
}
