package faultpairs_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"ryelug/standin/fleettest"
)

// Engines that stay cold never get more than they bear.
func TestFaultsWhileCold(t *testing.T) {
	for i, f := range fleettest.Faults {
		t.Run(f.Name, func(t *testing.T) { fleettest.WithFaults(t, uint64(50+i), true, f) })
	}
}

// Pairs of faults, one within a second of the other.
func TestFaultPairs(t *testing.T) {
	rng := rand.New(rand.NewPCG(11, 11))
	for i := range 8 {
		order := rng.Perm(len(fleettest.Faults))
		first, second := fleettest.Faults[order[0]], fleettest.Faults[order[1]]
		t.Run(fmt.Sprintf("%s and %s", first.Name, second.Name), func(t *testing.T) {
			fleettest.WithFaults(t, uint64(100+i), i%2 == 1, first, second)
		})
	}
}
