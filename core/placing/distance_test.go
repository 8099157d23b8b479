package placing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/crossing"
	"ryelug/core/dispatch"
	"ryelug/core/engine"
	"ryelug/core/limit"
	"ryelug/core/placing"
)

const siteSlots = 6

// newSites returns a table of a service with three endpoints in each of three data centres.
func newSites(mode crossing.Mode) *placing.Table {
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
	table, now := newSites(crossing.Auto), time.Unix(1e9, 0)
	var running [9]int
	var placements []placing.Placement
	for range 20_000 {
		now = now.Add(time.Duration(random.IntN(2000)) * time.Microsecond)
		if len(placements) > 0 && random.IntN(100) < 49 {
			i := random.IntN(len(placements))
			running[placements[i].EndpointIndex]--
			table.Reported(&placements[i], 5_000) // Bytes without a pace.
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

// Guards against a mechanism that acts in other cells than those that ask for it: "auto" asks for it in pools of engines that report
// their pace, and not for the calls of a service, which share all free slots.
func TestAutoDecidesForPacedEngines(t *testing.T) {
	for name, profile := range map[string]*engine.Profile{"engines": {Slots: siteSlots}, "service": nil} {
		t.Run(name, func(t *testing.T) {
			is, now := is.New(t), time.Unix(1e9, 0)
			table := newSites(crossing.Auto)
			table.SetPolicy(&dispatch.Policy{Predicted: true, Engine: profile, Endpoints: []dispatch.EndpointPolicy{
				{Endpoint: "0", WarmLimit: siteSlots, Start: "s", DataCentre: "a"},
			}})
			is.True(!table.DecidesCrossing())
			table.Report(now, &placing.Placement{EndpointIndex: table.Find("0"), Start: "s"}, cell.EndpointLoad{Slots: siteSlots, Pace: 100})
			is.Equal(table.DecidesCrossing(), profile != nil)
		})
	}
}

// Requests stay in their data centre while it has free slots, and all of them leave at once when its endpoints close.
func TestRequestsLeaveWhenTheirDataCentreCloses(t *testing.T) {
	is, now := is.New(t), time.Unix(1e9, 0)
	table := newSites(crossing.Always)
	choose := func() (placing.Choice, *placing.Request) {
		request := &placing.Request{Prompt: &cell.Prompt{}, Since: now, Deadline: now.Add(150 * time.Millisecond), Avoid: -1, From: "b", WithinShare: true}
		return table.Choose(now, request), request
	}
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

// A retry that avoids the only open endpoint of its data centre goes to another one.
func TestRetryAvoidsOnlyOwnEndpoint(t *testing.T) {
	is, now := is.New(t), time.Unix(1e9, 0)
	table := newSites(crossing.Always)
	table.SetPolicy(&dispatch.Policy{Predicted: true, Endpoints: []dispatch.EndpointPolicy{
		{Endpoint: "0", WarmLimit: siteSlots, Start: "s", DataCentre: "a"}, {Endpoint: "3", WarmLimit: siteSlots, Start: "s", DataCentre: "b"},
	}})
	choice := table.Choose(now, &placing.Request{Prompt: &cell.Prompt{}, Since: now, Avoid: table.Find("0"), From: "a", WithinShare: true})
	is.Equal(choice.Verdict, placing.Admitted)
}

// Attempts that a cut path loses don't make endpoints count as failing for the callers of their own data centre.
func TestCutPathIsNotTheEndpointsFailure(t *testing.T) {
	is, now := is.New(t), time.Unix(1e9, 0)
	table := newSites(crossing.Always)
	place := func(from string) (placing.Placement, bool) {
		now = now.Add(200 * time.Millisecond)
		request := &placing.Request{Prompt: &cell.Prompt{}, Since: now, Avoid: -1, From: from, WithinShare: true}
		choice := table.Choose(now, request)
		if choice.Verdict != placing.Admitted {
			return placing.Placement{}, false
		}
		placed, _ := table.Grant(now, choice, request.Prompt)
		return placed, true
	}
	table.SetPolicy(&dispatch.Policy{Predicted: true, Endpoints: []dispatch.EndpointPolicy{
		{Endpoint: "0", WarmLimit: siteSlots, Start: "s", DataCentre: "a"}, {Endpoint: "3", WarmLimit: siteSlots, Start: "s", DataCentre: "b"},
	}})
	for range 50 { // Callers of "d", which has no endpoints, reach neither of the others.
		if placed, ok := place("d"); ok {
			table.Ended(now, &placed, cell.Unreached)
		}
		placed, ok := place("a")
		is.True(ok)
		is.Equal(table.Name(placed.EndpointIndex), cell.EndpointID("0"))
		table.Ended(now, &placed, cell.Completed)
	}
}

// Requests that a full data centre can't take go over a cut, failing or slow path only as attempts that show whether it has recovered;
// otherwise they would be lost or late although slots of their own data centre become free.
func TestOverflowStaysAwayFromDisturbedPaths(t *testing.T) {
	const left = 150 * time.Millisecond
	for name, end := range map[string]func(*placing.Table, time.Time, *placing.Placement){
		"cut":     func(*placing.Table, time.Time, *placing.Placement) {},
		"failing": func(t *placing.Table, now time.Time, placed *placing.Placement) { t.Ended(now, placed, cell.Unreached) },
		"slow": func(t *placing.Table, now time.Time, placed *placing.Placement) {
			t.Ended(now.Add(2*left), placed, cell.Completed)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is, now := is.New(t), time.Unix(1e9, 0)
			table := newSites(crossing.Always)
			table.SetPolicy(&dispatch.Policy{Predicted: true, Endpoints: []dispatch.EndpointPolicy{
				{Endpoint: "0", WarmLimit: 1, Start: "s", DataCentre: "a"}, {Endpoint: "3", WarmLimit: 2000, Start: "s", DataCentre: "b"},
			}})
			place := func(from string) (placing.Placement, bool) {
				request := &placing.Request{Prompt: &cell.Prompt{}, Since: now, Deadline: now.Add(left), Avoid: -1, From: from, WithinShare: true}
				table.Arrived(now, from)
				choice := table.Choose(now, request)
				if choice.Verdict != placing.Admitted {
					return placing.Placement{}, false
				}
				placed, _ := table.Grant(now, choice, request.Prompt)
				return placed, true
			}
			for range 100 { // The usual time of an answer in "b".
				placed, ok := place("b")
				is.True(ok)
				now = now.Add(30 * time.Millisecond)
				table.Ended(now, &placed, cell.Completed)
			}
			for range 2 { // A slot and the wait for one.
				placed, ok := place("a")
				is.True(ok)
				is.Equal(placed.EndpointIndex, table.Find("0"))
			}
			var crossed [6]int // by second
			for i := range 600 {
				now = now.Add(10 * time.Millisecond)
				if placed, ok := place("a"); ok {
					is.Equal(placed.EndpointIndex, table.Find("3"))
					crossed[i/100]++
					end(table, now, &placed)
				}
			}
			t.Log("crossed ", crossed)
			is.True(crossed[0] > 0)
			for _, number := range crossed[1:] {
				is.True(number <= 3)
			}
		})
	}
}

// engines is a table of engines of five data centres, "a" to "e", whose requests end 100 ms after the predicted first token.
type engines struct {
	*placing.Table
	now     time.Time
	running []*run
}

type run struct {
	placed placing.Placement
	begins time.Time
	begun  bool
}

func newEngines(number int) *engines {
	t := &engines{Table: placing.New(&limit.Stakes{}), now: time.Unix(1e9, 0)}
	t.SetCrossing(crossing.Config{Mode: crossing.Always, ByteCost: 20 * time.Millisecond})
	policy := newPolicy(number)
	for n := range policy.Endpoints {
		policy.Endpoints[n].DataCentre = string(rune('a' + n%5))
	}
	t.SetPolicy(policy)
	return t
}

// place places a request of the callers of "a" that has waited since then, whose prompt has a shared and a short other part. It returns
// the number of the data centre that it is granted in if the verdict is Admitted.
func (t *engines) place(since time.Time, part uint64, shared int) (int, placing.Verdict) {
	t.running = slices.DeleteFunc(t.running, func(one *run) bool {
		if !one.begun && !t.now.Before(one.begins) {
			one.begun = true
			t.Begun(t.now, &one.placed)
		}
		isEnding := t.now.After(one.begins.Add(100 * time.Millisecond))
		if isEnding {
			t.Ended(t.now, &one.placed, cell.Completed)
		}
		return isEnding
	})
	request := &placing.Request{
		Prompt: &cell.Prompt{Parts: []cell.Part{{ID: part, Tokens: shared}, {ID: part + 1<<32, Tokens: 10}}, Output: 10},
		Since:  since, Deadline: since.Add(600 * time.Millisecond), Avoid: -1, From: "a", WithinShare: true,
	}
	if since.Equal(t.now) {
		t.Arrived(t.now, "a")
	}
	choice := t.Choose(t.now, request)
	if choice.Verdict != placing.Admitted {
		return 0, choice.Verdict
	}
	placed, grant := t.Grant(t.now, choice, request.Prompt)
	t.running = append(t.running, &run{placed: placed, begins: t.now.Add(grant.Predicted)})
	return int(placed.EndpointIndex) % 5, choice.Verdict
}

// Requests leave a data centre whose engines have free slots but so many prompts to read that they would be late: 19 of 20 are
// served in time once the share has risen.
func TestRequestsLeaveLateEngines(t *testing.T) {
	is, table := is.New(t), newEngines(10)
	var refused, own int
	var waiting []time.Time
	for i := range 2000 {
		table.now = table.now.Add(10 * time.Millisecond)
		waiting = append(waiting, table.now)
		var kept []time.Time
		for n, since := range waiting {
			to, verdict := table.place(since, uint64(1000*i+n), 5000) // Two engines read 0.4 of these prompts.
			switch {
			case verdict == placing.Waits:
				kept = append(kept, since)
			case verdict != placing.Admitted && i >= 1000:
				refused++
			case verdict == placing.Admitted && to == 0:
				own++
			}
		}
		waiting = kept
	}
	t.Log("refused ", refused, " own ", own)
	is.True(refused <= 50) // Of 1,000; the others wait for their turn to leave.
	is.True(own > 300)
}

// Guards against a path that counts as slow because an engine's whole answer, which has no first token, takes longer than the first
// tokens of others.
func TestWholeAnswersSayNothingOfTheDelay(t *testing.T) {
	is, now := is.New(t), time.Unix(1e9, 0)
	table := placing.New(&limit.Stakes{})
	table.SetCrossing(crossing.Config{Mode: crossing.Always})
	policy := newPolicy(1)
	policy.Endpoints[0].DataCentre = "b"
	table.SetPolicy(policy)
	prompt := cell.Prompt{Parts: []cell.Part{{ID: 1, Tokens: 10}}, Output: 10}
	place := func(from string) placing.Placement {
		request := &placing.Request{Prompt: &prompt, Since: now, Deadline: now.Add(time.Second), Avoid: -1, From: from, WithinShare: true}
		choice := table.Choose(now, request)
		is.Equal(choice.Verdict, placing.Admitted)
		placed, _ := table.Grant(now, choice, &prompt)
		now = now.Add(100 * time.Millisecond)
		return placed
	}
	for range 20 {
		stream := place("b")
		table.Begun(now, &stream)
		table.Ended(now, &stream, cell.Completed)
	}
	whole := place("a")
	now = now.Add(5 * time.Second)
	table.Ended(now, &whole, cell.Completed)
	is.True(table.Crossing().Paths()[0].Delay <= 10*time.Millisecond)
	is.True(!table.Crossing().Paths()[0].IsProbed)
}

// Requests that leave go to where their shared part is cached, and all of those with one part to the same data centre if it is cached
// nowhere: elsewhere the part would be read again.
func TestRequestsLeaveForTheirSharedPart(t *testing.T) {
	is, table := is.New(t), newEngines(10)
	for range 64 {
		table.place(table.now.Add(-100*time.Millisecond), 1, 100)
		table.Begun(table.now, &table.running[len(table.running)-1].placed)
	}
	table.running = nil // They occupy the slots of "a" throughout.
	for _, engine := range []cell.EndpointID{"3", "8"} {
		table.AddCached(cell.Cached{Endpoint: engine, Part: cell.Part{ID: 5, Tokens: 3000}})
	}
	left := make(map[uint64]map[int]int) // by part and data centre
	for i := range 600 {
		table.now = table.now.Add(20 * time.Millisecond)
		part, shared := uint64(5+i%3), 3000
		if i < 200 {
			part, shared = uint64(1000+i), 30 // Until the paths have been answered on, they get single requests only.
		}
		if to, verdict := table.place(table.now.Add(-100*time.Millisecond), part, shared); verdict == placing.Admitted {
			if part < 1000 && left[part] == nil {
				left[part] = make(map[int]int)
			}
			if part < 1000 {
				left[part][to]++
			}
		}
		table.Arrived(table.now, "a")
	}
	t.Log(left)
	is.True(left[5][3] > 5)
	for _, part := range []uint64{5, 6, 7} {
		is.Equal(len(left[part]), 1)
	}
}

// BenchmarkChooseWithCrossing measures a decision among 140 engines of five data centres, of which one is full.
func BenchmarkChooseWithCrossing(b *testing.B) {
	table := newEngines(140)
	for range 28 * 32 {
		table.place(table.now.Add(-100*time.Millisecond), 1, 100)
	}
	for i := range table.running {
		table.Begun(table.now, &table.running[i].placed)
	}
	now := table.now
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
