package due_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/due"
)

const step = 50 * time.Millisecond

var start = time.Unix(1000, 0)

// play simulates a span in which each team asks for and receives the given costs every step. Where a team receives less than it
// asked for, one of its requests is rejected. It returns the time at the end of the span.
func play(t *due.Table, now time.Time, span time.Duration, asked, got []cell.Cost) time.Time {
	for end := now.Add(span); now.Before(end); now = now.Add(step) {
		for team := range asked {
			t.AddDemand(now, team, asked[team])
			t.Begin(now, team, got[team])
			if got[team] < asked[team] {
				t.Unmet(now, team, 1)
			}
		}
	}
	return now
}

func newTable(teams int) *due.Table {
	t := &due.Table{}
	t.Grow(teams)
	return t
}

func TestTable(t *testing.T) {
	t.Run("receives half of what others receive", func(t *testing.T) {
		is, table := is.New(t), newTable(3)
		now := play(table, start, 4*time.Second, []cell.Cost{100, 100, 10}, []cell.Cost{100, 50, 10})
		is.Equal(table.Behind(now), []int{1})
		is.True(table.IsBehind(now, 1) && !table.IsBehind(now, 0))
		is.True(table.ServiceFraction(now, 1) < 0.55 && table.ServiceFraction(now, 2) >= 0.95)
	})
	t.Run("asks for more than any team receives", func(t *testing.T) {
		is, table := is.New(t), newTable(2)
		now := play(table, start, 4*time.Second, []cell.Cost{1000, 100}, []cell.Cost{100, 100})
		is.Equal(len(table.Behind(now)), 0)
	})
	t.Run("had no request rejected", func(t *testing.T) {
		is, table := is.New(t), newTable(2)
		now := play(table, start, 4*time.Second, []cell.Cost{100, 0}, []cell.Cost{100, 0})
		table.AddDemand(now, 1, 50) // The first request of the team that waits.
		is.Equal(len(table.Behind(now.Add(time.Second))), 0)
	})
	t.Run("has caught up", func(t *testing.T) {
		is, table := is.New(t), newTable(2)
		now := play(table, start, 3*time.Second, []cell.Cost{100, 100}, []cell.Cost{100, 20})
		is.True(table.IsBehind(now, 1))
		now = play(table, now, 3*time.Second, []cell.Cost{100, 100}, []cell.Cost{100, 95})
		is.True(!table.IsBehind(now, 1))
	})
	t.Run("underserved from the start, detected within half a second", func(t *testing.T) {
		is, table := is.New(t), newTable(2)
		now := play(table, start, 500*time.Millisecond, []cell.Cost{100, 100}, []cell.Cost{100, 10})
		is.True(table.IsBehind(now, 1))
	})
	t.Run("requests taken back", func(t *testing.T) {
		is, table := is.New(t), newTable(2)
		now := play(table, start, 2*time.Second, []cell.Cost{100, 100}, []cell.Cost{100, 100})
		table.Begin(now, 1, -3000)
		table.Unmet(now, 1, 1)
		is.True(table.IsBehind(now.Add(step*5), 1))
	})
	t.Run("former service with spare capacity does not count later", func(t *testing.T) {
		is, table := is.New(t), newTable(2)
		now := play(table, start, 2*time.Second, []cell.Cost{1000, 0}, []cell.Cost{1000, 0})
		now = play(table, now, time.Second, []cell.Cost{1000, 1000}, []cell.Cost{0, 1000})
		is.True(table.IsBehind(now, 0))
	})
	t.Run("forgotten without requests", func(t *testing.T) {
		is, table := is.New(t), newTable(2)
		now := play(table, start, 3*time.Second, []cell.Cost{100, 100}, []cell.Cost{100, 20})
		is.Equal(len(table.Behind(now.Add(time.Hour))), 0)
		is.Equal(table.ServiceFraction(now.Add(time.Hour), 1), 1.0)
	})
}

func TestStandings(t *testing.T) {
	is, standings := is.New(t), &due.Standings{}
	is.Equal(standings.Get(start, "chat", "kiosks"), due.Even)
	standings.Set(start, "chat", []cell.TeamID{"kiosks"})
	is.Equal(standings.Get(start, "chat", "kiosks"), due.Behind)
	is.Equal(standings.Get(start, "chat", "schools"), due.Ahead)
	is.Equal(standings.Get(start, "tickets", "schools"), due.Even) // Another cell.
	is.True(standings.Any(start))
	standings.Set(start, "tickets", nil)
	is.True(standings.Any(start))
	is.Equal(standings.Get(start.Add(2*time.Second), "chat", "schools"), due.Even) // The dispatcher's report has expired.
	is.True(!standings.Any(start.Add(2 * time.Second)))
	standings.Set(start, "chat", nil)
	is.Equal(standings.Get(start, "chat", "schools"), due.Even)
}

func TestUnserved(t *testing.T) {
	is, unserved := is.New(t), &due.Unserved{}
	unserved.Add("chat", "kiosks", 10)
	unserved.Add("chat", "kiosks", 0)
	unserved.Add("tickets", "schools", 1)
	is.Equal(unserved.Take("chat"), []cell.Unserved{{Team: "kiosks", Count: 2, Cost: 11}})
	is.Equal(len(unserved.Take("chat")), 0)
	is.Equal(len(unserved.Take("tickets")), 1)
}
