package neighbour

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ryelug/core/cell"
)

// Nearest returns so many of the routers that a host hands connections over to, of its data centre and of others, those with
// the largest processors first. Where these are equal, each is the neighbour of about as many hosts.
func Nearest(self cell.HostID, routers []Router, mostNear, mostAway int) []Router {
	var near []Router
	away := make(map[string][]Router)
	for _, one := range routers {
		if one.Away == "" {
			near = append(near, one)
		} else {
			away[one.Away] = append(away[one.Away], one)
		}
	}
	slices.SortFunc(near, func(a, b Router) int { return following(self, a, b) })
	return append(near[:min(mostNear, len(near))], spread(self, away, mostAway)...)
}

// following orders large processors first, and among equal ones those that follow the host in the order of names.
func following(self cell.HostID, a, b Router) int {
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
}

// spread takes one router of each other data centre in turn. Among equal ones the order is the host's own, so that a router
// that comes or goes moves no other link.
func spread(self cell.HostID, away map[string][]Router, most int) []Router {
	ranked := func(a, b Router) int {
		return cmp.Or(cmp.Compare(b.Processor, a.Processor), cmp.Compare(rank(self, a.Host), rank(self, b.Host)), cmp.Compare(a.Host, b.Host))
	}
	for _, list := range away {
		slices.SortFunc(list, ranked)
	}
	var list []Router
	for turn := 0; len(list) < most; turn++ {
		var next []Router
		for one := range maps.Values(away) {
			if turn < len(one) {
				next = append(next, one[turn])
			}
		}
		if len(next) == 0 {
			break
		}
		slices.SortFunc(next, ranked)
		list = append(list, next[:min(most-len(list), len(next))]...)
	}
	return list
}

// rank is the place of another host in the order of a host.
func rank(self, other cell.HostID) uint64 {
	return xxhash.Sum64String(string(self) + "/" + string(other))
}
