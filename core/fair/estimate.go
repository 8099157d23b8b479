package fair

import "ryelug/core/cell"

// averageWeight is the weight of the newest cost in a moving average.
const averageWeight = 0.125

// unknownPart divides the largest cost for a first estimate without a hint.
const unknownPart = 4

// Estimate foretells a team's request costs by a moving average.
type Estimate struct {
	average float64
	seen    bool
}

// Of returns the expected cost of the next request; the hint counts only while
// nothing was seen. The result is from 1 to largest.
func (e *Estimate) Of(hint, largest cell.Cost) cell.Cost {
	cost := hint
	switch {
	case e.seen:
		cost = cell.Cost(e.average)
	case hint <= 0:
		cost = largest / unknownPart
	}
	return max(1, min(cost, largest))
}

// Seen takes in the cost of a finished request.
func (e *Estimate) Seen(cost cell.Cost) {
	if !e.seen {
		e.average, e.seen = float64(cost), true
		return
	}
	e.average += averageWeight * (float64(cost) - e.average)
}
