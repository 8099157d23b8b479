package limit_test

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"ryelug/core/limit"
)

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// For any disjoint sets of stakes the caps add up to no more than the limit, although each dispatcher may have a different
// total, which is at least the number of hosts that lend their stakes.
func TestCapsAddUpToLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(0, 200).Draw(rt, "limit")
		held := rapid.SliceOfN(rapid.IntRange(0, 60), 1, 8).Draw(rt, "held")
		voters, sum := 0, 0
		for _, n := range held {
			voters += n
		}
		for _, n := range held {
			sum += limit.Cap(size, n, voters+rapid.IntRange(0, 3).Draw(rt, "more members"))
		}
		if sum > size {
			rt.Fatalf("caps add up to %d of %d", sum, size)
		}
		if all := limit.Cap(size, voters, voters); voters > 0 && all != size {
			rt.Fatalf("all stakes give %d of %d", all, size)
		}
	})
}
