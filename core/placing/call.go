package placing

import "time"

const (
	// queuedFraction is the number of calls, as a fraction of its slots, that a service's endpoint may get beyond its slots. They
	// wait there while the end of a call travels to the dispatcher and the next grant back, so that no slot is idle meanwhile.
	queuedFraction = 0.5
	// callMargin is the factor by which a call may take longer than the mean and still be in time.
	callMargin = 1.5
	// callWeight is the inverse weight of a new call in the moving average of the times that calls take.
	callWeight = 16
)

// callTime is a moving average of the time that a call of a service takes from its grant until its end is known, without the wait
// for a slot at its endpoint. It is zero until a call has ended.
type callTime time.Duration

// add records the time of a call that had to wait for a slot as expected by waitFactor.
func (c *callTime) add(took time.Duration, waitFactor float64) {
	sample := callTime(float64(took) / waitFactor)
	if *c == 0 {
		*c = sample
		return
	}
	*c += (sample - *c) / callWeight
}

// expected returns the time to expect of a call, with callMargin, if it waits for a slot as by waitFactor.
func (c callTime) expected(waitFactor float64) time.Duration {
	return time.Duration(callMargin * waitFactor * float64(c))
}

// waitFactor returns by how much a call takes longer because it waits for a slot at the endpoint, beside calls that run there already.
func (e *endpoint) waitFactor(running int) float64 {
	return 1 + float64(max(0, running+1-e.slots))/float64(max(1, e.slots))
}

// queueLimit returns the most calls that a service's endpoint gets beyond its slots.
func (e *endpoint) queueLimit() int {
	if e.engine != nil {
		return 0 // Each of its requests takes far longer than a grant.
	}
	return max(1, int(queuedFraction*float64(e.slots)))
}

// verdictOnCall returns the verdict on a call at a service's endpoint that may get one more.
func (e *endpoint) verdictOnCall(now time.Time, request *Request) Verdict {
	switch {
	case request.hasRunOut(now, e.call.expected(1)):
		return Hopeless
	case request.hasRunOut(now, e.call.expected(e.waitFactor(e.running))):
		return Waits
	}
	return Admitted
}

// hasRunOut reports whether a call that takes this time has too little time left, so that another one should get the slot.
func (r *Request) hasRunOut(now time.Time, callTime time.Duration) bool {
	if r.Objective > 0 {
		return PacedTime(r.Objective, callTime) > r.left(now)
	}
	return NeededTime(r.Since, r.Deadline, callTime) > r.left(now)
}

// NeededTime returns how much of the time left until its deadline a call needs that came at since. It is zero for a call without a
// deadline, and for one that never had enough time: that is no reason to prefer others to it.
func NeededTime(since, deadline time.Time, callTime time.Duration) time.Duration {
	if deadline.Sub(since) < callTime {
		return 0
	}
	return callTime
}

// LeastCallTime returns the least time to expect of a call at the open endpoints of a service; zero if no call has ended yet, and
// for model engines.
func (t *Table) LeastCallTime(now time.Time) time.Duration {
	if t.policy.Engine != nil {
		return 0
	}
	if t.HasPacedCalls() {
		return t.leastPacedTime(now)
	}
	var least time.Duration
	for i := range t.endpoints {
		at := &t.endpoints[i]
		if expected := at.call.expected(1); t.admits(at) && expected > 0 && (least == 0 || expected < least) {
			least = expected
		}
	}
	return least
}
