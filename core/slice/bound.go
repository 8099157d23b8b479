package slice

import (
	"ryelug/core/cell"
	"ryelug/core/fair"
)

// Bound holds what the gap in service depends on in a pool of several cells; the
// slots of the embedded Bound are those of the pool. docs/decisions/slices.md derives it.
type Bound struct {
	fair.Bound
	Cells     int
	CellSlots int       // CellSlots is the slots of the largest cell.
	Threshold cell.Cost // Threshold is the untold service from which a team is told.
	Untold    cell.Cost // Untold is what one slot serves in two intervals and four one-way delays.
	Margin    float64   // Margin is the difference in virtual time below which no request moves.
}

// GapBound returns the largest difference in service divided by share between two
// teams of a pool, over any interval in which both are backlogged.
func GapBound(b Bound) float64 {
	if b.Cells <= 1 {
		return fair.GapBound(b.Bound)
	}
	offset := fair.Spread(b.LargestCost, b.Slots, b.LeastShare)
	return fair.GapBound(b.Bound) + 2*viewError(b) + 5*spreadOfCells(b) + 2*offset
}

// viewError bounds the service of a team that one of its homes does not know of.
func viewError(b Bound) float64 {
	kept := float64(b.Cells-1) * float64(b.Threshold)
	late := float64(b.Slots) * float64(b.LargestCost+b.Untold)
	return (kept + late) / float64(min(b.ShareA, b.ShareB))
}

// spreadOfCells bounds the difference in virtual time of two cells: one may run
// ahead until the other's requests arrive, and a returning team may be behind by less than the margin.
func spreadOfCells(b Bound) float64 {
	return 2*b.Margin + fair.Spread(b.LargestCost+b.Untold, b.CellSlots, b.LeastShare)
}

// WaitBound returns the most service that others can get, in cost units, before
// the next grant of a backlogged team; shares are those of all backlogged teams together.
func WaitBound(b Bound, shares int) float64 {
	return float64(shares) * GapBound(b)
}
