package placing

import (
	"cmp"
	"math"
	"time"

	"ryelug/core/cell"
)

const (
	// inTimeFraction is the fraction in time of the answered calls that had little more than the margin when they were granted. As
	// these are the minority, more than 95 in 100 of all are in time.
	inTimeFraction = 0.97
	// marginStep is the change of the margin by one call; some twenty late calls move it by the spread of the calls.
	marginStep = 0.03
	// minMargin and maxMargin are the bounds of the margin.
	minMargin, maxMargin = 1, 2
	// probes is the number of calls that an endpoint gets at once until it reports anew, after it was slow by its last report.
	probes = 2
	// slowOutputWeight is the cost of the time that an output takes longer on a slow engine, per unit of that time. It is small, as a
	// later end of a stream counts for less than a later first token.
	slowOutputWeight = 0.1
	// hopTime is the time between an entry and an endpoint, there and back, which no report contains.
	hopTime = time.Millisecond
)

// pacedCalls holds the times of the calls at a service's endpoint that reports its pace. It answers a load near the capacity of a
// few endpoints, where one call too many at a slow endpoint is late, and one too few leaves a slot idle.
type pacedCalls struct {
	usual  time.Duration // usual is the moving average of the time of a call at the usual pace, without the wait for a slot; zero if unknown.
	call   time.Duration // call is the time of a call at the pace at the time at, without the wait for a slot.
	queued int           // queued is the number of calls that the endpoint gets beyond its slots at this pace.
	at     time.Time     // at is the time for which call and queued hold; zero after a report or a measured time.

	ways time.Duration // ways is the moving average of the time that a grant and the end of its call take on their ways.
}

// margin is the factor by which a call may take longer than expected and still be in time. It is as small as the late answers
// permit, since a slot at a slow endpoint that stays idle for fear of a late answer costs more calls than it saves.
type margin float64

// factor returns the margin; callMargin until calls were measured.
func (m margin) factor() float64 {
	if m == 0 {
		return callMargin
	}
	return float64(m)
}

// add records whether a call was late that had this margin when it was granted. Calls with far more than is needed show nothing.
func (m *margin) add(had float64, isLate bool) {
	if had > maxMargin {
		return
	}
	next := m.factor()
	if isLate {
		next += marginStep * inTimeFraction
	} else {
		next -= marginStep * (1 - inTimeFraction)
	}
	*m = margin(min(max(next, minMargin), maxMargin))
}

// HasPacedCalls reports whether the cell is a service of which an endpoint has reported its pace.
func (t *Table) HasPacedCalls() bool { return t.isPaced && t.policy.Engine == nil }

// Report records the load that the endpoint of a request has reported just now.
func (t *Table) Report(now time.Time, placed *Placement, load cell.EndpointLoad) {
	at := &t.endpoints[placed.EndpointIndex]
	if !load.IsKnown() || at.start != placed.Start || !at.pace.Report(now, load) {
		return
	}
	t.isPaced, at.paced.at = true, time.Time{}
}

// Took records that a granted call was answered completely in this time after its entry sent it; zero if the entry
// didn't measure it, as the answer had no report. Then the usual ways are subtracted from the own time.
func (t *Table) Took(now time.Time, placed *Placement, took time.Duration) {
	at := &t.endpoints[placed.EndpointIndex]
	if !t.HasPacedCalls() || at.start != placed.Start {
		return
	}
	at.pace.Answered(now)
	if placed.grantedAt.IsZero() {
		return
	}
	if took <= 0 {
		took = max(hopTime, now.Sub(placed.grantedAt)-t.mean.ways)
	}
	ways := max(0, now.Sub(placed.grantedAt)-took)
	work := float64(took) / placed.waitFactor
	factor := at.pace.Factor(now)
	if placed.factor > 0 {
		factor = (factor + placed.factor) / 2 // The pace may have changed while the call ran.
	}
	sample := time.Duration(work / factor)
	t.mean.add(sample, ways)
	if at.paced.usual == 0 {
		at.paced.add(sample, ways)
		return
	}
	if placed.margin > 0 {
		t.margin.add(placed.margin, now.Add(-at.paced.ways/2).After(placed.deadline))
	}
	at.pace.Measured(now, factor, work/float64(at.paced.usual))
	at.paced.add(sample, ways)
}

// add records the time of a call, at the usual pace and without the wait for a slot, and that of its grant and end on their ways.
func (p *pacedCalls) add(usual, ways time.Duration) {
	p.at = time.Time{}
	if p.usual == 0 {
		p.usual, p.ways = usual, ways
		return
	}
	p.usual += (usual - p.usual) / callWeight
	p.ways += (ways - p.ways) / callWeight
}

// refresh updates the values that depend on the present pace, which a decision needs several times.
func (e *endpoint) refresh(now time.Time) {
	paced := &e.paced
	if paced.at.Equal(now) {
		return
	}
	paced.at = now
	paced.call = time.Duration(float64(paced.usual) * e.pace.Factor(now))
	ends := float64(e.slots) * float64(paced.ways+hopTime) / float64(max(1, paced.call))
	paced.queued = min(int(math.Ceil(ends+math.Sqrt(ends)/2)), e.queueLimit()) // Ends come unevenly; fewer left slots idle in the play of a small service, and more gained nothing.
}

// pacedTime returns the time to expect of a call at the endpoint without margin and ways: the wait for a slot beside the calls
// that run there, and the call itself.
func (e *endpoint) pacedTime(now time.Time, running int) (wait, call time.Duration) {
	e.refresh(now)
	call = e.paced.call
	wait = call * time.Duration(max(0, running+1-e.slots)) / time.Duration(max(1, e.slots))
	return wait, call
}

// pacedExpected returns the time to expect of a call at the endpoint beside the calls that run there, with the margin.
func (t *Table) pacedExpected(now time.Time, at *endpoint, running int) time.Duration {
	wait, call := at.pacedTime(now, running)
	return at.paced.ways + wait + time.Duration(t.margin.factor()*float64(call))
}

// limitAt returns the number of requests beside which the endpoint gets no other one. Where endpoints report their pace, a
// service's endpoint gets only as many calls beyond its slots as end there while the end of one travels to the dispatcher and the
// next grant back.
func (t *Table) limitAt(now time.Time, at *endpoint, within bool) int {
	if !t.HasPacedCalls() || at.paced.usual == 0 {
		return at.limitFor(within)
	}
	at.refresh(now)
	limit := at.slots + at.paced.queued
	if at.pace.IsDoubtful(now) {
		limit = min(limit, probes)
	}
	if within {
		return limit
	}
	return max(1, int(beyondShareSlots*float64(limit)))
}

// choosePaced returns the endpoint for a call of a service whose endpoints report their pace: the one that answers first among
// those with a free slot, and only without such an endpoint one at which the call waits. No endpoint gets a call that
// it would answer too late.
func (t *Table) choosePaced(now time.Time, request *Request) Choice {
	choice := Choice{endpointIndex: -1, cacheHolder: -1, Verdict: Closed}
	given := conditions{allFail: t.areAllFailing(now), least: t.leastPacedTime(now), leave: &choice.leave, obstacles: &choice.Obstacles}
	if t.isOpen() && request.hasRunOut(now, given.least) {
		choice.Verdict = Hopeless
		return choice
	}
	free, queued := noOffer(), noOffer()
	t.weighed += int64(len(t.endpoints))
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if !t.admits(at) || int32(i) == request.Avoid && t.hasOther(int32(i)) {
			continue
		}
		cost, verdict := t.weigh(now, at, request, given)
		if at.running < at.slots {
			free.add(int32(i), cost, verdict)
		} else {
			queued.add(int32(i), cost, verdict)
		}
	}
	switch {
	case free.endpoint >= 0:
		t.choosePacedEndpoint(now, request, free.endpoint, &choice)
	case queued.endpoint >= 0:
		t.choosePacedEndpoint(now, request, queued.endpoint, &choice)
	default:
		choice.Verdict = free.verdict.combine(queued.verdict)
	}
	return choice
}

// choosePacedEndpoint chooses the endpoint at the index for a call, with the margin that the call has there.
func (t *Table) choosePacedEndpoint(now time.Time, request *Request, index int32, choice *Choice) {
	choice.Verdict, choice.endpointIndex = Admitted, index
	at := &t.endpoints[index]
	if request.Deadline.IsZero() || at.paced.usual == 0 {
		return
	}
	wait, call := at.pacedTime(now, at.running)
	choice.margin, choice.deadline = float64(request.left(now)-at.paced.ways-wait)/float64(call), request.Deadline
}

// verdictOnPacedCall returns the verdict on a call at a service's endpoint that may get one more, and the time to expect of it.
// Least is the result of leastPacedTime. A call that no endpoint could answer in time, even idle, is taken anyway.
func (t *Table) verdictOnPacedCall(now time.Time, at *endpoint, request *Request, least time.Duration) (time.Duration, Verdict) {
	expected := t.pacedExpected(now, at, at.running)
	switch {
	case expected <= request.left(now) || least > 0 && PacedTime(request.Objective, least) == 0:
		return expected, Admitted
	case least > request.left(now):
		return expected, Hopeless
	}
	return expected, Waits
}

// PacedTime returns how much of the time left until its deadline a paced call needs. It is zero if no call with this objective
// has enough time: that is no reason to refuse them all. A call that reaches the dispatcher too late is refused, unlike
// where no endpoint reports its pace, as it would take a slot from one that can be in time.
func PacedTime(objective, callTime time.Duration) time.Duration {
	if objective < callTime {
		return 0
	}
	return callTime
}

// leastPacedTime returns the least time to expect of a call at the endpoints in use if they had free slots; zero if unknown at all.
// Endpoints that fail count only if there are no others.
func (t *Table) leastPacedTime(now time.Time) time.Duration {
	var least, leastFailing time.Duration
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if !t.isInUse(at) || at.paced.usual == 0 {
			continue
		}
		from := &least
		if at.health.AwaitsProbe(now) {
			from = &leastFailing
		}
		if expected := t.pacedExpected(now, at, 0); *from == 0 || expected < *from {
			*from = expected
		}
	}
	return cmp.Or(least, leastFailing)
}

// CallRate returns how many calls the endpoints in use of a service answer in a second at their present pace; zero if
// unknown, and where endpoints report none.
func (t *Table) CallRate(now time.Time) float64 {
	rate := 0.0
	if !t.HasPacedCalls() {
		return 0
	}
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if !t.isInUse(at) || at.paced.usual == 0 || at.health.AwaitsProbe(now) {
			continue
		}
		_, call := at.pacedTime(now, 0)
		rate += float64(at.slots) / max(time.Millisecond, call).Seconds()
	}
	return rate
}

// slowOutputCost returns the cost of generating a long output on an engine that is slower than usual in the long term, so that
// slow engines get long outputs last.
func (t *Table) slowOutputCost(at *endpoint, prompt *cell.Prompt) time.Duration {
	slower := at.pace.Long() - 1
	if slower <= 0 {
		return 0
	}
	generating := time.Duration(prompt.Output) * t.policy.Engine.WithDefaults().Step
	return time.Duration(slowOutputWeight * slower * float64(generating))
}

// Margin returns the factor by which a paced call may take longer than expected and still be in time, for metrics.
func (t *Table) Margin() float64 { return t.margin.factor() }
