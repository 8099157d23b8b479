package limit

import (
	"sync"
	"time"

	"ryelug/core/cell"
	"ryelug/core/due"
)

const (
	strainTick     = 20 * time.Millisecond   // strainTick is the interval of the ticks, a small part of what callers wait.
	strainSpan     = time.Second             // strainSpan is the time in which late ticks and refusals add up; balancers ask about once a second.
	strainPart     = 0.25                    // strainPart is the part of that time which must be late for the process to count as strained.
	strainRefusals = 8                       // strainRefusals is the number of refusals in that time for which it does as well.
	strainKeep     = 2500 * time.Millisecond // strainKeep is how long it counts so at least; a balancer that asks once a second misses it twice.
	strainCut      = 0.8                     // strainCut is the part of the requests at hand that a late process may have.
	strainFloor    = 0.5                     // strainFloor is the least such part of those that it had when it became late; refusals alone may keep it late.
	strainPause    = 200 * time.Millisecond  // strainPause is the time between two cuts, in which some of the requests at hand end.
	strainGrowth   = 1                       // strainGrowth is what each tick in time adds to their bound.
	strainFewest   = 8                       // strainFewest is the least bound.
	strainOver     = 1.5                     // strainOver times the bound is borne at most, where teams with few requests at hand go beyond it.
	strainAtOnce   = 100 * time.Millisecond  // strainAtOnce bounds what one late tick adds, so that a process that stood still once is not strained.
)

// Strain tells whether a process keeps up with its work, from how long the parts of the work wait
// for the processor. It answers a flood of callers at one router while others have time: what the
// process does not bear is sent on to those, and the teams share what it bears. It may be used by many
// goroutines; nil is never late.
type Strain struct {
	limit time.Duration

	mu       sync.Mutex
	due      time.Time     // due is when the next tick is to come.
	waited   time.Duration // waited is how long work waited before the last tick.
	late     time.Duration // late is how much of the time of late had work wait for too long; it fades.
	refusals float64       // refusals is the number of requests sent elsewhere of late; it fades.
	fadedAt  time.Time
	until    time.Time           // until is when the process counts as strained no more.
	flights  int                 // flights counts the requests at hand,
	teams    map[cell.TeamID]int // teams those of each team that has some.
	most     float64             // most bounds them; zero is no bound.
	borne    float64             // borne is their number when the bound was set first.
	cutAt    time.Time           // cutAt is when the bound was lowered last.
}

// NewStrain returns a Strain of a process whose ticks are late from the limit on, or nil if there is no limit.
func NewStrain(limit time.Duration) *Strain {
	if limit == 0 {
		return nil
	}
	return &Strain{limit: limit, teams: make(map[cell.TeamID]int)}
}

// Tick takes how long work has waited for the processor since the last tick, and whether the process has hardly any room
// left, and returns the time to the next.
func (s *Strain) Tick(now time.Time, waited time.Duration, full bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fade(now)
	s.waited = waited
	late := !s.due.IsZero() && max(waited, now.Sub(s.due)) >= s.limit
	if late || full {
		s.late += min(strainTick+now.Sub(s.due), strainAtOnce)
	}
	s.bound(now, late, full)
	if s.late.Seconds() > strainPart*strainSpan.Seconds() {
		s.until = now.Add(strainKeep)
	}
	s.due = now.Add(strainTick)
	return strainTick
}

// bound lowers the bound on requests at hand while the process is late, keeps it while there is hardly any room, and
// raises it again. A stream costs as much later as at its beginning, so turning new ones away only while work waits lets
// in too many.
func (s *Strain) bound(now time.Time, late, full bool) {
	switch {
	case full && !late:
		if s.most == 0 {
			s.borne, s.most = float64(s.flights), max(strainFewest, float64(s.flights))
		}
	case late && now.Sub(s.cutAt) >= strainPause:
		if s.most == 0 {
			s.borne = float64(s.flights)
		}
		s.most, s.cutAt = max(strainFewest, strainCut*float64(s.flights), strainFloor*s.borne), now
	case !late && s.most > 0:
		s.most += strainGrowth
		if s.most > float64(2*s.flights+strainFewest) {
			s.most, s.borne = 0, 0
		}
	}
}

// Enter counts a new request of a team in, and returns false if it is to be sent elsewhere.
func (s *Strain) Enter(now time.Time, team cell.TeamID, standing due.Standing) bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.bears(now, team, standing) {
		s.turn(now)
		return false
	}
	s.flights++
	s.teams[team]++
	return true
}

// Leave counts a request of a team out that Enter has counted in.
func (s *Strain) Leave(team cell.TeamID) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flights--
	if s.teams[team]--; s.teams[team] == 0 {
		delete(s.teams, team)
	}
}

// IsFull tells whether the process bears no more requests than those at hand, whatever their teams.
func (s *Strain) IsFull(now time.Time) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	most, isBound := s.room(now)
	return isBound && float64(s.flights) >= most
}

// Turns tells whether Enter would refuse a new request of a team now, and counts it as refused if so.
func (s *Strain) Turns(now time.Time, team cell.TeamID, standing due.Standing) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bears(now, team, standing) {
		return false
	}
	s.turn(now)
	return true
}

// turn counts a refusal. A process that turns callers away should get no more of them.
func (s *Strain) turn(now time.Time) {
	s.fade(now)
	if s.refusals++; s.refusals >= strainRefusals {
		s.until = now.Add(strainKeep)
	}
}

// room returns how many requests at hand are borne, if that is bounded now.
func (s *Strain) room(now time.Time) (most float64, isBound bool) {
	if s.isLate(now) {
		return strainFloor * s.borne, true
	}
	return s.most, s.most > 0
}

// bears goes by the bound, or by the least one while work waits. A team that is behind in the fleet goes beyond it; if none
// is, one that has less than an even part of it at hand.
func (s *Strain) bears(now time.Time, team cell.TeamID, standing due.Standing) bool {
	most, isBound := s.room(now)
	if !isBound || float64(s.flights) < most {
		return true
	}
	if standing == due.Ahead || float64(s.flights) >= strainOver*most {
		return false
	}
	teams := len(s.teams)
	if s.teams[team] == 0 {
		teams++
	}
	return standing == due.Behind || float64(s.teams[team]*teams) < most
}

// fade forgets late ticks and refusals over the span.
func (s *Strain) fade(now time.Time) {
	passed := now.Sub(s.fadedAt)
	s.fadedAt = now
	left := max(0, 1-passed.Seconds()/strainSpan.Seconds())
	s.late = time.Duration(float64(s.late) * left)
	s.refusals *= left
}

// IsLate tells whether work waited for too long of late, or the next tick is late already: a request
// that comes now would wait for as long.
func (s *Strain) IsLate(now time.Time) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isLate(now)
}

func (s *Strain) isLate(now time.Time) bool {
	return s.waited >= s.limit || !s.due.IsZero() && now.Sub(s.due) >= s.limit
}

// Waited returns how long work waited for the processor before the last tick.
func (s *Strain) Waited() time.Duration {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waited
}

// Late returns how long work that comes now has waited, or zero if that is less than the limit.
func (s *Strain) Late(now time.Time) time.Duration {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isLate(now) {
		return 0
	}
	return max(s.waited, now.Sub(s.due))
}

// AtHand returns the number of requests at hand.
func (s *Strain) AtHand() int {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.flights
}

// IsStrained tells whether work waited for too long in so much of the last time that callers had better go elsewhere.
func (s *Strain) IsStrained(now time.Time) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until)
}
