package rollout_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ryelug/core/cell"
	"ryelug/core/rollout"
)

// kind is the way in which the target version of a simulation is bad.
type kind int

// The kinds of target versions.
const (
	good kind = iota
	failsHalf
	failsOneInTen
	slowBy3
	slowBy8
	lateOnset     // lateOnset fails half from some time on.
	underLoadOnly // underLoadOnly fails half while the endpoint is about as busy as those of the old version.
	oneRouteOnly  // oneRouteOnly fails half of one class.
	kindCount
)

// scenario describes a service, its load and its target version.
type scenario struct {
	seed      uint64
	kind      kind
	duration  time.Duration
	rate      float64 // rate is the requests per second.
	endpoints int     // endpoints is the number of endpoints of each version.
	slots     int
	classes   int
	spread    float64       // spread is the standard deviation of the logarithm of the times.
	failures  float64       // failures is the part of the answers that fail at either version.
	onset     time.Duration // onset is when lateOnset begins.
	cut       bool          // cut makes half of the answers of both versions fail for a second.
	crash     bool          // crash ends all requests of one target endpoint at one time.
	faulty    bool          // faulty makes one target endpoint fail half, whatever its version.
	splits    []float64     // splits holds the part of the requests that each dispatcher gets, side by side; empty means one dispatcher.
	turns     int           // turns is the number of dispatchers one after the other; zero means one.
	lostWrite bool          // lostWrite kills the judge as it writes its first verdict, which is lost; 1.2 s later another dispatcher is the judge.
	sickAfter time.Duration // sickAfter is when the store no longer confirms the roll-outs; zero means never.
}

// answer is a request on its way.
type answer struct {
	at         time.Time
	dispatcher int
	sample     rollout.Sample
	endpoint   *server
	order      int
	isLate     bool // isLate is true if a slow version answered late.
}

type answers []*answer

func (a answers) Len() int { return len(a) }
func (a answers) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].order < a[j].order
}
func (a answers) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *answers) Push(one any) { *a = append(*a, one.(*answer)) }
func (a *answers) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// server is a simulated endpoint.
type server struct {
	id      cell.EndpointID
	group   rollout.Group
	running int
}

// result is what a simulation showed.
type result struct {
	state     rollout.State
	at        time.Duration // at is when the state was decided.
	reason    string
	requests  int
	exposed   int
	bad       int           // bad counts the bad answers of the target.
	badAt     time.Duration // badAt is the time of the fiftieth of them.
	lastSent  time.Duration // lastSent is when the target got its last request before the state was final.
	afterward int           // afterward counts the requests that went to the losing group after the verdict, and to the target before the order.
}

// simulation plays a scenario: requests arrive at random at several dispatchers with a Trial each, and go to the endpoint of the chosen
// group with the fewest requests.
type simulation struct {
	scenario
	random  *rand.Rand
	began   time.Time
	now     time.Time
	order   rollout.Order
	trials  []*rollout.Trial
	judge   int
	servers []*server
	pending answers
	notes   []cell.TeamCounter // notes are those that the entries were last told, once a second.
	toldAt  time.Time
	backAt  time.Time // backAt is when there is a judge again.
	sent    int
	result  result
}

const callTime = 30 * time.Millisecond

func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.began) }

// play runs the scenario until half a second after its verdict, or a second after its deadline.
func play(given scenario) result {
	s := &simulation{scenario: given, random: rand.New(rand.NewPCG(given.seed, uint64(given.kind))), began: time.Unix(1000, 0)}
	if len(s.splits) == 0 {
		s.splits = []float64{1}
	}
	s.now = s.began
	s.order = rollout.Order{Cell: "c", Target: "v2", Revision: 1, Duration: s.duration, Seen: s.began, ConfirmedAt: s.began, State: rollout.Running}
	for i := range s.endpoints {
		s.servers = append(s.servers, &server{id: cell.EndpointID(fmt.Sprint("old", i)), group: rollout.Stable}, &server{id: cell.EndpointID(fmt.Sprint("new", i)), group: rollout.Target})
	}
	s.restart()
	s.judge = -1
	for i, part := range s.splits {
		if part > 0.5 {
			s.judge = i
		}
	}
	nextRequest, nextTick, turn := s.began, s.began, 0
	for end := s.began.Add(s.duration + time.Second); s.now.Before(end) && (s.result.state == 0 || s.elapsed() < s.result.at+500*time.Millisecond); {
		switch {
		case len(s.pending) > 0 && !s.pending[0].at.After(nextRequest) && !s.pending[0].at.After(nextTick):
			one := heap.Pop(&s.pending).(*answer)
			s.now = one.at
			s.end(one)
		case nextRequest.Before(nextTick):
			s.now = nextRequest
			s.request()
			nextRequest = s.now.Add(time.Duration(s.random.ExpFloat64() / s.rate * float64(time.Second)))
		default:
			s.now = nextTick
			nextTick = s.now.Add(50 * time.Millisecond)
			if next := int(s.elapsed() * time.Duration(s.turns) / s.duration); next > turn && next < s.turns {
				turn = next
				s.restart()
			}
			s.tick()
		}
	}
	return s.result
}

// restart replaces the dispatchers by others that know the order only.
func (s *simulation) restart() {
	s.trials = nil
	for range s.splits {
		s.trials = append(s.trials, rollout.New(rollout.Config{Order: s.order, Bounds: rollout.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}}))
	}
	for _, trial := range s.trials {
		for i := range s.notes {
			trial.Learn(&s.notes[i])
		}
	}
	for _, one := range s.pending {
		one.dispatcher = -1
	}
}

// kill ends the judge.
func (s *simulation) kill() {
	s.restart()
	s.lostWrite, s.judge, s.backAt = false, -1, s.now.Add(1200*time.Millisecond)
}

func (s *simulation) tick() {
	if s.sickAfter == 0 || s.elapsed() < s.sickAfter {
		s.order.ConfirmedAt = s.now
	}
	if !s.backAt.IsZero() && s.now.After(s.backAt) {
		s.judge, s.backAt = 0, time.Time{}
	}
	if s.judge >= 0 && s.now.Sub(s.toldAt) >= time.Second {
		s.toldAt, s.notes = s.now, s.trials[s.judge].Notes(s.notes[:0])
	}
	capacity := rollout.Capacity{ReadySlots: s.endpoints * s.slots, StableEndpoints: s.endpoints, StableSlots: s.endpoints * s.slots}
	for _, one := range s.servers {
		if one.group == rollout.Stable {
			capacity.StableRunning += one.running
		} else {
			capacity.Targets = append(capacity.Targets, rollout.Offer{Endpoint: one.id, Slots: s.slots})
		}
	}
	for i, trial := range s.trials {
		trial.Update(s.order)
		verdict, ok := trial.Step(s.now, capacity, i == s.judge)
		if ok && s.lostWrite {
			s.kill()
			return
		}
		if ok && s.order.State == rollout.Running {
			s.order.State = verdict.State
			s.result.state, s.result.at, s.result.reason = verdict.State, s.elapsed(), verdict.Reason
		}
	}
}

// request places one request at a random dispatcher.
func (s *simulation) request() {
	dispatcher, left := 0, s.random.Float64()
	for left -= s.splits[0]; left > 0 && dispatcher+1 < len(s.splits); left -= s.splits[dispatcher] {
		dispatcher++
	}
	trial, class := s.trials[dispatcher], fmt.Sprint("class", s.random.IntN(s.classes))
	group := trial.Pick(s.now, class)
	at := s.least(trial, group)
	if other := rollout.Stable + rollout.Target - group; at == nil && trial.MayUse(s.now, other) {
		group = other
		at = s.least(trial, group)
	}
	if at == nil {
		return
	}
	trial.Granted(s.now, group, class, at.id)
	at.running++
	s.sent++
	if s.elapsed() <= s.duration && s.result.state != rollout.Completed {
		s.result.requests++
		if group == rollout.Target {
			s.result.exposed++
			s.result.lastSent = s.elapsed()
		}
	}
	if final := s.order.State; final != rollout.Running && s.elapsed() > s.result.at+50*time.Millisecond && (final == rollout.Completed) != (group == rollout.Target) {
		s.result.afterward++
	}
	one := s.answer(at, class)
	one.dispatcher, one.order = dispatcher, s.sent
	heap.Push(&s.pending, one)
}

// least returns the endpoint of the group with the fewest requests; nil if all are full.
func (s *simulation) least(trial *rollout.Trial, group rollout.Group) *server {
	var least *server
	focus := trial.Focus()
	for _, one := range s.servers {
		if one.group != group || one.running >= s.slots || trial.IsFaulty(one.id) || group == rollout.Target && focus != "" && one.id != focus {
			continue
		}
		if least == nil || one.running < least.running {
			least = one
		}
	}
	return least
}

// answer returns what the endpoint will answer.
func (s *simulation) answer(at *server, class string) *answer {
	took := time.Duration(float64(callTime) * math.Exp(s.spread*s.random.NormFloat64()))
	failing := s.failures
	isTarget, isLate := at.group == rollout.Target, false
	if s.cut && s.elapsed() > s.duration/2 && s.elapsed() < s.duration/2+time.Second {
		failing = 0.5
	}
	busy := s.rate * callTime.Seconds() / float64(s.endpoints)
	switch {
	case s.faulty && at.id == "new0", isTarget && s.kind == failsHalf, isTarget && s.kind == lateOnset && s.elapsed() > s.onset,
		isTarget && s.kind == underLoadOnly && float64(at.running) >= max(2, 0.8*busy), isTarget && s.kind == oneRouteOnly && class == "class0":
		failing = max(failing, 0.5)
	case isTarget && s.kind == failsOneInTen:
		failing = max(failing, 0.1)
	case isTarget && s.kind == slowBy3:
		took, isLate = 3*took, true
	case isTarget && s.kind == slowBy8:
		took, isLate = 8*took, true
	}
	sample := rollout.Sample{
		Group: at.group, Class: class, Endpoint: at.id, Outcome: cell.Completed, Took: took, Expected: time.Second, Running: at.running, Slots: s.slots, GrantedAt: s.now,
	}
	crashAt := s.duration / 3
	if s.random.Float64() < failing {
		sample.Outcome = cell.Failed
	} else if s.crash && at.id == "new0" && s.elapsed() < crashAt && s.elapsed()+took > crashAt {
		sample.Outcome, took = cell.Failed, crashAt-s.elapsed()
	}
	return &answer{at: s.now.Add(took), sample: sample, endpoint: at, isLate: isLate}
}

// end reports an answer to the dispatcher that granted the request.
func (s *simulation) end(one *answer) {
	if one.endpoint.group == rollout.Target && (one.sample.Outcome != cell.Completed || one.isLate) {
		s.result.bad++
		if s.result.bad == 50 {
			s.result.badAt = s.elapsed()
		}
	}
	one.sample.Running = one.endpoint.running
	one.endpoint.running--
	if one.dispatcher >= 0 {
		s.trials[one.dispatcher].Ended(s.now, one.sample)
	}
}
