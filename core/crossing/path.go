package crossing

import (
	"time"

	"ryelug/core/cell"
)

const (
	// usualDelay is the delay assumed of a path without samples.
	usualDelay = 10 * time.Millisecond
	// delayWeight is the inverse weight of a new sample in the moving average of delays.
	delayWeight = 8
	// delayMemory is the time without samples after which half of the difference from usualDelay is dropped. Without that, a
	// path that was slow once would get no request, hence no sample that shows that it recovered.
	delayMemory = 3 * time.Second
	// lossWeight is the inverse weight of a new outcome in the moving average of failures. With 4, three failures in a row
	// raise it from zero to above one half.
	lossWeight = 4
	// lossDecay is the time after which a third of the failures is left without new outcomes.
	lossDecay = 2 * time.Second
	// lossCost is the cost of a path on which every attempt fails, as for an endpoint.
	lossCost = 500 * time.Millisecond
	// minStall is the least time without any answer to waiting attempts after which a path is probed.
	minStall = 300 * time.Millisecond
	// minAwaiting is the least number of such attempts: one of them alone may be a long one.
	minAwaiting = 3
	// stallFactor is that time as a multiple of the usual time of an answer on the path.
	stallFactor = 3
	// answerMemory is the time after the last answer from which a path is probed: nothing is known of it any more. Otherwise, when
	// all paths are cut, a data centre that has sent nothing yet would find that out with as many requests as its share allows.
	answerMemory = 5 * time.Second
	// probeInterval is the time between two attempts on a path that is probed.
	probeInterval = 500 * time.Millisecond
)

// path is the state of the network path from the entries in one data centre to the endpoints in another, as far as attempts show it.
type path struct {
	delay    time.Duration // delay is by how much answers take longer than within the target's data centre.
	sampled  time.Time     // sampled is when delay was last updated.
	took     time.Duration // took is the moving average of the time of an answer; before the first that of the target's own callers, or zero.
	failures float64       // failures is a moving average of failed attempts, from 0 to 1.
	decayed  time.Time     // decayed is when failures was last decayed.

	awaiting   int       // awaiting is the number of attempts of this epoch without an answer.
	progressed time.Time // progressed is when the last answer came, or when awaiting rose from zero if that was later.
	answeredAt time.Time // answeredAt is when the last answer came.
	epoch      uint32    // epoch is increased when probing begins, from when on older attempts aren't awaited.
	isProbed   bool      // isProbed is true while the path gets single attempts only: from a stall, many failures, a long delay not measured lately or a long time without answers until the next answer.
	isLost     bool      // isLost is true from a stall or many failures until the next answer: attempts on the path are lost.
	nextProbe  time.Time // nextProbe is when a path that is probed may get its next attempt.

	counts [causes]Amount
}

// refresh applies the passage of time to the path's state.
func (p *path) refresh(now time.Time) {
	if p.sampled.IsZero() {
		p.delay, p.sampled, p.decayed = usualDelay, now, now
	}
	if now.Sub(p.sampled) > delayMemory {
		if p.delay > 2*usualDelay && !p.isProbed {
			p.probe(now)
		}
		p.delay, p.sampled = (p.delay+usualDelay)/2, now
	}
	if passed := now.Sub(p.decayed); passed > 0 {
		p.failures /= 1 + passed.Seconds()/lossDecay.Seconds()
		p.decayed = now
	}
	if !p.isProbed && now.Sub(p.answeredAt) > answerMemory {
		p.probe(now)
		p.nextProbe = now
	}
	if p.awaiting >= minAwaiting && now.Sub(p.progressed) > max(minStall, stallFactor*p.took) {
		p.lose(now)
	}
}

// lose records that attempts on the path are lost, and begins to probe it.
func (p *path) lose(now time.Time) {
	p.isLost = true
	if !p.isProbed {
		p.probe(now)
	}
}

func (p *path) probe(now time.Time) {
	p.isProbed, p.awaiting, p.nextProbe = true, 0, now.Add(probeInterval)
	p.epoch++
}

// share returns the largest part of a data centre's demand that may take the path; refresh must have been called.
func (p *path) share() float64 {
	if p.isProbed {
		return 0
	}
	return max(0, 1-2*p.failures)
}

// mayCarry reports whether the path may get an attempt now; refresh must have been called.
func (p *path) mayCarry(now time.Time) bool { return !p.isProbed || !now.Before(p.nextProbe) }

// sent records an attempt and returns its epoch.
func (p *path) sent(now time.Time) uint32 {
	p.refresh(now)
	if p.isProbed {
		p.nextProbe = now.Add(probeInterval)
	}
	if p.awaiting == 0 {
		p.progressed = now
	}
	p.awaiting++
	return p.epoch
}

// answered records the answer to an attempt that took this time, and by how much longer than usual that was; the latter is not
// used if isCompared is false.
func (p *path) answered(now time.Time, epoch uint32, took, longer time.Duration, isCompared bool) {
	p.refresh(now)
	p.settle(epoch)
	if isCompared && p.isProbed {
		p.delay = max(0, longer)
	}
	p.progressed, p.answeredAt, p.isProbed, p.isLost = now, now, false, false
	p.failures -= p.failures / lossWeight
	if p.took == 0 {
		p.took = took
	}
	p.took += (took - p.took) / delayWeight
	if isCompared {
		p.delay += (max(0, longer) - p.delay) / delayWeight
		p.sampled = now
	}
}

// failed records the end of an attempt without an answer.
func (p *path) failed(now time.Time, epoch uint32, outcome cell.Outcome) {
	p.refresh(now)
	p.settle(epoch)
	if outcome != cell.Failed && outcome != cell.Unreached {
		return // The caller or the endpoint ended it.
	}
	p.failures += (1 - p.failures) / lossWeight
	if p.failures > 0.5 {
		p.lose(now)
	}
}

// settle removes an attempt from those that are awaited.
func (p *path) settle(epoch uint32) {
	if epoch == p.epoch && p.awaiting > 0 {
		p.awaiting--
	}
}
