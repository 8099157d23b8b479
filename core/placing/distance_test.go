package placing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/crossing"
	"ryelug/core/dispatch"
	"ryelug/core/limit"
	"ryelug/core/placing"
)

const siteSlots = 6

// newService returns a table of a service with three endpoints in each of three data centres.
func newService(mode crossing.Mode) *placing.Table {
	t := placing.New(&limit.Stakes{})
	t.SetCrossing(crossing.Config{Mode: mode, ByteCost: 20 * time.Millisecond})
	policy := &dispatch.Policy{Predicted: true}
	for n := range 9 {
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{
			Endpoint: cell.EndpointID(fmt.Sprint(n)), WarmLimit: siteSlots, Start: "s", DataCentre: string(rune('a' + n/3)),
		})
	}
	t.SetPolicy(policy)
	return t
}

// While no endpoint has reported its pace, the mode "auto" chooses exactly the endpoints that a constant cost of 10 ms for
// another data centre makes the cheapest: deployments without the figure must not notice the mechanism.
func TestConstantDistanceWithoutPace(t *testing.T) {
	is, random := is.New(t), rand.New(rand.NewPCG(3, 4))
	table, now := newService(crossing.Auto), time.Unix(1e9, 0)
	var running [9]int
	var placements []placing.Placement
	for range 20_000 {
		now = now.Add(time.Duration(random.IntN(2000)) * time.Microsecond)
		if len(placements) > 0 && random.IntN(100) < 49 {
			i := random.IntN(len(placements))
			running[placements[i].EndpointIndex]--
			table.Reported(&placements[i], cell.EndpointLoad{}, 5_000) // Bytes without a pace.
			table.Ended(now, &placements[i], cell.Completed)
			placements[i] = placements[len(placements)-1]
			placements = placements[:len(placements)-1]
			continue
		}
		from := random.IntN(3)
		table.Arrived(now, string(rune('a'+from)))
		want, least := -1, time.Duration(0)
		for n, busy := range running {
			cost := 100 * time.Millisecond * time.Duration(busy) / siteSlots
			if n/3 != from {
				cost += 10 * time.Millisecond
			}
			if busy < siteSlots+siteSlots/2 && (want < 0 || cost < least) {
				want, least = n, cost
			}
		}
		choice := table.Choose(now, &placing.Request{Prompt: &cell.Prompt{}, Since: now, Avoid: -1, From: string(rune('a' + from)), WithinShare: true})
		is.Equal(choice.Verdict == placing.Admitted, want >= 0)
		if want < 0 {
			continue
		}
		placed, _ := table.Grant(now, choice, &cell.Prompt{})
		is.Equal(placed.EndpointIndex, int32(want))
		running[want]++
		placements = append(placements, placed)
	}
	is.True(!table.DecidesCrossing())
	is.Equal(len(table.Crossing().Paths()), 0)
}

// With a reported pace, requests stay in their data centre while it has free slots, and all of them leave at once when its
// endpoints close.
func TestRequestsLeaveWithReportedPace(t *testing.T) {
	is, now := is.New(t), time.Unix(1e9, 0)
	table := newService(crossing.Auto)
	choose := func() (placing.Choice, *placing.Request) {
		request := &placing.Request{Prompt: &cell.Prompt{}, Since: now, Deadline: now.Add(150 * time.Millisecond), Avoid: -1, From: "b", WithinShare: true}
		return table.Choose(now, request), request
	}
	table.Reported(&placing.Placement{}, cell.EndpointLoad{Slots: siteSlots, Pace: 100}, 0)
	is.True(table.DecidesCrossing())
	for range 3 * siteSlots {
		choice, request := choose()
		placed, _ := table.Grant(now, choice, request.Prompt)
		is.Equal(placed.EndpointIndex/3, int32(1))
	}
	is.Equal(len(table.Crossing().Paths()), 0)

	policy := &dispatch.Policy{Predicted: true}
	for n := range 9 {
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{
			Endpoint: cell.EndpointID(fmt.Sprint(n)), WarmLimit: siteSlots, Start: "s", DataCentre: string(rune('a' + n/3)), Closed: n/3 == 1,
		})
	}
	table.SetPolicy(policy)
	choice, request := choose()
	is.Equal(choice.Verdict, placing.Admitted)
	placed, _ := table.Grant(now, choice, request.Prompt)
	is.True(placed.EndpointIndex/3 != 1)
	is.Equal(table.Crossing().Paths()[0].ByCause["own_closed"].Requests, int64(1))
}

// newEngines returns a table of engines of five data centres, of which the first engines of "a" are full.
func newEngines(now time.Time, engines, full int) *placing.Table {
	t := placing.New(&limit.Stakes{})
	t.SetCrossing(crossing.Config{Mode: crossing.Always, ByteCost: 20 * time.Millisecond})
	policy := newPolicy(engines)
	for n := range policy.Endpoints {
		policy.Endpoints[n].DataCentre = string(rune('a' + n%5))
	}
	t.SetPolicy(policy)
	for range full * 32 {
		grantFrom(t, now, "a", 1, 100)
	}
	return t
}

// grantFrom places a request of a data centre's callers with a shared part and returns the data centre that it is granted in; -1 if
// none takes it now.
func grantFrom(t *placing.Table, now time.Time, from string, part uint64, shared int) int {
	request := &placing.Request{
		Prompt: &cell.Prompt{Parts: []cell.Part{{ID: part, Tokens: shared}, {ID: part + 1<<32, Tokens: 10}}, Output: 10},
		Since:  now.Add(-200 * time.Millisecond), Deadline: now.Add(time.Second), Avoid: -1, From: from, WithinShare: true,
	}
	t.Arrived(now, from)
	choice := t.Choose(now, request)
	if choice.Verdict != placing.Admitted {
		return -1
	}
	placed, _ := t.Grant(now, choice, request.Prompt)
	t.Begun(now.Add(50*time.Millisecond), &placed)
	if from == "a" && placed.EndpointIndex%5 != 0 {
		t.Ended(now.Add(50*time.Millisecond), &placed, cell.Completed)
	}
	return int(placed.EndpointIndex) % 5
}

// Requests that leave a full data centre go to where their shared part is cached, and all of those with one part to the same data centre
// if it is cached nowhere: elsewhere the part would be read again by each engine.
func TestRequestsLeaveForTheirSharedPart(t *testing.T) {
	is, now := is.New(t), time.Unix(1e9, 0)
	table := newEngines(now, 10, 2)
	for _, engine := range []cell.EndpointID{"3", "8"} {
		table.AddCached(cell.Cached{Endpoint: engine, Part: cell.Part{ID: 5, Tokens: 3000}})
	}
	left := make(map[uint64]map[int]int) // by part and data centre
	for range 400 {
		now = now.Add(5 * time.Millisecond)
		for _, part := range []uint64{5, 6, 7} {
			to := grantFrom(table, now, "a", part, 3000)
			is.True(to != 0)
			if to > 0 {
				if left[part] == nil {
					left[part] = make(map[int]int)
				}
				left[part][to]++
			}
		}
	}
	t.Log(left)
	is.True(left[5][3] > 5)
	for _, part := range []uint64{5, 6, 7} {
		is.True(len(left[part]) == 1)
	}
}

// BenchmarkChooseWithCrossing measures a decision among 140 engines of five data centres, of which one is full.
func BenchmarkChooseWithCrossing(b *testing.B) {
	now := time.Unix(1e9, 0)
	table := newEngines(now, 140, 28)
	request := &placing.Request{
		Prompt: &cell.Prompt{Parts: []cell.Part{{ID: 5, Tokens: 3000}, {ID: 6, Tokens: 10}}, Output: 10},
		Since:  now.Add(-200 * time.Millisecond), Avoid: -1, From: "a", WithinShare: true,
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(20 * time.Microsecond)
		request.Deadline = now.Add(time.Second)
		table.Arrived(now, "a")
		table.Choose(now, request)
	}
}
