package router

import (
	"math"
	"runtime/metrics"
	"testing"

	"github.com/matryer/is"
)

// The quantile is that of the delays added since the last reading.
func TestWaits(t *testing.T) {
	is := is.New(t)
	delays := newSchedulingDelays()
	histogram := &metrics.Float64Histogram{Buckets: []float64{math.Inf(-1), 0.001, 0.01, 0.1, math.Inf(1)}, Counts: []uint64{100, 0, 0, 0}}
	is.Equal(delays.quantile(histogram), 0.0)
	histogram.Counts = []uint64{105, 95, 20, 0} // 5, 95 and 20 delays more than before
	is.Equal(delays.quantile(histogram), 0.01)
	histogram.Counts = []uint64{105, 195, 22, 1}
	is.Equal(delays.quantile(histogram), 0.001)
	is.Equal(delays.quantile(histogram), 0.0) // no delays since the last reading
	is.True(newSchedulingDelays().read() >= 0)
}
