package router

import (
	"math"
	"runtime/metrics"
	"testing"

	"github.com/matryer/is"
)

func TestWaits(t *testing.T) {
	is := is.New(t)
	w := newWaits()
	histogram := &metrics.Float64Histogram{Buckets: []float64{math.Inf(-1), 0.001, 0.01, 0.1, math.Inf(1)}, Counts: []uint64{100, 0, 0, 0}}
	is.Equal(w.quantile(histogram), 0.0)
	histogram.Counts = []uint64{105, 95, 20, 0} // 5, 95 and 20 more
	is.Equal(w.quantile(histogram), 0.01)
	histogram.Counts = []uint64{105, 195, 22, 1}
	is.Equal(w.quantile(histogram), 0.001)
	is.Equal(w.quantile(histogram), 0.0) // There were no more.
	is.True(newWaits().next() >= 0)
}
