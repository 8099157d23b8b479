package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const lateness = 100 * time.Millisecond

// ticks plays ticks that are late by so much each, for a time.
func ticks(s *Strain, now time.Time, late, span time.Duration) time.Time {
	for end := now.Add(span); now.Before(end); {
		now = now.Add(s.Tick(now, 0) + late)
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
		s.Tick(now, 0)
		is.True(!s.IsLate(now) && !s.IsStrained(now))
	})
	t.Run("one that is late all the time", func(t *testing.T) {
		is, s := is.New(t), NewStrain(lateness)
		now := ticks(s, start, 150*time.Millisecond, 2*time.Second)
		is.True(s.IsStrained(now))
		s.Tick(now, 0)
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
			now = now.Add(s.Tick(now, lateness))
			is.True(s.IsLate(now))
		}
		is.True(s.IsStrained(now))
		s.Tick(now, lateness-1)
		is.True(!s.IsLate(now))
	})
	t.Run("more streams than it can carry", func(t *testing.T) {
		is, s := is.New(t), NewStrain(lateness)
		now := start
		for range 100 {
			is.True(s.Enter(now))
		}
		s.Tick(now, 0)
		now = now.Add(s.Tick(now, lateness))
		now = now.Add(s.Tick(now, 0))
		is.True(!s.IsLate(now))
		is.True(!s.Enter(now)) // Those at hand are too many already.
		for range 25 {
			s.Leave()
		}
		is.True(s.Enter(now))
		for range 24 {
			s.Leave()
		}
		now = ticks(s, now, 0, 10*time.Second)
		for range 200 {
			is.True(s.Enter(now)) // The bound is gone.
		}
	})
	t.Run("no limit", func(t *testing.T) {
		is, s := is.New(t), NewStrain(0)
		is.True(!s.IsLate(start) && !s.IsStrained(start))
	})
}
