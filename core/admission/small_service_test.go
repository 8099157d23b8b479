package admission_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// servicePlay plays the load of a small service in virtual time: callers whose requests reach the dispatcher, endpoints
// that run a few calls at once and queue the others in the order of their arrival, and callers that were refused and
// return once when told. Everything takes one to two milliseconds between the dispatcher and an entry.
type servicePlay struct {
	*simulation
	random                    *rand.Rand // random is for times on the way and of work.
	arrivals                  *rand.Rand // arrivals is for the arrivals, so that plays of the same seed have the same ones.
	work                      time.Duration
	slots                     int
	objective                 time.Duration
	slowWays                  bool
	slowEntries, falseReports bool
	reports                   bool // reports is set if the answers carry the endpoint's load with its pace.
	start                     time.Time

	events    playEvents
	endpoints map[cell.EndpointID]*playEndpoint
	calls     map[cell.AttemptID]*playCall
	result    playResult
}

// playEndpoint is one endpoint, and its pace as a factor of the time that work takes.
type playEndpoint struct {
	running int
	queue   []*playCall
	isDown  bool                                       // isDown is set if nothing reaches the endpoint from the third to the sixth second; what it runs by then is answered.
	always  float64                                    // always is the pace without pauses.
	paused  func(since time.Duration) (factor float64) // paused returns the factor of a pause.
}

type playCall struct {
	attempt     cell.AttemptID
	team        cell.TeamID
	asked, sent time.Time
	returns     bool
	at          *playEndpoint
	load        cell.EndpointLoad
	endpoint    cell.EndpointID
}

// playResult counts callers by their last answer, and what the endpoints did.
type playResult struct {
	callers, inTime, late, refused int
	refusals, refusedAgain         int
	queuedBesideFree               int // queuedBesideFree counts calls that had to wait at an endpoint while another one had a free slot.
	latencies                      []time.Duration
}

func (r *playResult) String() string {
	slices.Sort(r.latencies)
	median, p95 := r.latencies[len(r.latencies)/2], r.latencies[len(r.latencies)*95/100]
	return fmt.Sprintf("%d callers: %d in time, %d late, %d refused (%d refusals, %d of callers that returned); %d waited beside a free slot; median %v, p95 %v",
		r.callers, r.inTime, r.late, r.refused, r.refusals, r.refusedAgain, r.queuedBesideFree, median.Round(time.Millisecond), p95.Round(time.Millisecond))
}

// inTimeOfAnswered returns the fraction of the answered calls that were in time.
func (r *playResult) inTimeOfAnswered() float64 { return float64(r.inTime) / float64(r.inTime+r.late) }

type playEvent struct {
	at     time.Time
	number int
	do     func()
}

type playEvents []playEvent

func (e playEvents) Len() int { return len(e) }
func (e playEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}
func (e playEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *playEvents) Push(x any)   { *e = append(*e, x.(playEvent)) }
func (e *playEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (p *servicePlay) after(wait time.Duration, do func()) {
	p.last++ // also numbers the events, so that those of the same time keep their order
	heap.Push(&p.events, playEvent{p.now.Add(wait), int(p.last), do})
}

// way returns the time between the dispatcher and an entry.
func (p *servicePlay) way() time.Duration {
	way := time.Millisecond + time.Duration(p.random.Int64N(int64(time.Millisecond)))
	if p.slowWays && p.random.IntN(4) == 0 {
		way += time.Duration(p.random.Int64N(int64(15 * time.Millisecond)))
	}
	return way
}

// hop is the time between an entry and an endpoint.
const hop = 500 * time.Microsecond

func (p *servicePlay) ask(team cell.TeamID, returns bool) {
	p.last++
	call := &playCall{attempt: p.last, team: team, asked: p.now, returns: returns}
	p.calls[call.attempt] = call
	way := p.way()
	if p.slowEntries && p.arrivals.IntN(10) == 0 {
		way += time.Duration(p.arrivals.Int64N(int64(p.objective)))
	}
	p.after(way, func() { p.want(call, "") })
}

func (p *servicePlay) want(call *playCall, avoid cell.EndpointID) {
	demand := cell.Demand{Attempt: call.attempt, Team: call.team, Class: "charge", Avoid: avoid, Deadline: call.asked.Add(p.objective)}
	p.take(p.Step(p.now, &dispatch.Want{Router: entryRouter, Session: 1, Demands: []cell.Demand{demand}}))
}

// unreached ends the attempt of a call at an endpoint that is down, and asks for another one.
func (p *servicePlay) unreached(call *playCall) {
	failed := call.attempt
	p.last++
	again := *call
	again.attempt = p.last
	p.calls[again.attempt] = &again
	p.after(p.way(), func() {
		delete(p.calls, failed)
		p.take(p.Step(p.now, &dispatch.Ended{Router: entryRouter, Ends: []cell.End{{Attempt: failed, Outcome: cell.Unreached}}}))
		p.want(&again, call.endpoint)
	})
}

func (p *servicePlay) take(actions []dispatch.Action) {
	for _, action := range copyActions(actions) {
		switch action := action.(type) {
		case *dispatch.GrantTo:
			call := p.calls[action.Grant.Attempt]
			p.after(p.way(), func() {
				call.sent, call.endpoint, call.at = p.now, action.Grant.Endpoint, p.endpoints[action.Grant.Endpoint]
				p.after(hop, func() { p.arrive(call) })
			})
		case *dispatch.RefuseTo:
			call, after := p.calls[action.Attempt], action.RetryAfter
			delete(p.calls, action.Attempt)
			p.after(p.way(), func() { p.refused(call, after) })
		}
	}
}

func (p *servicePlay) refused(call *playCall, after time.Duration) {
	p.result.refusals++
	if call.returns {
		p.result.refusedAgain++
		p.result.refused++
		return
	}
	p.after(after, func() { p.ask(call.team, true) })
}

func (p *servicePlay) arrive(call *playCall) {
	if since := p.now.Sub(p.start); call.at.isDown && since > 3*time.Second && since < 6*time.Second {
		p.unreached(call)
		return
	}
	if call.at.running >= p.slots {
		for _, other := range p.endpoints {
			if other.running < p.slots {
				p.result.queuedBesideFree++
				break
			}
		}
		call.at.queue = append(call.at.queue, call)
		return
	}
	p.run(call)
}

func (at *playEndpoint) pace(since time.Duration) float64 {
	if at.paused == nil {
		return at.always
	}
	return at.always * at.paused(since)
}

func (p *servicePlay) run(call *playCall) {
	at := call.at
	at.running++
	work := time.Duration(float64(p.work) * (0.5 + p.random.Float64()))
	p.runOn(call, work)
}

// runOn runs a call by steps of a millisecond of usual work, since the pace changes while it runs.
func (p *servicePlay) runOn(call *playCall, left time.Duration) {
	step := min(left, time.Millisecond)
	p.after(time.Duration(float64(step)*call.at.pace(p.now.Sub(p.start))), func() {
		if left -= step; left > 0 {
			p.runOn(call, left)
			return
		}
		p.done(call)
	})
}

func (p *servicePlay) done(call *playCall) {
	at := call.at
	at.running--
	if p.reports {
		pace := at.pace(p.now.Sub(p.start))
		if p.falseReports {
			pace = 0.2 + 9*p.arrivals.Float64()
		}
		call.load = cell.EndpointLoad{Running: uint16(at.running), Waiting: uint16(len(at.queue)), Slots: uint16(p.slots), Pace: uint16(100 * pace)}
	}
	if len(at.queue) > 0 {
		next := at.queue[0]
		at.queue = at.queue[1:]
		p.run(next)
	}
	p.after(hop, func() {
		latency := p.now.Sub(call.asked)
		p.result.latencies = append(p.result.latencies, latency)
		if latency <= p.objective {
			p.result.inTime++
		} else {
			p.result.late++
		}
		end := cell.End{Attempt: call.attempt, Outcome: cell.Completed, Cost: 1, Load: call.load}
		if p.reports {
			end.Took = (p.now.Sub(call.sent) + time.Millisecond - 1).Truncate(time.Millisecond)
		}
		p.after(p.way(), func() {
			delete(p.calls, call.attempt)
			p.take(p.Step(p.now, &dispatch.Ended{Router: entryRouter, Ends: []cell.End{end}}))
		})
	})
}

// smallService describes the play of a small service.
type smallService struct {
	endpoints, slots int
	work, objective  time.Duration
	rate             func(since time.Duration) float64 // rate returns the arrivals per second.
	always           []float64                         // always is the pace of each endpoint without pauses; one if missing.
	pauses           bool                              // pauses lets a third of the endpoints pause for some hundred milliseconds every second.
	slowWays         bool                              // slowWays lets a part of the messages take up to fifteen milliseconds longer.
	slowEntries      bool                              // slowEntries lets a tenth of the requests reach the dispatcher late, some only at the end of their objective.
	oneDown          bool                              // oneDown lets one endpoint be down for three seconds.
	falseReports     bool                              // falseReports lets the endpoints report a pace that has nothing to do with their work.
	load             float64                           // load is a factor of the arrivals; one if zero.
	reports          bool
	seed             uint64
}

const playedSpan = 10 * time.Second

// play plays the load for playedSpan, and until the last calls have ended.
func (s smallService) play() *playResult {
	policy := dispatch.Policy{Predicted: true}
	p := &servicePlay{
		random: rand.New(rand.NewPCG(s.seed, 1)), arrivals: rand.New(rand.NewPCG(s.seed, 2)), work: s.work, slots: s.slots, objective: s.objective, reports: s.reports, slowWays: s.slowWays, slowEntries: s.slowEntries, falseReports: s.falseReports,
		endpoints: map[cell.EndpointID]*playEndpoint{}, calls: map[cell.AttemptID]*playCall{},
	}
	for i := range s.endpoints {
		id := cell.EndpointID(fmt.Sprintf("e%d", i))
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{Endpoint: id, WarmLimit: s.slots, Start: "s"})
		at := &playEndpoint{always: 1, isDown: s.oneDown && i == 0}
		if i < len(s.always) {
			at.always = s.always[i]
		}
		if s.pauses {
			at.paused = func(since time.Duration) float64 {
				const period, pause = 1700 * time.Millisecond, 400 * time.Millisecond
				if (since+time.Duration(i)*period/time.Duration(s.endpoints))%period < pause {
					return 2.5
				}
				return 1
			}
		}
		p.endpoints[id] = at
	}
	p.simulation = newSimulation(policy)
	p.start = p.now
	end := p.now.Add(playedSpan)
	var arrive, tick func()
	arrive = func() {
		if p.now.After(end) {
			return
		}
		p.result.callers++
		p.ask(cell.TeamID(fmt.Sprintf("team%d", p.arrivals.IntN(4))), false)
		p.after(time.Duration(p.arrivals.ExpFloat64()/(cmp.Or(s.load, 1)*s.rate(p.now.Sub(p.start)))*float64(time.Second)), arrive)
	}
	tick = func() {
		p.Step(p.now, &dispatch.Renew{Router: entryRouter, Session: 1, StakeUntil: p.now.Add(time.Second)})
		p.take(p.Step(p.now, &dispatch.Tick{}))
		if !p.now.After(end.Add(10 * time.Second)) {
			p.after(20*time.Millisecond, tick)
		}
	}
	arrive()
	tick()
	for len(p.events) > 0 {
		event := heap.Pop(&p.events).(playEvent)
		p.now = event.at
		event.do()
	}
	return &p.result
}

// peaks returns arrivals of 373 a second, and of 560 in one second of three.
func peaks(since time.Duration) float64 {
	if since%(3*time.Second) < time.Second {
		return 560
	}
	return 373
}

// bursts returns 500 arrivals a second for half a second, and hardly any in the three and a half seconds between.
func bursts(since time.Duration) float64 {
	if since%(4*time.Second) < 500*time.Millisecond {
		return 500
	}
	return 2
}

// The plays guard against a dispatcher that grants calls which can't be in time, leaves slots idle, or tells callers to return
// when there is no room for them. The fractions are just below what a play gives with the present code; what it gave without
// reports, which is how the dispatcher works for endpoints that report no pace, is in the log.
func TestPlayOfASmallService(t *testing.T) {
	short := smallService{endpoints: 3, slots: 6, work: 30 * time.Millisecond, objective: 150 * time.Millisecond, rate: peaks}
	long := smallService{endpoints: 4, slots: 6, work: 60 * time.Millisecond, objective: 300 * time.Millisecond, rate: peaks, load: 0.66}
	with := func(service smallService, change func(s *smallService)) smallService {
		change(&service)
		return service
	}
	for _, one := range []struct {
		name     string
		service  smallService
		inTime   float64 // inTime is the least fraction of the callers that are answered in time.
		answered float64 // answered is the least fraction of the answered ones that are in time.
	}{
		{"peaks", short, 0.999, 0.999},
		{"pauses", with(short, func(s *smallService) { s.pauses = true }), 0.99, 0.99},
		{"one at half speed", with(short, func(s *smallService) { s.always = []float64{2} }), 0.99, 0.99},
		{"one at half speed, and pauses", with(short, func(s *smallService) { s.always, s.pauses = []float64{2}, true }), 0.92, 0.97},
		{"slow ways, and pauses", with(short, func(s *smallService) { s.slowWays, s.pauses = true, true }), 0.98, 0.99},
		{"slow entries, and pauses", with(short, func(s *smallService) { s.slowEntries, s.pauses = true, true }), 0.95, 0.97},
		{"false reports", with(short, func(s *smallService) { s.falseReports = true }), 0.97, 0.97},
		{"too slow for the objective", with(short, func(s *smallService) { s.always, s.load = []float64{6, 6, 6}, 0.15 }), 0, 0},
		{"one down", with(short, func(s *smallService) { s.oneDown, s.load = true, 0.9 }), 0.95, 0.97},
		{"overload", with(short, func(s *smallService) { s.load = 1.6 }), 0.8, 0.97},
		{"bursts", with(short, func(s *smallService) { s.rate = bursts }), 0.999, 0.999},
		{"longer calls, one at half speed, and pauses", with(long, func(s *smallService) { s.pauses, s.always = true, []float64{2} }), 0.97, 0.97},
	} {
		t.Run(one.name, func(t *testing.T) {
			is := is.New(t)
			one.service.seed = 1
			if testing.Verbose() {
				t.Logf("without reports: %v", one.service.play())
			}
			one.service.reports = true
			result := one.service.play()
			t.Logf("with reports:    %v", result)
			is.True(result.inTimeOfAnswered() >= one.answered)
			is.True(float64(result.refused) <= 0.1*float64(result.callers))
			is.True(float64(result.inTime) >= one.inTime*float64(result.callers))
		})
	}
}
