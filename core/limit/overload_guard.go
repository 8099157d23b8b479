package limit

import (
	"sync"
	"time"

	"ryelug/core/cell"
	"ryelug/core/due"
)

const (
	tickInterval       = 20 * time.Millisecond   // tickInterval is the time between two ticks, a small part of what callers wait.
	strainWindow       = time.Second             // strainWindow is the time over which late ticks and rejections add up; load balancers poll about once a second.
	strainedFraction   = 0.25                    // strainedFraction is the fraction of strainWindow for which the process must be late, or have hardly any spare capacity, to count as strained.
	strainedRejections = 8                       // strainedRejections is the number of rejections within strainWindow for which the process counts as strained.
	minStrained        = 2500 * time.Millisecond // minStrained is the least time for which the process counts as strained; a load balancer that polls once a second sees it at least twice.
	cutFactor          = 0.8                     // cutFactor is the fraction of the requests in flight to which a late tick lowers the bound.
	minBoundFraction   = 0.5                     // minBoundFraction is the least bound as a fraction of the baseline; rejections alone may keep the process late, and must not stop all service.
	cutInterval        = 200 * time.Millisecond  // cutInterval is the least time between two reductions of the bound, in which some requests in flight end.
	boundGrowth        = 1                       // boundGrowth is the number of requests by which each tick raises the bound if it is on time and the process has spare capacity.
	minBound           = 8                       // minBound is the least number of requests in flight to which a tick sets the bound.
	excessFactor       = 1.5                     // excessFactor is the maximum number of requests in flight as a multiple of the bound; teams with few requests may exceed the bound up to it.
	maxLatePerTick     = 100 * time.Millisecond  // maxLatePerTick caps what one late tick adds, so that a process that stalled once is not strained.
)

// OverloadGuard detects that a process can't keep up with its work, from the scheduling delay (how long runnable work waits for the
// processor), and bounds its requests in flight while that is so. It protects against too many callers at one router while
// others have spare capacity: the excess is rejected here so that it goes to other routers, and the teams share the capacity
// that is left. A process that was late or rejected requests often within the last second counts as strained for a while, in
// which the load balancer should send callers elsewhere. OverloadGuard is safe for concurrent use; a nil OverloadGuard is
// never late and admits everything.
type OverloadGuard struct {
	maxDelay time.Duration // maxDelay is the scheduling delay from which on the process counts as late.

	mu               sync.Mutex
	nextTick         time.Time           // nextTick is when the next tick is expected; zero before the first.
	delay            time.Duration       // delay is the scheduling delay recorded by the last tick.
	late             time.Duration       // late is how long the process was late or had hardly any spare capacity within about the last strainWindow; it decays.
	recentRejections float64             // recentRejections is the number of rejections within about the last strainWindow; it decays.
	decayedAt        time.Time           // decayedAt is when late and recentRejections were last decayed.
	strainedUntil    time.Time           // strainedUntil is when the process stops counting as strained.
	inFlight         int                 // inFlight is the number of requests in flight.
	teams            map[cell.TeamID]int // teams holds the number of requests in flight of each team that has any.
	bound            float64             // bound is the number of requests in flight from which on admits restricts new ones; zero means unbounded.
	baseline         float64             // baseline is the number of requests in flight when the bound was first set.
	cutAt            time.Time           // cutAt is when the bound was last lowered.
}

// NewOverloadGuard returns an OverloadGuard for which a scheduling delay from maxDelay on is late, or nil if maxDelay is zero.
func NewOverloadGuard(maxDelay time.Duration) *OverloadGuard {
	if maxDelay == 0 {
		return nil
	}
	return &OverloadGuard{maxDelay: maxDelay, teams: make(map[cell.TeamID]int)}
}

// Tick records the scheduling delay since the last tick and whether the process has hardly any spare capacity, and returns the
// time until the next tick. A tick that comes late itself counts as a delay.
func (s *OverloadGuard) Tick(now time.Time, delay time.Duration, full bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	s.delay = delay
	late := !s.nextTick.IsZero() && max(delay, now.Sub(s.nextTick)) >= s.maxDelay
	if late || full {
		s.late += min(tickInterval+now.Sub(s.nextTick), maxLatePerTick)
	}
	s.adjustBound(now, late, full)
	if s.late.Seconds() > strainedFraction*strainWindow.Seconds() {
		s.strainedUntil = now.Add(minStrained)
	}
	s.nextTick = now.Add(tickInterval)
	return tickInterval
}

// adjustBound updates the bound on requests in flight at a tick. While the process is late, it sets the bound to cutFactor times the
// number in flight, at most once per cutInterval; minBound and minBoundFraction limit how low. While there is hardly any spare
// capacity, it keeps the bound, or sets it to the number in flight (at least minBound) if there is none. Otherwise it raises the
// bound, and removes it when it exceeds twice the number in flight plus minBound.
//
// The bound also applies between late ticks because a stream uses as much processor time later as at its beginning: rejecting new
// requests only while the process is late would admit too many.
func (s *OverloadGuard) adjustBound(now time.Time, late, full bool) {
	switch {
	case full && !late:
		if s.bound == 0 {
			s.baseline, s.bound = float64(s.inFlight), max(minBound, float64(s.inFlight))
		}
	case late && now.Sub(s.cutAt) >= cutInterval:
		if s.bound == 0 {
			s.baseline = float64(s.inFlight)
		}
		s.bound, s.cutAt = max(minBound, cutFactor*float64(s.inFlight), minBoundFraction*s.baseline), now
	case !late && s.bound > 0:
		s.bound += boundGrowth
		if s.bound > float64(2*s.inFlight+minBound) {
			s.bound, s.baseline = 0, 0
		}
	}
}

// Enter admits a new request of a team and counts it as in flight, or records a rejection and returns false.
func (s *OverloadGuard) Enter(now time.Time, team cell.TeamID, standing due.Standing) bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.admits(now, team, standing) {
		s.recordRejection(now)
		return false
	}
	s.inFlight++
	s.teams[team]++
	return true
}

// Leave ends a request of a team that Enter has admitted.
func (s *OverloadGuard) Leave(team cell.TeamID) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.teams[team]--; s.teams[team] == 0 {
		delete(s.teams, team)
	}
}

// IsFull reports whether the number of requests in flight has reached the bound. Some teams may still exceed it; see Enter.
func (s *OverloadGuard) IsFull(now time.Time) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	bound, isBounded := s.currentBound(now)
	return isBounded && float64(s.inFlight) >= bound
}

// RejectIfFull reports whether Enter would reject a new request of a team now. If so, it records a rejection.
func (s *OverloadGuard) RejectIfFull(now time.Time, team cell.TeamID, standing due.Standing) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admits(now, team, standing) {
		return false
	}
	s.recordRejection(now)
	return true
}

// recordRejection counts a rejection. After several of them the process counts as strained, so that the load balancer sends
// fewer callers.
func (s *OverloadGuard) recordRejection(now time.Time) {
	s.decay(now)
	if s.recentRejections++; s.recentRejections >= strainedRejections {
		s.strainedUntil = now.Add(minStrained)
	}
}

// currentBound returns the bound on requests in flight, and whether one applies now. While the process is late, it
// returns minBoundFraction times baseline instead of the bound that the ticks have set. If the process is late and no tick has set
// a bound, baseline is zero and so is the result: every new request is rejected.
func (s *OverloadGuard) currentBound(now time.Time) (bound float64, isBounded bool) {
	if s.isLate(now) {
		return minBoundFraction * s.baseline, true
	}
	return s.bound, s.bound > 0
}

// admits reports whether a new request of a team is admitted. Below the bound every request is. From the bound up to
// excessFactor times the bound, requests of teams that are behind their fair share are admitted, or, if no team is behind, those
// of teams with less than an equal part of the bound in flight.
func (s *OverloadGuard) admits(now time.Time, team cell.TeamID, standing due.Standing) bool {
	bound, isBounded := s.currentBound(now)
	if !isBounded || float64(s.inFlight) < bound {
		return true
	}
	if standing == due.Ahead || float64(s.inFlight) >= excessFactor*bound {
		return false
	}
	teams := len(s.teams)
	if s.teams[team] == 0 {
		teams++
	}
	return standing == due.Behind || float64(s.teams[team]*teams) < bound
}

// decay reduces late and recentRejections by the fraction of strainWindow that has elapsed since the last call. They are zero after
// a whole window without calls; with frequent calls they decay exponentially.
func (s *OverloadGuard) decay(now time.Time) {
	elapsed := now.Sub(s.decayedAt)
	s.decayedAt = now
	factor := max(0, 1-elapsed.Seconds()/strainWindow.Seconds())
	s.late = time.Duration(float64(s.late) * factor)
	s.recentRejections *= factor
}

// IsLate reports whether the last tick recorded a scheduling delay of at least maxDelay, or the next tick is overdue by at least
// maxDelay. A request that arrives now would wait for as long.
func (s *OverloadGuard) IsLate(now time.Time) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isLate(now)
}

// isLate is IsLate for callers that hold mu.
func (s *OverloadGuard) isLate(now time.Time) bool {
	return s.delay >= s.maxDelay || !s.nextTick.IsZero() && now.Sub(s.nextTick) >= s.maxDelay
}

// LastDelay returns the scheduling delay that the last tick recorded.
func (s *OverloadGuard) LastDelay() time.Duration {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay
}

// CurrentDelay returns the present scheduling delay, or zero if the process is not late.
func (s *OverloadGuard) CurrentDelay(now time.Time) time.Duration {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isLate(now) {
		return 0
	}
	return max(s.delay, now.Sub(s.nextTick))
}

// InFlight returns the number of requests in flight; zero for nil.
func (s *OverloadGuard) InFlight() int {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// IsOverloaded reports whether the process was late, had hardly any spare capacity or rejected requests for so much of the last
// second that callers should go to other routers.
func (s *OverloadGuard) IsOverloaded(now time.Time) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.strainedUntil)
}
