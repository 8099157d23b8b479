package slice

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ryelug/core/cell"
	"ryelug/core/config"
)

// Slice is the part of a pool in one region that one cell schedules.
type Slice struct {
	ID        cell.ID           // ID is the ID of the cell that schedules the slice.
	Region    string            // Region names the region of all endpoints of the slice.
	Endpoints []cell.EndpointID // Endpoints lists the endpoints of the slice, closed ones included.
}

// Partition divides a pool's endpoints into count slices in each region, in the order
// in which the regions appear in the document.
//
// The numbers of endpoints that the slices of a region have in one data centre
// differ by at most one, and so do their numbers in the whole region. Closed
// endpoints count like open ones, so taking a data centre out moves no endpoint.
func Partition(doc *config.Document, pool string, count int) []Slice {
	var cut []Slice
	for _, region := range regionsOf(doc) {
		first := len(cut)
		for i := range count {
			cut = append(cut, Slice{ID: sliceID(pool, first+i), Region: region})
		}
		divideRegion(doc, pool, cut[first:])
	}
	return cut
}

// sliceID returns the cell ID of the slice with the given index from zero; IDs number slices from one.
func sliceID(pool string, index int) cell.ID {
	return cell.ID(fmt.Sprintf("%s/%d", pool, index+1))
}

// regionsOf returns the regions of the data centres in the order of the document.
func regionsOf(doc *config.Document) []string {
	var regions []string
	for _, centre := range doc.DataCentres {
		if !slices.Contains(regions, centre.Region) {
			regions = append(regions, centre.Region)
		}
	}
	return regions
}

// divideRegion assigns the endpoints of one region to its slices, one data centre after the
// other. Each data centre continues where the previous one ended, so that the totals of the
// slices over the region differ by at most one as well.
func divideRegion(doc *config.Document, pool string, cut []Slice) {
	assigned := 0
	for _, centre := range doc.DataCentres {
		if centre.Region != cut[0].Region {
			continue
		}
		names := endpointsIn(doc, pool, centre.Name)
		assign(names, quotas(assigned, len(names), len(cut)), cut)
		assigned += len(names)
	}
}

// endpointsIn returns the endpoints of a pool in a data centre, in the order of the document.
func endpointsIn(doc *config.Document, pool, centre string) []cell.EndpointID {
	var names []cell.EndpointID
	for i := range doc.Endpoints {
		if doc.Endpoints[i].Pool == pool && doc.Endpoints[i].DataCentre == centre {
			names = append(names, cell.EndpointID(doc.Endpoints[i].Name))
		}
	}
	return names
}

// quotas returns how many of n endpoints each of count slices gets if they are assigned in turn, after the given number of earlier ones.
func quotas(assigned, n, count int) []int {
	quota := make([]int, count)
	for i := range count {
		quota[i] = n / count
	}
	for i := range n % count {
		quota[(assigned+i)%count]++
	}
	return quota
}

// pairing is an endpoint together with a slice that it may be assigned to.
type pairing struct {
	weight   uint64 // weight is the hash of the endpoint's name and the slice's cell ID.
	endpoint int    // endpoint is an index into the endpoint names passed to assign.
	slice    int    // slice is an index into the slices passed to assign.
}

// assign gives each slice its quota of the endpoints. It goes through the pairings from the highest
// weight to the lowest. An added or removed endpoint may move another one to a different slice, which
// may move a third one, and so on. The weight of the pairing falls with each of these moves, so few
// endpoints move.
func assign(names []cell.EndpointID, quota []int, cut []Slice) {
	taken := make([]bool, len(names))
	for _, pair := range rankedPairings(names, cut) {
		if taken[pair.endpoint] || quota[pair.slice] == 0 {
			continue
		}
		taken[pair.endpoint] = true
		quota[pair.slice]--
		into := &cut[pair.slice]
		into.Endpoints = append(into.Endpoints, names[pair.endpoint])
	}
}

// rankedPairings returns all pairings, highest weight first; the order does not depend on that of the endpoints.
func rankedPairings(names []cell.EndpointID, cut []Slice) []pairing {
	pairs := make([]pairing, 0, len(names)*len(cut))
	for i, name := range names {
		for j := range cut {
			weight := xxhash.Sum64String(string(name) + "\x00" + string(cut[j].ID))
			pairs = append(pairs, pairing{weight: weight, endpoint: i, slice: j})
		}
	}
	slices.SortFunc(pairs, func(a, b pairing) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(names[a.endpoint], names[b.endpoint]), cmp.Compare(a.slice, b.slice))
	})
	return pairs
}
