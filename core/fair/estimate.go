package fair

import "ryelug/core/cell"

// averageWeight is the weight of the newest cost in a moving average.
const averageWeight = 0.125

// unknownCostDivisor divides the largest cost to get the first estimate where there is no hint.
const unknownCostDivisor = 4

// Estimate predicts the cost of a team's next request by an exponential moving average.
type Estimate struct {
	average float64
	seen    bool
}

// Next returns the expected cost of the next request, from 1 to largest. Until the first call of Observe it is the hint, or a
// quarter of largest if the hint is not positive.
func (e *Estimate) Next(hint, largest cell.Cost) cell.Cost {
	cost := hint
	switch {
	case e.seen:
		cost = cell.Cost(e.average)
	case hint <= 0:
		cost = largest / unknownCostDivisor
	}
	return max(1, min(cost, largest))
}

// Observe adds the cost of a finished request to the average.
func (e *Estimate) Observe(cost cell.Cost) {
	if !e.seen {
		e.average, e.seen = float64(cost), true
		return
	}
	e.average += averageWeight * (float64(cost) - e.average)
}
