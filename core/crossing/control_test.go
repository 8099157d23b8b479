package crossing_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The demand of each load, as a part of the capacity of a data centre.
var loads = []struct {
	name   string
	demand func(second float64, site int) float64
	swing  float64 // swing is the most by which the part that leaves may differ between two seconds.
}{
	{"even", func(float64, int) float64 { return 0.7 }, 0.02},
	{"wave-shaped", func(second float64, site int) float64 { return 0.8 + 0.5*math.Sin(second+2*float64(site)) }, 0.2},
	{"one-sided", onesided, 0.2},
	{"shifting", func(second float64, site int) float64 {
		if int(second/8)%3 == site {
			return 1.4
		}
		return 0.4
	}, 0.2},
	{"two overloaded in turn", func(second float64, site int) float64 {
		if site == int(second/3)%2 {
			return 1.5
		}
		return 0.5
	}, 0.2},
}

func onesided(_ float64, site int) float64 {
	return [3]float64{1.6, 0.4, 0.4}[site]
}

// Under each load the part of the demand that leaves a data centre changes slowly, and is next to nothing if no data centre is
// overloaded: a rule that follows momentary load sends requests to and fro.
func TestPartThatLeavesChangesSlowly(t *testing.T) {
	for _, load := range loads {
		t.Run(load.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(byControl, load.demand).run(30 * time.Second)
			for site := range w.total {
				t.Logf("data centre %d: in time %.3f, left %.3f, swing %.3f", site, w.inTime(site), float64(w.total[site].left)/float64(w.total[site].asked), w.swing(site))
				is.True(w.swing(site) <= load.swing)
			}
		})
	}
}

// Callers of an overloaded data centre are served in time nearly as often as the others while those have free capacity.
func TestOneSidedOverload(t *testing.T) {
	is := is.New(t)
	w := newWorld(byControl, onesided).run(30 * time.Second)
	for site := 1; site < 3; site++ {
		is.True(w.inTime(site) > 0.95) // The others don't suffer from it.
		is.True(w.inTime(0) >= 0.9*w.inTime(site))
	}
}
