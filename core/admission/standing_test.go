package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// Guards against a team that looks least demanding because entries refuse most of its requests before the
// dispatcher sees them.
func TestTeamRefusedAtEntriesIsBehind(t *testing.T) {
	is := is.New(t)
	policy := engines("e1")
	policy.Engine = nil
	policy.Endpoints[0].WarmLimit = 40
	d := newSimulation(policy)
	served := map[cell.TeamID]int{}
	play := func(steps int) {
		for range steps {
			d.pass(50 * time.Millisecond)
			d.Step(d.now, &dispatch.Unserved{Router: entryRouter, Session: 1, Teams: []cell.Unserved{{Team: "hurt", Count: 4, Cost: 4 * 310}}})
			for range 4 {
				d.ask("other", prompt(1, 0, 110), 300*time.Millisecond)
			}
			d.ask("hurt", prompt(2, 0, 110), 300*time.Millisecond)
		}
	}
	play(60)
	is.Equal(d.Behind(nil), []cell.TeamID{"hurt"})
	for _, grant := range d.grants {
		served[d.teams[grant.Attempt]]++
	}
	t.Logf("served %v", served)
	is.True(served["other"] > 2*served["hurt"])
}
