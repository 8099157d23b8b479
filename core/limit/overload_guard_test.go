package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/due"
)

const lateness = 100 * time.Millisecond

// ticks simulates ticks over a span, each of which comes late by the given time, and returns the time at its end.
func ticks(s *OverloadGuard, now time.Time, late, span time.Duration) time.Time {
	for end := now.Add(span); now.Before(end); {
		now = now.Add(s.Tick(now, 0, false) + late)
	}
	return now
}

func TestStrain(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("a process that keeps up", func(t *testing.T) {
		is, s := is.New(t), NewOverloadGuard(lateness)
		now := ticks(s, start, 50*time.Millisecond, 10*time.Second)
		is.True(!s.IsLate(now) && !s.IsOverloaded(now))
	})
	t.Run("a process that stalled once", func(t *testing.T) {
		is, s := is.New(t), NewOverloadGuard(lateness)
		now := ticks(s, start, 0, time.Second).Add(5 * time.Second)
		is.True(s.IsLate(now)) // The next tick is overdue.
		s.Tick(now, 0, false)
		is.True(!s.IsLate(now) && !s.IsOverloaded(now))
	})
	t.Run("a process that is late all the time", func(t *testing.T) {
		is, s := is.New(t), NewOverloadGuard(lateness)
		now := ticks(s, start, 150*time.Millisecond, 2*time.Second)
		is.True(s.IsOverloaded(now))
		s.Tick(now, 0, false)
		is.True(!s.IsLate(now.Add(tickInterval+lateness-1)) && s.IsLate(now.Add(tickInterval+lateness)))
		now = ticks(s, now, 0, 2*time.Second)
		is.True(s.IsOverloaded(now)) // Still strained after 2 s, so that a load balancer that polls once a second sees it at least twice.
		now = ticks(s, now, 0, 3*time.Second)
		is.True(!s.IsOverloaded(now))
	})
	t.Run("scheduling delays although ticks are punctual", func(t *testing.T) {
		is, s := is.New(t), NewOverloadGuard(lateness)
		now := start
		for range 50 {
			is.True(!s.IsOverloaded(now) || now.Sub(start) >= 250*time.Millisecond)
			now = now.Add(s.Tick(now, lateness, false))
			is.True(s.IsLate(now))
		}
		is.True(s.IsOverloaded(now))
		s.Tick(now, lateness-1, false)
		is.True(!s.IsLate(now))
	})
	t.Run("more streams than the process can carry", func(t *testing.T) {
		is, s := is.New(t), NewOverloadGuard(lateness)
		now := start
		for range 100 {
			is.True(s.Enter(now, "kiosks", due.Even))
		}
		s.Tick(now, 0, false)
		now = now.Add(s.Tick(now, lateness, false))
		now = now.Add(s.Tick(now, 0, false))
		is.True(!s.IsLate(now))
		is.True(!s.Enter(now, "kiosks", due.Even)) // The requests in flight exceed the bound.
		for range 25 {
			s.Leave("kiosks")
		}
		is.True(s.Enter(now, "kiosks", due.Even))
		for range 24 {
			s.Leave("kiosks")
		}
		now = ticks(s, now, 0, 10*time.Second)
		for range 200 {
			is.True(s.Enter(now, "kiosks", due.Even)) // The bound was removed.
		}
	})
	t.Run("no limit", func(t *testing.T) {
		is, s := is.New(t), NewOverloadGuard(0)
		is.True(!s.IsLate(start) && !s.IsOverloaded(start))
	})
}

// flooded returns an OverloadGuard that is at its bound because one team has 100 requests in flight, and the time of its last tick.
func flooded(now time.Time) (*OverloadGuard, time.Time) {
	s := NewOverloadGuard(lateness)
	for range 100 {
		s.Enter(now, "flood", due.Even)
	}
	s.Tick(now, 0, false)
	now = now.Add(s.Tick(now, lateness, false))
	return s, now.Add(s.Tick(now, 0, false))
}

// A router that rejects a few callers becomes strained, so that the load balancer sends it no more.
func TestRefusingRouterIsStrained(t *testing.T) {
	is := is.New(t)
	s, now := flooded(time.Unix(1000, 0))
	refused := 0
	for range 20 {
		now = now.Add(5 * time.Millisecond)
		if !s.Enter(now, "flood", due.Even) {
			refused++
		}
	}
	is.True(refused > 10)
	is.True(s.IsOverloaded(now))
}

// At the bound, requests of a team with many in flight are rejected while other teams are admitted.
func TestFloodAtAnEntryLeavesTheOthersTheirs(t *testing.T) {
	is := is.New(t)
	s, now := flooded(time.Unix(1000, 0))
	is.True(!s.Enter(now, "flood", due.Even))
	is.True(s.IsFull(now)) // New connections are handed over to other routers, whatever their teams.
	is.True(s.RejectIfFull(now, "flood", due.Even) && !s.RejectIfFull(now, "kiosks", due.Even))
	for range 10 {
		is.True(s.Enter(now, "kiosks", due.Even))
	}
}

// Rejecting many requests costs processor time and may keep the process late by itself. The bound must not fall with each late tick
// until nobody is served: it stays at half of the requests that were in flight at first.
func TestFloodIsNotAnsweredByServingNobody(t *testing.T) {
	is := is.New(t)
	s, now := flooded(time.Unix(1000, 0))
	for s.Enter(now, "flood", due.Even) {
	}
	for range 200 {
		now = now.Add(s.Tick(now, lateness, false)) // Rejections alone keep the process late.
		s.Leave("flood")
		s.Enter(now, "flood", due.Even)
	}
	is.True(s.inFlight >= 50) // Half of the 100 requests that were in flight at first.
}
