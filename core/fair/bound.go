package fair

import "ryelug/core/cell"

// Bound holds what the gap in service between two teams depends on; docs/DESIGN.md derives it.
type Bound struct {
	LargestCost cell.Cost // LargestCost is the largest cost of one request.
	Slots       int       // Slots is the most requests in flight at once.
	ShareA      int
	ShareB      int
	LeastShare  int       // LeastShare is the least share of any backlogged team.
	HandOvers   int       // HandOvers is the number of changes of the dispatcher in the interval.
	Unreported  cell.Cost // Unreported is the cost that one slot serves between two broadcasts of the counters.
}

// GapBound returns the largest difference in service divided by share between
// two teams, over any interval in which both are backlogged.
func GapBound(b Bound) float64 {
	inFlight := float64(b.Slots) * float64(b.LargestCost)
	least := float64(min(b.ShareA, b.ShareB))
	steady := 2*inFlight/least + Spread(b.LargestCost, b.Slots, b.LeastShare)
	return steady + float64(b.HandOvers)*HandOverGap(b)
}

// HandOverGap returns what one change of the dispatcher adds to the gap.
func HandOverGap(b Bound) float64 {
	lost := float64(b.Slots) * float64(2*b.LargestCost+b.Unreported)
	return lost / float64(min(b.ShareA, b.ShareB))
}

// WaitBound returns the most service that others can get, in cost units, before
// the next grant of a backlogged team; teams and shares are those of all
// backlogged teams together.
func WaitBound(b Bound, teams, shares int) float64 {
	behind := float64(shares) * Spread(b.LargestCost, b.Slots, b.LeastShare)
	return behind + float64(2*b.Slots+teams)*float64(b.LargestCost)
}

// Spread bounds how far the counter of a backlogged team stands above the least one.
func Spread(largest cell.Cost, slots, leastShare int) float64 {
	return float64(slots) * float64(largest) / float64(max(1, leastShare))
}

// EqualCosts holds what the gap depends on while all requests cost and take the same
// and their cost is known; docs/DESIGN.md derives it.
type EqualCosts struct {
	Cost   cell.Cost // Cost is that of each request.
	Slots  int
	Teams  int // Teams and Shares are those of all backlogged teams together.
	Shares int
	Jitter float64 // Jitter is the cost that a slot serves in the time by which requests reach an endpoint sooner or later.
}

// GapBound returns the largest difference in service divided by share between
// two teams of these shares.
func (e EqualCosts) GapBound(shareA, shareB int) float64 {
	steps := float64(e.Cost)/float64(shareA) + float64(e.Cost)/float64(shareB)
	return steps + e.Jitter*(e.inFlight(shareA)+e.inFlight(shareB))
}

// inFlight bounds the requests in flight of a team, divided by its share.
func (e EqualCosts) inFlight(share int) float64 {
	others := float64(e.Shares-share) / float64(share)
	return (float64(e.Slots+e.Teams-1) + others) / float64(e.Shares)
}
