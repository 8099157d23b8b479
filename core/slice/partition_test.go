package slice_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/core/slice"
)

// TestMain fixes the seed of the property tests; the flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// fleetDocument returns a document with the given number of endpoints in each data centre of each region.
func fleetDocument(regions [][]int) *config.Document {
	doc := &config.Document{}
	for r, centres := range regions {
		for c, n := range centres {
			name := fmt.Sprintf("dc%d%d", r, c)
			doc.DataCentres = append(doc.DataCentres, config.DataCentre{Name: name, Region: fmt.Sprint("region", r)})
			for e := range n {
				doc.Endpoints = append(doc.Endpoints, config.Endpoint{Name: fmt.Sprint(name, "-", e), Pool: "pool", DataCentre: name})
			}
		}
	}
	return doc
}

// placesOf returns the cell of each endpoint.
func placesOf(cut []slice.Slice) map[cell.EndpointID]cell.ID {
	places := map[cell.EndpointID]cell.ID{}
	for _, part := range cut {
		for _, endpoint := range part.Endpoints {
			places[endpoint] = part.ID
		}
	}
	return places
}

// sizesOf returns the number of endpoints in each slice of a region, leaving out those of one data centre.
func sizesOf(doc *config.Document, cut []slice.Slice, region, without string) []int {
	centres := map[cell.EndpointID]string{}
	for _, at := range doc.Endpoints {
		centres[cell.EndpointID(at.Name)] = at.DataCentre
	}
	var sizes []int
	for _, part := range cut {
		if part.Region != region {
			continue
		}
		n := 0
		for _, endpoint := range part.Endpoints {
			if centres[endpoint] != without {
				n++
			}
		}
		sizes = append(sizes, n)
	}
	return sizes
}

// TestCut checks that the slices of any document are complete, of even size and independent of the order of the endpoints.
func TestCut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		regions := rapid.SliceOfN(rapid.SliceOfN(rapid.IntRange(0, 40), 1, 4), 1, 3).Draw(rt, "regions")
		count := rapid.IntRange(1, 9).Draw(rt, "count")
		doc := fleetDocument(regions)
		cut := slice.Partition(doc, "pool", count)
		checkWhole(rt, doc, cut, len(regions)*count)
		for _, centre := range doc.DataCentres {
			sizes := sizesOf(doc, cut, centre.Region, "")
			if slices.Max(sizes)-slices.Min(sizes) > 1 {
				rt.Fatalf("the slices of %s have uneven sizes %v", centre.Region, sizes)
			}
			checkCentreOut(rt, doc, cut, centre, count)
		}
		shuffled := *doc
		shuffled.Endpoints = rapid.Permutation(doc.Endpoints).Draw(rt, "order")
		if again := placesOf(slice.Partition(&shuffled, "pool", count)); !equalPlaces(again, placesOf(cut)) {
			rt.Fatalf("the order of the endpoints changes the slices")
		}
	})
}

// checkWhole checks that each endpoint is in exactly one slice, and that the slice is in its region.
func checkWhole(rt *rapid.T, doc *config.Document, cut []slice.Slice, want int) {
	if len(cut) != want {
		rt.Fatalf("%d slices instead of %d", len(cut), want)
	}
	regionOf := map[string]string{}
	for _, centre := range doc.DataCentres {
		regionOf[centre.Name] = centre.Region
	}
	places, total := placesOf(cut), 0
	for _, part := range cut {
		total += len(part.Endpoints)
	}
	if total != len(doc.Endpoints) || len(places) != total {
		rt.Fatalf("%d assignments of %d endpoints, %d of them distinct", total, len(doc.Endpoints), len(places))
	}
	for _, at := range doc.Endpoints {
		home := slices.IndexFunc(cut, func(part slice.Slice) bool { return part.ID == places[cell.EndpointID(at.Name)] })
		if cut[home].Region != regionOf[at.DataCentre] {
			rt.Fatalf("%s of %s is in a slice of %s", at.Name, at.DataCentre, cut[home].Region)
		}
	}
}

// checkCentreOut checks that without one data centre each slice of its region keeps at least its part, rounded down, of the
// endpoints of every other data centre there, and that the sizes of the slices differ by at most two.
func checkCentreOut(rt *rapid.T, doc *config.Document, cut []slice.Slice, out config.DataCentre, count int) {
	sizes := sizesOf(doc, cut, out.Region, out.Name)
	others := 0
	for _, centre := range doc.DataCentres {
		n := 0
		for _, at := range doc.Endpoints {
			if at.DataCentre == centre.Name {
				n++
			}
		}
		if centre.Region == out.Region && centre.Name != out.Name {
			others += n / count
		}
	}
	if slices.Min(sizes) < others || slices.Max(sizes)-slices.Min(sizes) > 2 {
		rt.Fatalf("without %s the sizes are %v; each should have at least %d", out.Name, sizes, others)
	}
}

// equalPlaces reports whether every endpoint that is in both is in the same cell.
func equalPlaces(a, b map[cell.EndpointID]cell.ID) bool {
	return movedPlaces(a, b) == 0
}

// movedPlaces counts the endpoints that are in another cell in b than in a.
func movedPlaces(a, b map[cell.EndpointID]cell.ID) int {
	moved := 0
	for endpoint, place := range a {
		if now, ok := b[endpoint]; ok && now != place {
			moved++
		}
	}
	return moved
}

// TestCutIsStable checks that removing an endpoint moves, on average, fewer others than its region has slices.
func TestCutIsStable(t *testing.T) {
	is := is.New(t)
	const count = 6
	doc := fleetDocument([][]int{{36, 36, 36}, {50, 50}, {33, 34, 33}})
	before := placesOf(slice.Partition(doc, "pool", count))
	total, most := 0, 0
	for i := range doc.Endpoints {
		fewer := *doc
		fewer.Endpoints = slices.Delete(slices.Clone(doc.Endpoints), i, i+1)
		moved := movedPlaces(before, placesOf(slice.Partition(&fewer, "pool", count)))
		total, most = total+moved, max(most, moved)
	}
	mean := float64(total) / float64(len(doc.Endpoints))
	t.Logf("a removed endpoint of %d moves %.2f others on average, %d at most", len(doc.Endpoints), mean, most)
	is.True(mean < count)
}
