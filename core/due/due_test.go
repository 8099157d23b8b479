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

// teams plays teams that ask and get so much each step, and lack something if they get less.
func play(t *due.Table, now time.Time, span time.Duration, asked, got []cell.Cost) time.Time {
	for end := now.Add(span); now.Before(end); now = now.Add(step) {
		for team := range asked {
			t.Ask(now, team, asked[team])
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
	t.Run("a team that gets half of what others get", func(t *testing.T) {
		is, table := is.New(t), newTable(3)
		now := play(table, start, 4*time.Second, []cell.Cost{100, 100, 10}, []cell.Cost{100, 50, 10})
		is.Equal(table.Behind(now), []int{1})
		is.True(table.IsBehind(now, 1) && !table.IsBehind(now, 0))
		is.True(table.Part(now, 1) < 0.55 && table.Part(now, 2) >= 0.95)
	})
	t.Run("one that asks for more than anyone gets", func(t *testing.T) {
		is, table := is.New(t), newTable(2)
		now := play(table, start, 4*time.Second, []cell.Cost{1000, 100}, []cell.Cost{100, 100})
		is.Equal(len(table.Behind(now)), 0)
	})
	t.Run("one that lacks nothing", func(t *testing.T) {
		is, table := is.New(t), newTable(2)
		now := play(table, start, 4*time.Second, []cell.Cost{100, 0}, []cell.Cost{100, 0})
		table.Ask(now, 1, 50) // It waits for the first time.
		is.Equal(len(table.Behind(now.Add(time.Second))), 0)
	})
	t.Run("one that has caught up", func(t *testing.T) {
		is, table := is.New(t), newTable(2)
		now := play(table, start, 3*time.Second, []cell.Cost{100, 100}, []cell.Cost{100, 20})
		is.True(table.IsBehind(now, 1))
		now = play(table, now, 3*time.Second, []cell.Cost{100, 100}, []cell.Cost{100, 95})
		is.True(!table.IsBehind(now, 1))
	})
	t.Run("hurt from the first moment, within half a second", func(t *testing.T) {
		is, table := is.New(t), newTable(2)
		now := play(table, start, 500*time.Millisecond, []cell.Cost{100, 100}, []cell.Cost{100, 10})
		is.True(table.IsBehind(now, 1))
	})
	t.Run("what did not run after all", func(t *testing.T) {
		is, table := is.New(t), newTable(2)
		now := play(table, start, 2*time.Second, []cell.Cost{100, 100}, []cell.Cost{100, 100})
		table.Begin(now, 1, -3000)
		table.Unmet(now, 1, 1)
		is.True(table.IsBehind(now.Add(step*5), 1))
	})
	t.Run("one that got much while there was room", func(t *testing.T) {
		is, table := is.New(t), newTable(2)
		now := play(table, start, 2*time.Second, []cell.Cost{1000, 0}, []cell.Cost{1000, 0})
		now = play(table, now, time.Second, []cell.Cost{1000, 1000}, []cell.Cost{0, 1000})
		is.True(table.IsBehind(now, 0))
	})
	t.Run("silence is forgotten", func(t *testing.T) {
		is, table := is.New(t), newTable(2)
		now := play(table, start, 3*time.Second, []cell.Cost{100, 100}, []cell.Cost{100, 20})
		is.Equal(len(table.Behind(now.Add(time.Hour))), 0)
		is.Equal(table.Part(now.Add(time.Hour), 1), 1.0)
	})
}

func TestStandings(t *testing.T) {
	is, standings := is.New(t), &due.Standings{}
	is.Equal(standings.Of(start, "chat", "kiosks"), due.Even)
	standings.Set(start, "chat", []cell.TeamID{"kiosks"})
	is.Equal(standings.Of(start, "chat", "kiosks"), due.Behind)
	is.Equal(standings.Of(start, "chat", "schools"), due.Ahead)
	is.Equal(standings.Of(start, "tickets", "schools"), due.Even) // Another cell.
	is.True(standings.Any(start))
	standings.Set(start, "tickets", nil)
	is.True(standings.Any(start))
	is.Equal(standings.Of(start.Add(2*time.Second), "chat", "schools"), due.Even) // The dispatcher is silent.
	is.True(!standings.Any(start.Add(2 * time.Second)))
	standings.Set(start, "chat", nil)
	is.Equal(standings.Of(start, "chat", "schools"), due.Even)
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
