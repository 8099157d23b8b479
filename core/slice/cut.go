package slice

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ryelug/core/cell"
	"ryelug/core/config"
)

// Slice is a part of a pool within one region, a cell of its own.
type Slice struct {
	ID        cell.ID
	Region    string
	Endpoints []cell.EndpointID
}

// Cut divides a pool's endpoints into count slices in each region, in the order
// of the regions in the document.
//
// Of each data centre a slice has as many endpoints as any other, or one more,
// and so it has of the region. Closed endpoints count as open ones do, so taking
// a data centre out moves no endpoint.
func Cut(doc *config.Document, pool string, count int) []Slice {
	var cut []Slice
	for _, region := range regionsOf(doc) {
		first := len(cut)
		for i := range count {
			cut = append(cut, Slice{ID: idOf(pool, first+i), Region: region})
		}
		cutRegion(doc, pool, cut[first:])
	}
	return cut
}

// idOf names the cell of a slice; slices are counted from one.
func idOf(pool string, index int) cell.ID {
	return cell.ID(fmt.Sprintf("%s/%d", pool, index+1))
}

func regionsOf(doc *config.Document) []string {
	var regions []string
	for _, centre := range doc.DataCentres {
		if !slices.Contains(regions, centre.Region) {
			regions = append(regions, centre.Region)
		}
	}
	return regions
}

// cutRegion deals the endpoints of one region, data centre by data centre. Each
// data centre begins where the one before has ended, so the remainders meet.
func cutRegion(doc *config.Document, pool string, cut []Slice) {
	dealt := 0
	for _, centre := range doc.DataCentres {
		if centre.Region != cut[0].Region {
			continue
		}
		names := endpointsIn(doc, pool, centre.Name)
		deal(names, quotas(dealt, len(names), len(cut)), cut)
		dealt += len(names)
	}
}

func endpointsIn(doc *config.Document, pool, centre string) []cell.EndpointID {
	var names []cell.EndpointID
	for i := range doc.Endpoints {
		if doc.Endpoints[i].Pool == pool && doc.Endpoints[i].DataCentre == centre {
			names = append(names, cell.EndpointID(doc.Endpoints[i].Name))
		}
	}
	return names
}

// quotas returns how many of n items each slice gets when they are dealt in turn after others.
func quotas(dealt, n, count int) []int {
	quota := make([]int, count)
	for i := range count {
		quota[i] = n / count
	}
	for i := range n % count {
		quota[(dealt+i)%count]++
	}
	return quota
}

// pairing is an endpoint with a slice that may have it.
type pairing struct {
	weight   uint64
	endpoint int
	slice    int
}

// deal gives each slice its quota of the endpoints, the pairings of the highest
// weight first. An endpoint that is added or removed starts a chain of
// displacements of falling weight, which ends soon.
func deal(names []cell.EndpointID, quota []int, cut []Slice) {
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
