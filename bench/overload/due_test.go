package overload

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	dueSeeds   = flag.Int("due-seeds", 1, "the number of seeds of the drawn floods")
	dueFirst   = flag.Uint64("due-first", 30, "the first seed of the drawn floods")
	dueEngines = flag.Int("due-engines", 45, "the number of engines in the drawn floods")
	dueLength  = flag.Duration("due-length", 12*time.Second, "the length of a drawn flood")
	duePlays   = flag.Int("due-plays", 2, "the number of plays at a time")
)

const (
	longLived = Span(time.Hour) // longLived is beyond the end of each play.
	fullFleet = 90              // fullFleet is the number of engines that the rates of the plan are for.
)

// flood is a drawn plan and what was drawn for its teams.
type flood struct {
	plan  *Plan
	hot   []int
	quiet int
}

// role says what was drawn for a team.
func (f *flood) role(team int) string {
	switch {
	case slices.Contains(f.hot, team):
		return "hot"
	case team == f.quiet:
		return "quiet before"
	}
	return "ordinary"
}

// drawFlood draws a load for so many engines: some teams become hot, a large one is quiet for a while and comes back,
// and in half of the draws a quarter of the engines crash.
func drawFlood(t *testing.T, seed uint64, engines int) *flood {
	t.Helper()
	plan, err := ReadPlan("plans/hot_team.toml")
	is.New(t).NoErr(err)
	part := float64(engines) / fullFleet
	random := rand.New(rand.NewPCG(seed, 3))
	between := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	at := func(seconds float64) Span { return Span(seconds * float64(time.Second)) }
	plan.Seed, plan.Length, plan.Engines, plan.FairRate = seed, Span(*dueLength), engines, plan.FairRate*part
	plan.Skew, plan.AtOnce, plan.Waves = between(1.5, 2.2), between(0, 0.3), nil
	for i := range plan.Kinds {
		plan.Kinds[i].Rate *= part
	}
	if random.IntN(2) == 0 {
		plan.giveKinds(random)
	}
	f := &flood{plan: plan, quiet: 1 + random.IntN(3)}
	began := between(2, 4)
	plan.Waves = append(plan.Waves, Wave{Team: f.quiet, From: at(began), To: at(began + between(6, 8)), Factor: 0.02})
	for _, team := range random.Perm(plan.Teams)[:1+random.IntN(12)] {
		if team+1 == f.quiet {
			continue
		}
		from := between(2, 7)
		f.hot = append(f.hot, team+1)
		plan.Waves = append(plan.Waves, Wave{Team: team + 1, From: at(from), To: at(from + between(5, 9)), Factor: between(4, 13)})
	}
	if random.IntN(2) == 0 {
		from := between(4, 9)
		to := from + between(2, 4)
		for _, engine := range random.Perm(engines)[:engines/4] {
			plan.Faults = append(plan.Faults, Fault{From: at(from), To: at(to), Engine: engine + 1})
		}
	}
	return f
}

// giveKinds lets each team ask for one kind alone, with rates that keep the tokens asked for of all kinds together.
func (p *Plan) giveKinds(random *rand.Rand) {
	cost := func(kind int) float64 { k := &p.Kinds[kind]; return k.Rate * float64(k.Shared+k.Own) }
	all := 0.0
	for kind := range p.Kinds {
		all += cost(kind)
	}
	for team := range p.Teams {
		its := random.IntN(len(p.Kinds))
		for kind := range p.Kinds {
			wave := Wave{Team: team + 1, Kind: kind + 1, To: longLived}
			if kind == its {
				wave.Factor = all / cost(kind)
			}
			p.Waves = append(p.Waves, wave)
		}
	}
}

// span is what a team was owed and got in six seconds.
type span struct {
	team, from int
	owed, got  float64
	largest    float64 // largest is the cost of the largest request of all.
}

// part returns the part of what the team is owed that it got.
func (s *span) part() float64 { return s.got / s.owed }

// isUnfair tells whether a span breaks the rule.
func (s *span) isUnfair() bool { return s.got < unfairPart*s.owed-unfairRest*s.largest }

// spans returns the spans in which a team waited in each second and is owed so much that the rule can be broken.
func (w *world) spans() (found []span) {
	teams, largest := w.runSeconds()
	for team := range teams {
		for from := range len(teams[team]) - unfairSpan + 1 {
			one, waited := span{team: team + 1, from: from, largest: largest}, true
			for at := from; at < from+unfairSpan; at++ {
				one.owed += min(teams[team][at].asked, bestServed(teams, at))
				one.got += teams[team][at].got
				waited = waited && teams[team][at].waited
			}
			if waited && unfairPart*one.owed > unfairRest*largest {
				found = append(found, one)
			}
		}
	}
	return found
}

// runSeconds returns the seconds of each team with what it got counted where runs began.
func (w *world) runSeconds() (teams [][]second, largest float64) {
	teams, largest = w.seconds()
	for _, seconds := range teams {
		for at := range seconds {
			seconds[at].got = 0
		}
	}
	for _, r := range w.requests {
		at := int(r.grantedAt.Add(2*w.way()).Sub(w.start) / time.Second)
		if r.engine >= 0 && at < len(teams[r.team]) {
			teams[r.team][at].got += float64(r.prompt.Cost())
		}
	}
	return teams, largest
}

// In drawn floods no team gets less than half of its due for six seconds; the flags draw more of them.
func TestNoTeamFallsFarBehindItsDue(t *testing.T) {
	var mutex sync.Mutex
	var least []float64
	limit := make(chan struct{}, max(1, *duePlays))
	t.Run("floods", func(t *testing.T) {
		for seed := *dueFirst; seed < *dueFirst+uint64(*dueSeeds); seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				limit <- struct{}{}
				defer func() { <-limit }()
				f := drawFlood(t, seed, *dueEngines)
				w := newWorld(f.plan)
				w.play(newRyelug(w))
				found := w.spans()
				if len(found) == 0 {
					t.Log("no team waited for six seconds")
					return
				}
				worst := slices.MinFunc(found, func(a, b span) int { return int(1e6 * (a.part() - b.part())) })
				t.Logf("seed %d: skew %.2f, hot %v, crash %v, kinds of their own %v: least part %.3f of %.2f million tokens, team %d (%s), from %d s",
					seed, f.plan.Skew, f.hot, len(f.plan.Faults) > 0, len(f.plan.Waves) > 3*f.plan.Teams, worst.part(), worst.owed/1e6, worst.team, f.role(worst.team), worst.from)
				mutex.Lock()
				least = append(least, worst.part())
				mutex.Unlock()
				assertFair(t, f, found)
			})
		}
	})
	slices.Sort(least)
	t.Logf("least parts by seed: %.2f", least)
}

// assertFair fails for each span that breaks the rule.
func assertFair(t *testing.T, f *flood, found []span) {
	t.Helper()
	for i := range found {
		if one := &found[i]; one.isUnfair() {
			t.Errorf("team %d (%s) got %.2f of %.2f million tokens from %d s on", one.team, f.role(one.team), one.got/1e6, one.owed/1e6, one.from)
		}
	}
}
