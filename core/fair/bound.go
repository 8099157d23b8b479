package fair

import "ryelug/core/cell"

// Spread bounds how far a team's counter stands above the least backlogged
// one while the team is backlogged: every slot can hold a request whose charge
// is wrong by the largest cost.
func Spread(largest cell.Cost, slots int, leastShare float64) float64 {
	return float64(slots) * float64(largest) / leastShare
}
