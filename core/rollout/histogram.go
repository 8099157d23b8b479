package rollout

import "math"

const (
	binsPerOctave = 4
	binCount      = 30 * binsPerOctave
	firstBin      = -20 // firstBin is the binary logarithm of the least time that is told apart.
)

// histogram counts times, with weights, in bins of equal ratio.
type histogram struct {
	bins [binCount]float32
	sum  float64
}

func (h *histogram) add(value float64) {
	bin := int((math.Log2(value) - firstBin) * binsPerOctave)
	h.bins[min(binCount-1, max(0, bin))]++
	h.sum++
}

func (h *histogram) scale(factor float64) {
	for i := range h.bins {
		h.bins[i] *= float32(factor)
	}
	h.sum *= factor
}

// median returns the upper end of the median's bin; zero without enough values.
func (h *histogram) median() float64 {
	if h.sum < 2 {
		return 0
	}
	left := h.sum / 2
	for i := range h.bins {
		left -= float64(h.bins[i])
		if left <= 0 {
			return math.Exp2(float64(i+1)/binsPerOctave + firstBin)
		}
	}
	return 0
}
