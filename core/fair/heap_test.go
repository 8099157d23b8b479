package fair_test

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"

	"ryelug/core/fair"
)

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// MinExcept returns the same items as a linear search through all keys.
func TestHeap(t *testing.T) {
	const items = 12
	rapid.Check(t, func(rt *rapid.T) {
		var heap fair.Heap
		heap.Grow(items)
		keys := map[int]float64{}
		least := func(except int) int {
			best := -1
			for item := range items {
				key, ok := keys[item]
				if ok && item != except && (best < 0 || key < keys[best]) {
					best = item
				}
			}
			return best
		}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			item := rapid.IntRange(0, items-1).Draw(rt, "item")
			if rapid.Bool().Draw(rt, "in") {
				keys[item] = float64(rapid.IntRange(0, 9).Draw(rt, "key"))
				heap.Set(item, keys[item])
			} else {
				delete(keys, item)
				heap.Remove(item)
			}
			for except := -1; except < items; except++ {
				got, ok := heap.MinExcept(except)
				if want := least(except); ok != (want >= 0) || ok && got != want {
					rt.Fatalf("MinExcept(%d) = %d, %t; want %d", except, got, ok, want)
				}
			}
		}
	})
}
