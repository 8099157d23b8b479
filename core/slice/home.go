package slice

import (
	"github.com/cespare/xxhash/v2"

	"ryelug/core/cell"
)

// Homes are the two cells that requests of a team ask first. The other cells report to them
// how much they have served the team. Both are the same if there is only one cell.
type Homes struct {
	First, Second cell.ID
}

// HomesOf returns a team's two homes among the cells: those of highest rendezvous weight, so
// that adding or removing a cell changes the homes of few teams.
func HomesOf(team cell.TeamID, cells []cell.ID) Homes {
	var homes Homes
	var first, second uint64
	for _, id := range cells {
		weight := xxhash.Sum64String(string(team) + "\x00" + string(id))
		switch {
		case homes.First == "" || weight > first:
			homes.Second, second = homes.First, first
			homes.First, first = id, weight
		case homes.Second == "" || weight > second:
			homes.Second, second = id, weight
		}
	}
	if homes.Second == "" {
		homes.Second = homes.First
	}
	return homes
}

// Has reports whether a cell is one of the homes.
func (h Homes) Has(id cell.ID) bool { return id == h.First || id == h.Second }
