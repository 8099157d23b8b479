package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/due"
)

const lateness = 100 * time.Millisecond

// ticks plays ticks that are late by so much each, for a time.
func ticks(s *Strain, now time.Time, late, span time.Duration) time.Time {
	for end := now.Add(span); now.Before(end); {
		now = now.Add(s.Tick(now, 0, false) + late)
	}
	return now
}

func TestStrain(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("a process that keeps up", func(t *testing.T) {
		is, s := is.New(t), NewStrain(lateness)
		now := ticks(s, start, 50*time.Millisecond, 10*time.Second)
		is.True(!s.IsLate(now) && !s.IsStrained(now))
	})
	t.Run("one that stood still once", func(t *testing.T) {
		is, s := is.New(t), NewStrain(lateness)
		now := ticks(s, start, 0, time.Second).Add(5 * time.Second)
		is.True(s.IsLate(now)) // Until its next tick.
		s.Tick(now, 0, false)
		is.True(!s.IsLate(now) && !s.IsStrained(now))
	})
	t.Run("one that is late all the time", func(t *testing.T) {
		is, s := is.New(t), NewStrain(lateness)
		now := ticks(s, start, 150*time.Millisecond, 2*time.Second)
		is.True(s.IsStrained(now))
		s.Tick(now, 0, false)
		is.True(!s.IsLate(now.Add(strainTick+lateness-1)) && s.IsLate(now.Add(strainTick+lateness)))
		now = ticks(s, now, 0, 2*time.Second)
		is.True(s.IsStrained(now)) // For long enough that the balancer asks twice.
		now = ticks(s, now, 0, 3*time.Second)
		is.True(!s.IsStrained(now))
	})
	t.Run("one whose work waits, though its ticks come in time", func(t *testing.T) {
		is, s := is.New(t), NewStrain(lateness)
		now := start
		for range 50 {
			is.True(!s.IsStrained(now) || now.Sub(start) >= 250*time.Millisecond)
			now = now.Add(s.Tick(now, lateness, false))
			is.True(s.IsLate(now))
		}
		is.True(s.IsStrained(now))
		s.Tick(now, lateness-1, false)
		is.True(!s.IsLate(now))
	})
	t.Run("more streams than it can carry", func(t *testing.T) {
		is, s := is.New(t), NewStrain(lateness)
		now := start
		for range 100 {
			is.True(s.Enter(now, "kiosks", due.Even))
		}
		s.Tick(now, 0, false)
		now = now.Add(s.Tick(now, lateness, false))
		now = now.Add(s.Tick(now, 0, false))
		is.True(!s.IsLate(now))
		is.True(!s.Enter(now, "kiosks", due.Even)) // Those at hand are too many already.
		for range 25 {
			s.Leave("kiosks")
		}
		is.True(s.Enter(now, "kiosks", due.Even))
		for range 24 {
			s.Leave("kiosks")
		}
		now = ticks(s, now, 0, 10*time.Second)
		for range 200 {
			is.True(s.Enter(now, "kiosks", due.Even)) // The bound is gone.
		}
	})
	t.Run("no limit", func(t *testing.T) {
		is, s := is.New(t), NewStrain(0)
		is.True(!s.IsLate(start) && !s.IsStrained(start))
	})
}

// flooded returns a Strain at whose bound a team asks for ever more.
func flooded(now time.Time) (*Strain, time.Time) {
	s := NewStrain(lateness)
	for range 100 {
		s.Enter(now, "flood", due.Even)
	}
	s.Tick(now, 0, false)
	now = now.Add(s.Tick(now, lateness, false))
	return s, now.Add(s.Tick(now, 0, false))
}

// A router that turns callers away asks the balancer for no more by the time that it has turned a few away.
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
	is.True(s.IsStrained(now))
}

// A team that floods an entry takes no room there from the others.
func TestFloodAtAnEntryLeavesTheOthersTheirs(t *testing.T) {
	is := is.New(t)
	s, now := flooded(time.Unix(1000, 0))
	is.True(!s.Enter(now, "flood", due.Even))
	is.True(s.IsFull(now)) // New connections go to other routers, whatever their teams.
	is.True(s.Turns(now, "flood", due.Even) && !s.Turns(now, "kiosks", due.Even))
	for range 10 {
		is.True(s.Enter(now, "kiosks", due.Even))
	}
}

// A flood that costs the processor's time by being refused does not end the work of those that are served.
func TestFloodIsNotAnsweredByServingNobody(t *testing.T) {
	is := is.New(t)
	s, now := flooded(time.Unix(1000, 0))
	for s.Enter(now, "flood", due.Even) {
	}
	for range 200 {
		now = now.Add(s.Tick(now, lateness, false)) // Refusals alone keep the process late.
		s.Leave("flood")
		s.Enter(now, "flood", due.Even)
	}
	is.True(s.flights >= 50) // half of what it bore
}
