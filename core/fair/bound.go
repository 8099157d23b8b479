package fair

import "ryelug/core/cell"

// Bound holds the quantities that bound the difference in service between two teams; docs/DESIGN.md derives the bound.
type Bound struct {
	LargestCost cell.Cost // LargestCost is the largest cost of one request.
	Slots       int       // Slots is the largest number of requests in flight at once.
	ShareA      int       // ShareA is the share of the first team.
	ShareB      int       // ShareB is the share of the second team.
	LeastShare  int       // LeastShare is the smallest share of any backlogged team.
	HandOvers   int       // HandOvers is the number of changes of the dispatcher within the interval.
	Unreported  cell.Cost // Unreported is the cost that one slot serves between two broadcasts of the counters.
}

// GapBound returns the largest difference in service between two teams, in cost units divided by share, over any
// interval in which both are backlogged.
func GapBound(b Bound) float64 {
	inFlight := float64(b.Slots) * float64(b.LargestCost)
	least := float64(min(b.ShareA, b.ShareB))
	steady := 2*inFlight/least + CounterSpread(b.LargestCost, b.Slots, b.LeastShare)
	return steady + float64(b.HandOvers)*HandOverGap(b)
}

// HandOverGap returns what one change of the dispatcher adds to GapBound, in cost units divided by share.
func HandOverGap(b Bound) float64 {
	lost := float64(b.Slots) * float64(2*b.LargestCost+b.Unreported)
	return lost / float64(min(b.ShareA, b.ShareB))
}

// WaitBound returns the most service, in cost units, that other teams can get before the next grant of a backlogged
// team. The arguments are the number of backlogged teams and the sum of their shares.
func WaitBound(b Bound, teams, shares int) float64 {
	behind := float64(shares) * CounterSpread(b.LargestCost, b.Slots, b.LeastShare)
	return behind + float64(2*b.Slots+teams)*float64(b.LargestCost)
}

// CounterSpread bounds how far the counter of a backlogged team lies above the smallest one, in cost units divided by share. A
// leastShare below one counts as one.
func CounterSpread(largest cell.Cost, slots, leastShare int) float64 {
	return float64(slots) * float64(largest) / float64(max(1, leastShare))
}

// EqualCosts holds the quantities that bound the difference in service between two teams if all requests have the
// same known cost and duration; docs/DESIGN.md derives the bound.
type EqualCosts struct {
	Cost   cell.Cost // Cost is the cost of each request.
	Slots  int
	Teams  int     // Teams is the number of backlogged teams.
	Shares int     // Shares is the sum of the shares of the backlogged teams.
	Jitter float64 // Jitter is the cost that a slot serves within the variation of the delay from grant to endpoint.
}

// GapBound returns the largest difference in service between two teams with the given shares, in cost units divided by
// share.
func (e EqualCosts) GapBound(shareA, shareB int) float64 {
	steps := float64(e.Cost)/float64(shareA) + float64(e.Cost)/float64(shareB)
	return steps + e.Jitter*(e.inFlight(shareA)+e.inFlight(shareB))
}

// inFlight bounds the number of a team's requests in flight, divided by the team's share.
func (e EqualCosts) inFlight(share int) float64 {
	others := float64(e.Shares-share) / float64(share)
	return (float64(e.Slots+e.Teams-1) + others) / float64(e.Shares)
}
