package neighbour

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ryelug/core/cell"
)

// Nearest returns the routers to which a host hands connections over: at most mostNear of its own data centre, followed by at most
// mostAway of others, in each group those with the most processor capacity first. Among routers of equal capacity the selection
// differs by host, so that each router is selected by about as many hosts.
func Nearest(self cell.HostID, routers []Router, mostNear, mostAway int) []Router {
	var near []Router
	away := make(map[string][]Router)
	for _, router := range routers {
		if router.RemoteDataCentre == "" {
			near = append(near, router)
		} else {
			away[router.RemoteDataCentre] = append(away[router.RemoteDataCentre], router)
		}
	}
	slices.SortFunc(near, func(a, b Router) int { return compareNear(self, a, b) })
	return append(near[:min(mostNear, len(near))], selectAway(self, away, mostAway)...)
}

// compareNear compares routers for Nearest: greater processor capacity first, and among equal ones the next in the order of names
// after self, continuing with the first name after the last.
func compareNear(self cell.HostID, a, b Router) int {
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

// selectAway selects up to most routers in rounds, in each of which every other data centre contributes its next router. Ties are
// broken by a hash of both hosts, so that a router that joins or leaves affects no other selected router.
func selectAway(self cell.HostID, away map[string][]Router, most int) []Router {
	compare := func(a, b Router) int {
		return cmp.Or(cmp.Compare(b.Processor, a.Processor), cmp.Compare(rank(self, a.Host), rank(self, b.Host)), cmp.Compare(a.Host, b.Host))
	}
	for _, list := range away {
		slices.SortFunc(list, compare)
	}
	var list []Router
	for round := 0; len(list) < most; round++ {
		var next []Router
		for routers := range maps.Values(away) {
			if round < len(routers) {
				next = append(next, routers[round])
			}
		}
		if len(next) == 0 {
			break
		}
		slices.SortFunc(next, compare)
		list = append(list, next[:min(most-len(list), len(next))]...)
	}
	return list
}

// rank returns a hash that breaks ties in an order that is different for each host.
func rank(self, other cell.HostID) uint64 {
	return xxhash.Sum64String(string(self) + "/" + string(other))
}
