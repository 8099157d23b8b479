package fair_test

import (
	"testing"

	"github.com/matryer/is"

	"ryelug/core/fair"
)

// Counters that have grown for years still distinguish small charges to teams with large shares.
func TestLargeCountersLoseNoCharge(t *testing.T) {
	for _, brought := range []bool{true, false} {
		is := is.New(t)
		var ledger fair.Ledger
		ledger.Grow(3)
		ledger.SetShare(0, 1_000_000)
		ledger.SetShare(1, 1_000_000)
		if brought {
			ledger.Advance(1e15)
		} else {
			ledger.Enter(2, 0)
			ledger.Charge(2, 1e15)
			ledger.Settle(2, 1e15, 1e15)
			ledger.Exit(2)
			ledger.Advance(1e15)
		}
		for team := range 2 {
			ledger.Enter(team, ledger.Virtual())
		}
		var grants [2]int
		for range 100 {
			least, _ := ledger.Least()
			grants[least]++
			ledger.Charge(least, 100)
		}
		is.Equal(grants, [2]int{50, 50})
		is.True(ledger.SettledVirtual() >= 1e15) // The counter that other dispatchers see is not reset.
	}
}

// Guards against a team that still comes last long after it was served more than others.
func TestFade(t *testing.T) {
	is := is.New(t)
	var ledger fair.Ledger
	ledger.Grow(2)
	ledger.Enter(0, 0)
	ledger.Enter(1, 0)
	ledger.Charge(0, 1000)
	ledger.Decay(0.5)
	is.Equal([]float64{ledger.Counter(0), ledger.Counter(1)}, []float64{500, 0})
}
