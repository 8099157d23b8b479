package admission_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/admission"
	"ryelug/core/cell"
	"ryelug/core/crossing"
	"ryelug/core/dispatch"
)

// sites simulates the calls of three data centres at one dispatcher, in virtual time. Each has two endpoints of ten slots.
type sites struct {
	*admission.Dispatcher
	now   time.Time
	slots [6][10]time.Time // slots holds, for each slot of the endpoints, when its last call ends.
	last  cell.AttemptID
	came  map[cell.AttemptID]time.Time
	ends  []siteEnd
	isCut bool // isCut is set if attempts between data centres are lost, which their entries learn at the end of the objective.
	teams [3]int
	asked [3]int
	timely,
	left [3]int
}

type siteEnd struct {
	at      time.Time
	from    int
	attempt cell.AttemptID
	isLost  bool
}

func router(site int) cell.RouterID { return cell.RouterID(fmt.Sprintf("%c/1", 'a'+site)) }

func newSites(mode crossing.Mode) *sites {
	s := &sites{
		Dispatcher: admission.New(admission.Config{Cell: "calls", Crossing: crossing.Config{Mode: mode, ByteCost: 20 * time.Millisecond}}),
		now:        time.Unix(1e9, 0), came: make(map[cell.AttemptID]time.Time),
	}
	policy := &dispatch.Policy{Predicted: true, Teams: []dispatch.TeamPolicy{{Team: "team", Share: 1}}, EntryDataCentres: make(map[cell.HostID]string)}
	for n := range 6 {
		dataCentre := string(rune('a' + n/2))
		policy.EntryDataCentres[cell.HostID(dataCentre)] = dataCentre
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{Endpoint: cell.EndpointID(fmt.Sprint(n)), WarmLimit: 10, Start: "s", DataCentre: dataCentre})
	}
	s.Step(s.now, policy)
	for site := range 3 {
		s.Step(s.now, &dispatch.Join{Router: router(site), Session: 1, Stake: true})
	}
	return s
}

// run lets the callers of each data centre ask for this part of its capacity, in calls of 30 ms with an objective of 150 ms.
func (s *sites) run(span time.Duration, demand [3]float64) {
	random := rand.New(rand.NewPCG(1, 2))
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		slices.SortFunc(s.ends, func(a, b siteEnd) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		for len(s.ends) > 0 && !s.ends[0].at.After(s.now) {
			done := s.ends[0]
			s.ends = s.ends[1:]
			report := cell.End{Attempt: done.attempt, Outcome: cell.Completed, Bytes: 4000}
			if done.isLost {
				report = cell.End{Attempt: done.attempt, Outcome: cell.Unreached}
			} else if s.now.Sub(s.came[done.attempt]) <= 150*time.Millisecond {
				s.timely[done.from]++
			}
			s.act(s.Step(s.now, &dispatch.Ended{Router: router(done.from), Ends: []cell.End{report}}))
		}
		for from, part := range demand {
			if random.Float64() < part*20/30 {
				s.last++
				s.asked[from]++
				s.came[s.last] = s.now
				want := cell.Demand{Attempt: s.last, Team: s.team(from, random), Estimate: 1, Class: "call", Deadline: s.now.Add(150 * time.Millisecond)}
				s.act(s.Step(s.now, &dispatch.Want{Router: router(from), Session: 1, Demands: []cell.Demand{want}}))
			}
		}
		if s.now.UnixMilli()%50 == 0 {
			s.act(s.Step(s.now, &dispatch.Tick{}))
		}
	}
}

// team returns the team of the next call of a data centre's callers: one for all data centres unless teams says how many each has.
func (s *sites) team(from int, random *rand.Rand) cell.TeamID {
	if s.teams[from] == 0 {
		return "team"
	}
	return cell.TeamID(fmt.Sprint(from, " ", random.IntN(s.teams[from])))
}

func (s *sites) act(actions []dispatch.Action) {
	for _, action := range actions {
		grant, ok := action.(*dispatch.GrantTo)
		if !ok {
			continue
		}
		from, to := int(grant.Router[0]-'a'), int(grant.Grant.Endpoint[0]-'0')
		if s.isCut && from != to/2 {
			s.left[from]++
			s.ends = append(s.ends, siteEnd{at: s.now.Add(150 * time.Millisecond), from: from, attempt: grant.Grant.Attempt, isLost: true})
			continue
		}
		slots := &s.slots[to]
		free := 0
		for i := range slots {
			if slots[i].Before(slots[free]) {
				free = i
			}
		}
		ends := slots[free].Add(30 * time.Millisecond)
		if slots[free].Before(s.now) {
			ends = s.now.Add(30 * time.Millisecond)
		}
		slots[free] = ends
		if from != to/2 {
			s.left[from]++
			ends = ends.Add(10 * time.Millisecond)
		}
		s.ends = append(s.ends, siteEnd{at: ends, from: from, attempt: grant.Grant.Attempt})
	}
}

// Callers of a data centre that is overloaded are served in time nearly as often as those of others that have free capacity, while
// the waiting calls of the one don't hold up those of the others; with even demand nothing leaves.
func TestCallsLeaveAnOverloadedDataCentre(t *testing.T) {
	for name, demand := range map[string][3]float64{"even": {0.7, 0.7, 0.7}, "one-sided": {1.5, 0.4, 0.4}} {
		for _, mode := range []crossing.Mode{crossing.Always, crossing.Never} {
			t.Run(fmt.Sprint(name, " ", mode), func(t *testing.T) {
				is := is.New(t)
				s := newSites(mode)
				s.run(20*time.Second, demand)
				var part, left [3]float64
				for site := range 3 {
					part[site] = float64(s.timely[site]) / float64(s.asked[site])
					left[site] = float64(s.left[site]) / float64(s.asked[site])
				}
				t.Logf("in time %.3f, left %.3f", part, left)
				if mode == crossing.Never {
					return
				}
				is.True(part[0] >= 0.9*min(part[1], part[2]))
				is.True(min(part[1], part[2]) > 0.95)
				is.True(left[1]+left[2] < 0.01)
				is.Equal(left[0] > 0.3, name == "one-sided")
				is.Equal(left[0] < 0.01, name == "even")
			})
		}
	}
}

// While the paths between data centres are cut, the waiting calls of one that is overloaded don't hold up those of the others, which
// have free slots, and it serves what it can itself.
func TestCutOffDataCentreHoldsUpNoOther(t *testing.T) {
	is := is.New(t)
	s := newSites(crossing.Always)
	s.isCut, s.teams = true, [3]int{40, 1, 1}
	s.run(20*time.Second, [3]float64{3, 0.6, 0.6})
	var part [3]float64
	for site := range 3 {
		part[site] = float64(s.timely[site]) / float64(s.asked[site])
	}
	t.Logf("in time %.3f, left %v", part, s.left)
	is.True(part[0] > 0.9/3)
	is.True(min(part[1], part[2]) > 0.95)
}
