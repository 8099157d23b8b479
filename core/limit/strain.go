package limit

import (
	"sync"
	"time"
)

const (
	strainTick   = 20 * time.Millisecond   // strainTick is the interval of the ticks, well below any lateness that matters to callers.
	strainSpan   = time.Second             // strainSpan is the time in which late ticks add up; balancers ask about once a second.
	strainPart   = 0.25                    // strainPart is the part of that time which must be late for the process to count as strained.
	strainKeep   = 2500 * time.Millisecond // strainKeep is how long it counts so at least, in which a balancer that asks once a second misses it twice.
	strainAtOnce = 100 * time.Millisecond  // strainAtOnce bounds what one late tick adds, so that a process that stood still once is not strained.
)

// Strain tells from how late its ticks come whether a process keeps up with its work. It
// answers a flood of callers at one router while others have time: new requests are sent
// on to those. It may be used by many goroutines; nil is never late.
type Strain struct {
	limit time.Duration

	mu      sync.Mutex
	due     time.Time     // due is when the next tick is to come.
	late    time.Duration // late is how much of the time of late fell on late ticks; it fades.
	fadedAt time.Time
	until   time.Time // until is when the process counts as strained no more.
}

// NewStrain returns a Strain of a process whose ticks are late from the limit on, or nil if there is no limit.
func NewStrain(limit time.Duration) *Strain {
	if limit == 0 {
		return nil
	}
	return &Strain{limit: limit}
}

// Tick takes a tick and returns the time to the next.
func (s *Strain) Tick(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fade(now)
	if !s.due.IsZero() && now.Sub(s.due) >= s.limit {
		s.late += min(now.Sub(s.due), strainAtOnce)
	}
	if s.late.Seconds() > strainPart*strainSpan.Seconds() {
		s.until = now.Add(strainKeep)
	}
	s.due = now.Add(strainTick)
	return strainTick
}

// fade forgets late ticks over the span.
func (s *Strain) fade(now time.Time) {
	passed := now.Sub(s.fadedAt)
	s.fadedAt = now
	if passed >= strainSpan {
		s.late = 0
		return
	}
	s.late -= time.Duration(float64(s.late) * passed.Seconds() / strainSpan.Seconds())
}

// IsLate tells whether the next tick is late already: a request that comes now would wait for as long.
func (s *Strain) IsLate(now time.Time) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.due.IsZero() && now.Sub(s.due) >= s.limit
}

// IsStrained tells whether ticks were late for so much of the last time that callers had better go elsewhere.
func (s *Strain) IsStrained(now time.Time) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until)
}
