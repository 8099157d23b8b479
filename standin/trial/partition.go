package trial

import (
	"context"
	"net/netip"
	"slices"

	"ryelug/standin/fleet"
)

// Halves returns the places in Fleet.Routers of two groups: the dispatcher with one other router, and the rest.
func Halves(ctx context.Context, fl *fleet.Fleet) (minor, major []int) {
	dispatcher := fl.Dispatcher(ctx, fleet.EnginePool)
	minor = append(minor, slices.Index(fl.Routers, dispatcher))
	for i := range fl.Routers {
		switch {
		case i == minor[0]:
		case len(minor) == 1:
			minor = append(minor, i)
		default:
			major = append(major, i)
		}
	}
	return minor, major
}

// EachPair calls do with the addresses of each pair of routers of two groups.
func EachPair(fl *fleet.Fleet, some, others []int, do func(a, b netip.Addr)) {
	for _, i := range some {
		for _, j := range others {
			do(fl.Routers[i].Address, fl.Routers[j].Address)
		}
	}
}
