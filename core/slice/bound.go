package slice

import (
	"ryelug/core/cell"
	"ryelug/core/fair"
)

// Bound holds what the gap in service between two teams depends on in a pool of several
// cells. The slots of the embedded Bound are those of the pool. docs/decisions/slices.md derives the bounds.
type Bound struct {
	fair.Bound
	Cells     int       // Cells is the number of cells of the pool.
	CellSlots int       // CellSlots is the number of slots of the largest cell.
	Threshold cell.Cost // Threshold is the amount of unreported service of a team, in cost units, at which a cell reports it.
	Untold    cell.Cost // Untold is what one slot serves, in cost units, in two report intervals and four one-way delays.
	Margin    float64   // Margin is the lead in virtual time up to which a cell that has enough requests is passed none.
}

// GapBound returns the largest difference between two teams of a pool in service divided
// by share, in cost units per unit of share, over any interval in which both are backlogged.
func GapBound(b Bound) float64 {
	if b.Cells <= 1 {
		return fair.GapBound(b.Bound)
	}
	offset := fair.CounterSpread(b.LargestCost, b.Slots, b.LeastShare)
	return fair.GapBound(b.Bound) + 2*viewError(b) + 5*spreadOfCells(b) + 2*offset
}

// viewError bounds the service of a team that one of its home cells does not know of, divided by the smaller of the two shares.
func viewError(b Bound) float64 {
	unreported := float64(b.Cells-1) * float64(b.Threshold)
	inTransit := float64(b.Slots) * float64(b.LargestCost+b.Untold)
	return (unreported + inTransit) / float64(min(b.ShareA, b.ShareB))
}

// spreadOfCells bounds the difference between the virtual times of two cells. One cell may get ahead
// until requests of the other arrive, and a returning team may be behind by less than the margin.
func spreadOfCells(b Bound) float64 {
	return 2*b.Margin + fair.CounterSpread(b.LargestCost+b.Untold, b.CellSlots, b.LeastShare)
}

// WaitBound returns the most service that other teams can get, in cost units, before the next
// grant of a backlogged team. shares is the sum of the shares of all backlogged teams.
func WaitBound(b Bound, shares int) float64 {
	return float64(shares) * GapBound(b)
}
