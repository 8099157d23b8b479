package shortfall_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/shortfall"
)

const spanLength = 6

var (
	start   = time.Unix(1000, 0)
	refused = map[shortfall.Loss]int{{Where: "dispatcher", How: "at_once"}: 1}
)

// fill adds the same sum to each of a number of seconds from start on.
func fill(table *shortfall.Table, team cell.TeamID, seconds int, sum shortfall.Sum) {
	for i := range seconds {
		table.Add(team, start.Add(time.Duration(i)*time.Second), sum)
	}
}

// assertFraction checks the smallest Fraction of a team; a want of -1 means that WorstSpans returns no span of the team.
func assertFraction(t *testing.T, table *shortfall.Table, team cell.TeamID, want float64) {
	t.Helper()
	got := -1.0
	for _, span := range table.WorstSpans(spanLength) {
		if span.Team == team {
			got = span.Fraction()
		}
	}
	is.New(t).Equal(got, want)
}

func TestWorstSpans(t *testing.T) {
	for name, of := range map[string]struct {
		small, big shortfall.Sum
		want       float64
	}{
		"owed what it asked for":            {shortfall.Sum{Asked: 100, Received: 40, Lost: refused}, shortfall.Sum{Asked: 900, Received: 500}, 0.4},
		"owed what the best served got":     {shortfall.Sum{Asked: 900, Received: 40, Lost: refused}, shortfall.Sum{Asked: 900, Received: 160}, 0.25},
		"the best served is owed its own":   {shortfall.Sum{Asked: 900, Received: 40, Lost: refused}, shortfall.Sum{Asked: 20, Received: 20}, 1},
		"nothing rejected":                  {shortfall.Sum{Asked: 900, Received: 40}, shortfall.Sum{Asked: 900, Received: 160}, -1},
		"three of the largest are left out": {shortfall.Sum{Asked: 100, Received: 40, Largest: 100, Lost: refused}, shortfall.Sum{Asked: 900, Received: 500}, 40.0 / 50},
		"due is less than the largest":      {shortfall.Sum{Asked: 100, Received: 0, Largest: 200, Lost: refused}, shortfall.Sum{Asked: 900, Received: 500}, 1},
		"received nothing":                  {shortfall.Sum{Asked: 100, Received: 0, Lost: refused}, shortfall.Sum{Asked: 900, Received: 500}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			table := shortfall.New()
			fill(table, "small", spanLength, of.small)
			fill(table, "big", spanLength, of.big)
			assertFraction(t, table, "small", of.want)
		})
	}
}

// The due is limited for each second by itself: what another team received in one second adds nothing to the due of other seconds.
func TestOwedSecondBySecond(t *testing.T) {
	is := is.New(t)
	table := shortfall.New()
	fill(table, "small", spanLength, shortfall.Sum{Asked: 100, Received: 50, Lost: refused})
	table.Add("big", start, shortfall.Sum{Asked: 6000, Received: 6000})
	least := table.WorstSpans(spanLength)
	is.Equal(least[0].Team, cell.TeamID("small"))
	is.Equal(least[0].Owed, cell.Cost(100+5*50))
	is.Equal(least[0].Asked, cell.Cost(600))
	is.Equal(least[0].Received, cell.Cost(300))
}

func TestSpansThatCount(t *testing.T) {
	underserved := shortfall.Sum{Asked: 100, Received: 10, Lost: refused}
	t.Run("too short", func(t *testing.T) {
		table := shortfall.New()
		fill(table, "small", spanLength-1, underserved)
		assertFraction(t, table, "small", -1)
	})
	t.Run("a second without a rejection in between", func(t *testing.T) {
		table := shortfall.New()
		fill(table, "small", spanLength-1, underserved)
		table.Add("small", start.Add((spanLength-1)*time.Second), shortfall.Sum{Asked: 100, Received: 10})
		table.Add("small", start.Add(spanLength*time.Second), underserved)
		assertFraction(t, table, "small", -1)
	})
	t.Run("the least of several spans", func(t *testing.T) {
		table := shortfall.New()
		fill(table, "small", 2*spanLength, underserved)
		fill(table, "big", 2*spanLength, shortfall.Sum{Asked: 100, Received: 100})
		fill(table, "small", 1, shortfall.Sum{Received: 50})
		assertFraction(t, table, "small", 0.1)
	})
}

// Sums of several routers for the same second are added, and losses keep their place.
func TestSumsOfRoutersAdd(t *testing.T) {
	is := is.New(t)
	table := shortfall.New()
	overloaded := shortfall.Loss{Where: "dc-a", How: "overloaded"}
	fill(table, "small", spanLength, shortfall.Sum{Asked: 60, Received: 60, Largest: 5})
	fill(table, "small", spanLength, shortfall.Sum{Asked: 40, Largest: 4, Lost: map[shortfall.Loss]int{overloaded: 2}})
	fill(table, "big", spanLength, shortfall.Sum{Asked: 100, Received: 100})
	least := table.WorstSpans(spanLength)
	is.Equal(len(least), 1)
	is.Equal(least[0].RawFraction(), 0.6)
	is.Equal(least[0].Largest, cell.Cost(5))
	is.Equal(least[0].Lost[overloaded], 12)
	is.Equal(table.Teams(), []cell.TeamID{"big", "small"})
}
