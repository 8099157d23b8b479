package dispatching

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// tallyOf returns the tally of a team with the given number of refused requests and the given granted cost.
func tallyOf(team string, refused int, granted cell.Cost) dispatch.TeamTally {
	return dispatch.TeamTally{Team: cell.TeamID(team), Asked: refused + 1, RefusedOnArrival: refused / 2, RefusedAfterWait: refused - refused/2, GrantedCost: granted}
}

func assertTeams(t *testing.T, tallies []dispatch.TeamTally, want ...cell.TeamID) {
	t.Helper()
	var got []cell.TeamID
	for _, tally := range selectTallies(tallies) {
		got = append(got, tally.Team)
	}
	is.New(t).Equal(got, want)
}

func TestSelectTallies(t *testing.T) {
	t.Run("none", func(t *testing.T) { assertTeams(t, nil) })
	t.Run("the best served, then the most refused", func(t *testing.T) {
		assertTeams(t, []dispatch.TeamTally{tallyOf("small", 1, 5), tallyOf("best", 0, 90), tallyOf("calm", 0, 10), tallyOf("flood", 7, 50)},
			"best", "flood", "small", "calm")
	})
	t.Run("more teams than are logged", func(t *testing.T) {
		is := is.New(t)
		tallies := []dispatch.TeamTally{tallyOf("best", 0, 1000)}
		for i := range 2 * maxTallyLines {
			tallies = append(tallies, tallyOf(fmt.Sprint("t", i), i, cell.Cost(i)))
		}
		kept := selectTallies(tallies)
		is.Equal(len(kept), maxTallyLines)
		is.Equal(kept[0].Team, cell.TeamID("best"))
		is.True(!slices.ContainsFunc(kept[1:], func(tally dispatch.TeamTally) bool { return tally.Refused() <= maxTallyLines }))
	})
}
