package neighbour

import (
	"cmp"
	"slices"

	"ryelug/core/cell"
)

// Nearest returns so many of the routers that a host hands connections over to: those with the largest processors first,
// and among equal ones those that follow the host in the order of names, so that each is the neighbour of as many.
func Nearest(self cell.HostID, routers []Router, most int) []Router {
	list := slices.Clone(routers)
	slices.SortFunc(list, func(a, b Router) int {
		if order := cmp.Compare(b.Processor, a.Processor); order != 0 {
			return order
		}
		if aFollows, bFollows := a.Host > self, b.Host > self; aFollows != bFollows {
			if aFollows {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Host, b.Host)
	})
	return list[:min(most, len(list))]
}
