package crossing

import "time"

const (
	// roomFraction is the fraction of its slots up to which a data centre takes requests of others; the rest is for its own. With 0.9,
	// 0.900 of the calls at 1.4 of the capacity were in time beside data centres at 0.8 and 0.7 (in the simulation of core/admission), with
	// 0.95 they were 0.939. With 1, 0.1 in place of 0.08 of an even 0.9 left, and the part that left differed by 0.24 between seconds.
	roomFraction = 0.95
	// step is the share from which on requests leave: a share that has just become necessary starts with it.
	step = 0.1
	// rise is the most by which the share rises in a second. With step it keeps the difference between the parts of the
	// demand that leave in two adjacent seconds below 0.2, wherever the seconds begin: 0.18 + 0.06 d - 0.08 d^2 for a start
	// d before the end of the first one, which is 0.191 at most.
	rise = 0.16
	// fall is by how much it falls in a second. Requests that find no room elsewhere come on top: with 0.16, in 4 of 15 runs of the
	// simulation with demand in waves, the part that left fell by 0.19 to 0.21 within a second.
	fall = 0.13
	// needGap is the longest time between two requests that need the share for which it counts as needed throughout.
	needGap = 200 * time.Millisecond
	// minNeed is the time for which the share must be needed before it rises from zero. In the trial with even demand of 0.7 of
	// the capacity, a share that rose at once let 0.6 % of the requests leave.
	minNeed = 100 * time.Millisecond
	// hold is how long the share stays after the last request that needed it. Demand that comes in waves shorter than that
	// doesn't change the share.
	hold = time.Second
	// maxCredit limits the requests that may leave at once because none could before, and those that may not because others have left
	// without credit.
	maxCredit = 2
	// cheapCredit and dearCredit are the credit that a request needs in order to leave: one for which leaving is worthwhile
	// leaves before the others, so that the share is made up of such requests where there are enough.
	cheapCredit, dearCredit = 0.5, 1.5
	// lateFraction is the fraction of the time from Trip.Since to its deadline after which a waiting request counts as late.
	lateFraction = 0.1
	// answerWeight is the inverse weight of a new sample in the moving averages of a site.
	answerWeight = 16
)

// Load is the use of a data centre's open endpoints.
type Load struct {
	Slots   int // Slots is the number of requests that they run at once; zero if none is open.
	Running int // Running is the number of requests granted to them that have not ended.
}

// pressure returns the part of the slots that is in use, which is above 1 if requests wait for a slot at an endpoint.
func (l Load) pressure() float64 { return float64(l.Running) / float64(max(1, l.Slots)) }

// site is the state of a data centre, as the place of endpoints and of entries.
type site struct {
	name   string
	load   Load
	answer time.Duration // answer is the moving average of the time of an answer to a request that didn't leave; zero before the first.
	wait   time.Duration // wait is the moving average of the wait for a grant of requests that didn't leave.

	share    float64   // share is the part of the demand that leaves.
	credit   float64   // credit is the number of requests that may leave now, from -maxCredit to maxCredit.
	neededAt time.Time // neededAt is when a request last needed the share.
	needFrom time.Time // needFrom is since when it is needed throughout.
	lateAt   time.Time // lateAt is when a request was last late while the site was full.
	updated  time.Time // updated is when share was last updated.
	paths    []path    // paths holds the paths to the other sites, by their index.
}

// update lets the share rise while it is needed and another data centre has room, and fall afterwards. It is at most limit, which
// is what the paths let through.
func (s *site) update(now time.Time, hasRoom bool, limit float64) {
	passed := max(0, now.Sub(s.updated))
	s.updated = now
	switch sinceNeed := now.Sub(s.neededAt); {
	case hasRoom && sinceNeed <= needGap:
		if s.share > 0 || s.neededAt.Sub(s.needFrom) >= minNeed {
			s.share = max(step, s.share+rise*min(passed, needGap).Seconds())
		}
	case !hasRoom || sinceNeed > hold:
		s.share -= fall * passed.Seconds()
	}
	s.share = max(0, min(s.share, limit))
	if s.share == 0 {
		s.credit = 0
	}
}

// hasRoom reports whether the site takes requests of others: slots are free, and its own requests aren't late. The
// latter matters as slots that waiting requests are about to get look free for a moment.
func (s *site) hasRoom(now time.Time) bool {
	return float64(s.load.Running) < roomFraction*float64(s.load.Slots) && now.Sub(s.lateAt) > needGap
}

// isShort reports whether the site lacks capacity for a request: its slots are in use, its engines would be late, or what else keeps
// its endpoints from taking the request, such as a cold start, has done so for long.
func (s *site) isShort(trip *Trip) bool {
	return s.load.Running >= s.load.Slots || trip.IsOwnLate || trip.hasWaitedLong()
}

// need records a request that needs the share.
func (s *site) need(now time.Time) {
	if now.Sub(s.neededAt) > needGap {
		s.needFrom = now
	}
	s.neededAt = now
}

// expectedWait returns how long a request of the site that has waited for this time is expected to wait on for a slot there.
func (s *site) expectedWait(waited time.Duration) time.Duration {
	if s.load.Running < s.load.Slots {
		return 0
	}
	atEndpoint := time.Duration(float64(s.answer) * (s.load.pressure() - 1))
	return atEndpoint + max(s.wait, waited)
}
