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

// run is a request at the endpoint of a flow.
type run struct {
	team         int
	cost, served cell.Cost
	reported     cell.Cost
}

// flow serves teams through one dispatcher after another and measures the gaps.
type flow struct {
	*bench
	rand    *rand.Rand
	policy  dispatch.Policy
	order   dispatch.Order
	epoch   int
	waiting []map[cell.AttemptID]bool
	runs    map[cell.AttemptID]*run
	ids     []cell.AttemptID // ids are the keys of runs, in the order of their grants.
	service []float64
	gaps    map[[2]int]*span
	granted int
	ahead   float64 // ahead is the cost of what others got while team 0 waits.
	longest float64 // longest is the greatest such value.
	carried []cell.TeamCounter
	isFresh bool // isFresh is true if entries have seen the counters of the moment when a dispatcher dies.
}

// span is the range of the difference in service of two teams while both are backlogged.
type span struct {
	least, most float64
	handOvers   int
}

func newFlow(t testing.TB, seed uint64, shares []int, slots int, order dispatch.Order) *flow {
	f := &flow{
		bench: &bench{I: is.New(t), now: began, next: 1}, order: order,
		rand: rand.New(rand.NewPCG(seed, 1)), runs: map[cell.AttemptID]*run{},
		service: make([]float64, len(shares)), gaps: map[[2]int]*span{},
	}
	f.policy = onePool(1, slots)
	f.policy.QueueTimeout = 0
	f.policy.Teams, f.policy.QueueLimit = nil, 0
	for i, share := range shares {
		f.policy.Teams = append(f.policy.Teams, dispatch.TeamPolicy{Team: cell.TeamID(fmt.Sprint(i)), Share: share})
		f.waiting = append(f.waiting, map[cell.AttemptID]bool{})
	}
	f.handOver()
	return f
}

// handOver replaces the dispatcher; the entry brings its flights and the counters it saw last.
func (f *flow) handOver() {
	f.epoch++
	f.d = dispatch.New(dispatch.Config{Cell: "cell", Order: f.order})
	f.step(&f.policy)
	f.step(&dispatch.Voters{Hosts: []cell.HostID{"h0"}, Total: 1})
	f.load(len(f.runs), f.now, false, 100)
	join := &dispatch.Join{Router: router(0), Session: 1, Stake: true, Counters: f.carried}
	for _, id := range f.ids {
		at := f.runs[id]
		join.Flights = append(join.Flights, cell.Flight{
			Attempt: id, Team: f.policy.Teams[at.team].Team, Endpoint: "e", Start: "s1", Charged: at.reported,
		})
	}
	f.step(join)
	f.step(&dispatch.Renew{Router: router(0), Session: 1, StakeUntil: f.now.Add(time.Hour)})
	for team := range f.waiting {
		old := len(f.waiting[team])
		f.waiting[team] = map[cell.AttemptID]bool{}
		f.demand(team, old)
	}
	for _, gap := range f.gaps {
		if !f.isFresh {
			gap.handOvers++
		}
	}
}

func (f *flow) demand(team, n int) {
	for range n {
		f.next++
		f.waiting[team][f.next] = true
		hint := cell.Cost(f.rand.Int64N(2 * int64(f.policy.LargestCost)))
		f.step(&dispatch.Want{Router: router(0), Session: 1, Demands: []cell.Demand{
			{Attempt: f.next, Team: f.policy.Teams[team].Team, Estimate: hint},
		}})
	}
}

func (f *flow) step(ev dispatch.Event) {
	f.grants = f.grants[:0]
	f.bench.step(ev)
	for _, grant := range f.grants {
		id := grant.Grant.Attempt
		for team := range f.waiting {
			if f.waiting[team][id] {
				delete(f.waiting[team], id)
				f.granted++
				f.runs[id] = &run{team: team, cost: 1 + cell.Cost(f.rand.Int64N(int64(f.policy.LargestCost)))}
				f.waitFor(f.runs[id])
				f.ids = append(f.ids, id)
			}
		}
	}
}

// waitFor notes what others got since the last grant to team 0, while it waited.
func (f *flow) waitFor(granted *run) {
	f.ahead += float64(granted.cost)
	if granted.team == 0 || len(f.waiting[0]) == 0 {
		f.longest, f.ahead = max(f.longest, f.ahead), 0
	}
}

// serve lets one request advance, report its progress or end.
func (f *flow) serve() {
	if len(f.ids) == 0 {
		return
	}
	place := f.rand.IntN(len(f.ids))
	id := f.ids[place]
	at := f.runs[id]
	part := min(at.cost-at.served, cell.Cost(f.rand.Int64N(int64(f.policy.LargestCost))))
	at.served += part
	f.service[at.team] += float64(part) / float64(f.policy.Teams[at.team].Share)
	if at.served == at.cost {
		f.ids = append(f.ids[:place], f.ids[place+1:]...)
		delete(f.runs, id)
		f.end(dispatch.GrantTo{Router: router(0), Grant: cell.Grant{Attempt: id}}, cell.Completed, at.cost)
	} else if f.rand.IntN(3) == 0 {
		at.reported = at.served
		f.step(&dispatch.Progressed{Router: router(0), Session: 1, Progress: []cell.Progress{{Attempt: id, Cost: at.served}}})
	}
}

func (f *flow) end(grant dispatch.GrantTo, outcome cell.Outcome, cost cell.Cost) {
	f.step(&dispatch.Ended{Router: grant.Router, Ends: []cell.End{{Attempt: grant.Grant.Attempt, Outcome: outcome, Cost: cost}}})
}

// measure returns the greatest gap between two teams over its bound, and checks that no slot idles.
func (f *flow) measure() (worst float64) {
	for a := range f.waiting {
		if len(f.waiting[a]) > 0 {
			f.Equal(len(f.runs), f.policy.Endpoints[0].WarmLimit) // Work waits, so every slot is in use.
		}
		for b := range a {
			worst = max(worst, f.gap([2]int{a, b}))
		}
	}
	return worst
}

func (f *flow) gap(pair [2]int) float64 {
	if len(f.waiting[pair[0]]) == 0 || len(f.waiting[pair[1]]) == 0 {
		delete(f.gaps, pair)
		return 0
	}
	ahead := f.service[pair[0]] - f.service[pair[1]]
	gap, ok := f.gaps[pair]
	if !ok {
		gap = &span{least: ahead, most: ahead}
		f.gaps[pair] = gap
	}
	gap.least, gap.most = math.Min(gap.least, ahead), math.Max(gap.most, ahead)
	return (gap.most - gap.least) / fair.GapBound(f.bound(pair, gap.handOvers))
}

func (f *flow) bound(pair [2]int, handOvers int) fair.Bound {
	least := math.MaxInt
	for _, team := range f.policy.Teams {
		least = min(least, team.Share)
	}
	return fair.Bound{
		LargestCost: f.policy.LargestCost, Slots: f.policy.Endpoints[0].WarmLimit, HandOvers: handOvers,
		ShareA: f.policy.Teams[pair[0]].Share, ShareB: f.policy.Teams[pair[1]].Share, LeastShare: least,
		Unreported: 10 * f.policy.LargestCost,
	}
}

// play runs a flow with floods of some teams, and with hand-overs if wanted, and returns the worst gap over its bound.
func (f *flow) play(steps int, handOvers bool) (worst float64) {
	for range steps {
		f.now = f.now.Add(time.Millisecond)
		team := f.rand.IntN(len(f.waiting))
		floods := team % 2 // Odd teams flood, even ones keep a short queue.
		if f.isFresh {
			floods = 1
		}
		switch n := f.rand.IntN(60); {
		case n < 12 && len(f.waiting[team]) < 2+20*floods:
			f.demand(team, 1+10*floods)
		case handOvers && (n == 12 || f.isFresh && n < 30):
			if f.isFresh {
				f.carried = f.d.Counters(f.carried[:0])
			}
			f.handOver()
		case n == 59:
			f.carried = f.d.Counters(f.carried[:0])
		default:
			f.serve()
		}
		worst = max(worst, f.measure())
	}
	return worst
}

func TestGapStaysWithinBound(t *testing.T) {
	for _, handOvers := range []bool{false, true} {
		t.Run(fmt.Sprint("hand-overs ", handOvers), rapid.MakeCheck(func(rt *rapid.T) {
			shares := rapid.SliceOfN(rapid.IntRange(1, 9), 2, 6).Draw(rt, "shares")
			slots := rapid.IntRange(1, 6).Draw(rt, "slots")
			f := newFlow(t, rapid.Uint64().Draw(rt, "seed"), shares, slots, dispatch.Fair{})
			if worst := f.play(1500, handOvers); worst > 1 {
				rt.Fatalf("the gap is %.2f of its bound", worst)
			}
		}))
	}
}

// Counters carried at the last moment lose nothing: however often the dispatcher changes, the bound stays.
func TestFreshCountersAddNothing(t *testing.T) {
	f := newFlow(t, 1, []int{1, 2, 1}, 3, dispatch.Fair{})
	f.isFresh = true
	worst := f.play(20000, true)
	f.True(worst < 1)
	t.Logf("%.2f of the bound over %d dispatchers", worst, f.epoch)
}

// A team of the smallest share waits no longer than the bound beside floods of all others.
func TestSmallestShareWaits(t *testing.T) {
	wait := func(order dispatch.Order) float64 {
		f := newFlow(t, 1, []int{1, 9, 9, 9}, 2, order)
		for range 20000 {
			f.now = f.now.Add(time.Millisecond)
			if team := f.rand.IntN(4); len(f.waiting[team]) < 2000*min(team, 1)+1 {
				f.demand(team, 1)
			}
			f.serve()
		}
		return f.longest / fair.WaitBound(f.bound([2]int{0, 1}, 0), 4, 28)
	}
	is := is.New(t)
	fairly, firstCome := wait(dispatch.Fair{}), wait(dispatch.FirstCome{})
	t.Logf("longest wait over its bound: fair %.2f, first come first served %.2f", fairly, firstCome)
	is.True(fairly <= 1)
	is.True(firstCome > 1)
}

// The same load exceeds the bound when it is served first come first served.
func TestFirstComeExceedsBound(t *testing.T) {
	f := newFlow(t, 1, []int{1, 1, 1}, 3, dispatch.FirstCome{})
	worst := f.play(20000, false)
	f.True(worst > 2)
	t.Logf("first come first served: %.1f of the bound after %d grants", worst, f.granted)
}
