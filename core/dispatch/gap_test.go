package dispatch_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/fair"
)

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// runningRequest is a request that runs at the workload's endpoint.
type runningRequest struct {
	team         int
	cost, served cell.Cost // cost is the whole cost of the request, served the cost so far.
	reported     cell.Cost // reported is the cost that the dispatcher was told last.
}

// workload serves random requests through a sequence of dispatchers and measures the differences in service between
// teams (gaps).
type workload struct {
	*harness
	rand                  *rand.Rand
	policy                dispatch.Policy
	order                 dispatch.Order
	dispatchers           int
	waiting               []map[cell.AttemptID]bool
	runs                  map[cell.AttemptID]*runningRequest
	runOrder              []cell.AttemptID // runOrder holds the keys of runs, in the order of their grants.
	service               []float64
	gaps                  map[[2]int]*gapRange
	granted               int
	othersCost            float64 // othersCost is the cost granted to other teams since the last grant to team 0, while it waits.
	maxOthersCost         float64 // maxOthersCost is the greatest value of othersCost at a grant to team 0.
	carriedCounters       []cell.TeamCounter
	carriesLatestCounters bool // carriesLatestCounters is true if entry routers have the dispatcher's final counters at each hand-over.
}

// gapRange is the range of the difference in service, cost divided by share, of two teams while both are backlogged.
type gapRange struct {
	least, most float64
	handOvers   int
}

func newWorkload(t testing.TB, seed uint64, shares []int, slots int, order dispatch.Order) *workload {
	wl := &workload{
		harness: &harness{I: is.New(t), now: startTime, lastAttempt: 1}, order: order,
		rand: rand.New(rand.NewPCG(seed, 1)), runs: map[cell.AttemptID]*runningRequest{},
		service: make([]float64, len(shares)), gaps: map[[2]int]*gapRange{},
	}
	wl.policy = testPolicy(1, slots)
	wl.policy.QueueTimeout = 0
	wl.policy.Teams, wl.policy.QueueLimit = nil, 0
	for i, share := range shares {
		wl.policy.Teams = append(wl.policy.Teams, dispatch.TeamPolicy{Team: cell.TeamID(fmt.Sprint(i)), Share: share})
		wl.waiting = append(wl.waiting, map[cell.AttemptID]bool{})
	}
	wl.handOver()
	return wl
}

// handOver replaces the dispatcher. The entry router joins the new one with its flights and the last counters it saw.
func (wl *workload) handOver() {
	wl.dispatchers++
	wl.d = dispatch.New(dispatch.Config{Cell: "cell", Order: wl.order})
	wl.step(&wl.policy)
	wl.step(&dispatch.Voters{Hosts: []cell.HostID{"h0"}, Total: 1})
	wl.load(len(wl.runs), wl.now, false, 100)
	join := &dispatch.Join{Router: router(0), Session: 1, Stake: true, Counters: wl.carriedCounters}
	for _, id := range wl.runOrder {
		r := wl.runs[id]
		join.Flights = append(join.Flights, cell.Flight{
			Attempt: id, Team: wl.policy.Teams[r.team].Team, Endpoint: "e", Start: "s1", Charged: r.reported,
		})
	}
	wl.step(join)
	wl.step(&dispatch.Renew{Router: router(0), Session: 1, StakeUntil: wl.now.Add(time.Hour)})
	for team := range wl.waiting {
		old := len(wl.waiting[team])
		wl.waiting[team] = map[cell.AttemptID]bool{}
		wl.demand(team, old)
	}
	for _, gap := range wl.gaps {
		if !wl.carriesLatestCounters {
			gap.handOvers++
		}
	}
}

func (wl *workload) demand(team, n int) {
	for range n {
		wl.lastAttempt++
		wl.waiting[team][wl.lastAttempt] = true
		hint := cell.Cost(wl.rand.Int64N(2 * int64(wl.policy.LargestCost)))
		wl.step(&dispatch.Want{Router: router(0), Session: 1, Demands: []cell.Demand{
			{Attempt: wl.lastAttempt, Team: wl.policy.Teams[team].Team, Estimate: hint},
		}})
	}
}

func (wl *workload) step(ev dispatch.Event) {
	wl.grants = wl.grants[:0]
	wl.harness.step(ev)
	for _, grant := range wl.grants {
		id := grant.Grant.Attempt
		for team := range wl.waiting {
			if wl.waiting[team][id] {
				delete(wl.waiting[team], id)
				wl.granted++
				wl.runs[id] = &runningRequest{team: team, cost: 1 + cell.Cost(wl.rand.Int64N(int64(wl.policy.LargestCost)))}
				wl.recordOthersCost(wl.runs[id])
				wl.runOrder = append(wl.runOrder, id)
			}
		}
	}
}

// recordOthersCost records the cost granted to other teams while team 0 waits.
func (wl *workload) recordOthersCost(granted *runningRequest) {
	wl.othersCost += float64(granted.cost)
	if granted.team == 0 || len(wl.waiting[0]) == 0 {
		wl.maxOthersCost, wl.othersCost = max(wl.maxOthersCost, wl.othersCost), 0
	}
}

// serve advances a random running request, which then ends or may report its progress.
func (wl *workload) serve() {
	if len(wl.runOrder) == 0 {
		return
	}
	place := wl.rand.IntN(len(wl.runOrder))
	id := wl.runOrder[place]
	r := wl.runs[id]
	part := min(r.cost-r.served, cell.Cost(wl.rand.Int64N(int64(wl.policy.LargestCost))))
	r.served += part
	wl.service[r.team] += float64(part) / float64(wl.policy.Teams[r.team].Share)
	if r.served == r.cost {
		wl.runOrder = append(wl.runOrder[:place], wl.runOrder[place+1:]...)
		delete(wl.runs, id)
		wl.end(dispatch.GrantTo{Router: router(0), Grant: cell.Grant{Attempt: id}}, cell.Completed, r.cost)
	} else if wl.rand.IntN(3) == 0 {
		r.reported = r.served
		wl.step(&dispatch.Progressed{Router: router(0), Session: 1, Progress: []cell.Progress{{Attempt: id, Cost: r.served}}})
	}
}

func (wl *workload) end(grant dispatch.GrantTo, outcome cell.Outcome, cost cell.Cost) {
	wl.step(&dispatch.Ended{Router: grant.Router, Ends: []cell.End{{Attempt: grant.Grant.Attempt, Outcome: outcome, Cost: cost}}})
}

// measure returns the greatest gap between two teams, divided by its bound. It also asserts that all slots are in use
// while any request waits.
func (wl *workload) measure() (worst float64) {
	for a := range wl.waiting {
		if len(wl.waiting[a]) > 0 {
			wl.Equal(len(wl.runs), wl.policy.Endpoints[0].WarmLimit) // Every slot must be in use, since a request waits.
		}
		for b := range a {
			worst = max(worst, wl.gap([2]int{a, b}))
		}
	}
	return worst
}

func (wl *workload) gap(pair [2]int) float64 {
	if len(wl.waiting[pair[0]]) == 0 || len(wl.waiting[pair[1]]) == 0 {
		delete(wl.gaps, pair)
		return 0
	}
	ahead := wl.service[pair[0]] - wl.service[pair[1]]
	gap, ok := wl.gaps[pair]
	if !ok {
		gap = &gapRange{least: ahead, most: ahead}
		wl.gaps[pair] = gap
	}
	gap.least, gap.most = math.Min(gap.least, ahead), math.Max(gap.most, ahead)
	return (gap.most - gap.least) / fair.GapBound(wl.bound(pair, gap.handOvers))
}

func (wl *workload) bound(pair [2]int, handOvers int) fair.Bound {
	least := math.MaxInt
	for _, team := range wl.policy.Teams {
		least = min(least, team.Share)
	}
	return fair.Bound{
		LargestCost: wl.policy.LargestCost, Slots: wl.policy.Endpoints[0].WarmLimit, HandOvers: handOvers,
		ShareA: wl.policy.Teams[pair[0]].Share, ShareB: wl.policy.Teams[pair[1]].Share, LeastShare: least,
		Unreported: 10 * wl.policy.LargestCost,
	}
}

// run runs the workload with more demand from some teams than can be served, with hand-overs if wanted. It returns
// the greatest gap divided by its bound.
func (wl *workload) run(steps int, handOvers bool) (worst float64) {
	for range steps {
		wl.now = wl.now.Add(time.Millisecond)
		team := wl.rand.IntN(len(wl.waiting))
		floods := team % 2 // Odd teams have long queues, even ones short queues.
		if wl.carriesLatestCounters {
			floods = 1
		}
		switch n := wl.rand.IntN(60); {
		case n < 12 && len(wl.waiting[team]) < 2+20*floods:
			wl.demand(team, 1+10*floods)
		case handOvers && (n == 12 || wl.carriesLatestCounters && n < 30):
			if wl.carriesLatestCounters {
				wl.carriedCounters = wl.d.Counters(wl.carriedCounters[:0])
			}
			wl.handOver()
		case n == 59:
			wl.carriedCounters = wl.d.Counters(wl.carriedCounters[:0])
		default:
			wl.serve()
		}
		worst = max(worst, wl.measure())
	}
	return worst
}

func TestGapStaysWithinBound(t *testing.T) {
	for _, handOvers := range []bool{false, true} {
		t.Run(fmt.Sprint("hand-overs ", handOvers), rapid.MakeCheck(func(rt *rapid.T) {
			shares := rapid.SliceOfN(rapid.IntRange(1, 9), 2, 6).Draw(rt, "shares")
			slots := rapid.IntRange(1, 6).Draw(rt, "slots")
			wl := newWorkload(t, rapid.Uint64().Draw(rt, "seed"), shares, slots, dispatch.Fair{})
			if worst := wl.run(1500, handOvers); worst > 1 {
				rt.Fatalf("greatest gap divided by its bound is %.2f, want at most 1", worst)
			}
		}))
	}
}

// Hand-overs must not increase the gap if entry routers bring the final counters of the previous dispatcher: the bound
// without hand-overs holds however often the dispatcher changes.
func TestFreshCountersAddNothing(t *testing.T) {
	wl := newWorkload(t, 1, []int{1, 2, 1}, 3, dispatch.Fair{})
	wl.carriesLatestCounters = true
	worst := wl.run(20000, true)
	wl.True(worst < 1)
	t.Logf("greatest gap divided by its bound: %.2f, with %d dispatchers", worst, wl.dispatchers)
}

// A team of the smallest share must wait no longer than the bound while all other teams have long queues. With
// first-come-first-served order it waits longer.
func TestSmallestShareWaits(t *testing.T) {
	wait := func(order dispatch.Order) float64 {
		wl := newWorkload(t, 1, []int{1, 9, 9, 9}, 2, order)
		for range 20000 {
			wl.now = wl.now.Add(time.Millisecond)
			if team := wl.rand.IntN(4); len(wl.waiting[team]) < 2000*min(team, 1)+1 {
				wl.demand(team, 1)
			}
			wl.serve()
		}
		return wl.maxOthersCost / fair.WaitBound(wl.bound([2]int{0, 1}, 0), 4, 28)
	}
	is := is.New(t)
	fairly, firstCome := wait(dispatch.Fair{}), wait(dispatch.FirstCome{})
	t.Logf("longest wait divided by its bound: fair %.2f, first come first served %.2f", fairly, firstCome)
	is.True(fairly <= 1)
	is.True(firstCome > 1)
}

// With first-come-first-served order the same workload must exceed the bound, which shows that the bound is not trivial.
func TestFirstComeExceedsBound(t *testing.T) {
	wl := newWorkload(t, 1, []int{1, 1, 1}, 3, dispatch.FirstCome{})
	worst := wl.run(20000, false)
	wl.True(worst > 2)
	t.Logf("first come first served: greatest gap divided by its bound is %.1f after %d grants", worst, wl.granted)
}
