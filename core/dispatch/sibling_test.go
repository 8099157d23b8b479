package dispatch_test

import (
	"math"
	"testing"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// moved returns the attempts that a Move passes on.
func (b *bench) moved(move dispatch.Move) []cell.AttemptID {
	var attempts []cell.AttemptID
	for _, action := range b.d.Step(b.now, &move) {
		attempts = append(attempts, action.(*dispatch.MoveTo).Attempt)
	}
	return attempts
}

func TestSiblings(t *testing.T) {
	t.Run("service elsewhere counts", func(t *testing.T) {
		b := warmBench(t, 1)
		b.want(0, "a", 3)
		b.want(0, "b", 2)
		b.step(&dispatch.Siblings{Services: []cell.Service{{Team: "a", Cost: 1000}}})
		b.end(b.grants[0], cell.Completed, 10)
		b.end(b.grants[1], cell.Completed, 10)
		b.Equal(b.grants[1].Grant.Attempt, cell.AttemptID(4))
		b.Equal(b.grants[2].Grant.Attempt, cell.AttemptID(5))
	})
	t.Run("late word of service costs a team once", func(t *testing.T) {
		b := warmBench(t, 1)
		b.want(0, "a", 3)
		b.end(b.grants[0], cell.Completed, 50)
		b.step(&dispatch.Siblings{Services: []cell.Service{{Team: "b", Cost: 1}}})
		b.want(0, "b", 1)
		b.step(&dispatch.Siblings{Services: []cell.Service{{Team: "b", Cost: 30}}}) // Served elsewhere before b came here.
		b.end(b.grants[1], cell.Completed, 10)
		b.Equal(b.grants[2].Grant.Attempt, cell.AttemptID(4)) // b has had 31, a 60.
	})
	t.Run("what is told is a total", func(t *testing.T) {
		b := warmBench(t, 1)
		b.want(0, "a", 3)
		b.end(b.grants[0], cell.Completed, 10)
		b.Equal(b.d.Tell(nil, 11), nil)
		b.Equal(b.d.Tell(nil, 10), []cell.Service{{Team: "a", Cost: 10}})
		b.end(b.grants[1], cell.Completed, 10)
		b.Equal(b.d.Tell(nil, 10), []cell.Service{{Team: "a", Cost: 20}})
	})
	t.Run("a moved request gets no grant", func(t *testing.T) {
		b := warmBench(t, 1)
		b.want(0, "a", 3)
		b.Equal(b.moved(dispatch.Move{To: "cell/2", Count: 1, Below: math.Inf(1)}), []cell.AttemptID{2})
		b.end(b.grants[0], cell.Completed, 10)
		b.Equal(b.grants[1].Grant.Attempt, cell.AttemptID(3))
	})
	t.Run("each team moves in turn", func(t *testing.T) {
		b := warmBench(t, 1)
		b.want(0, "a", 3)
		b.want(0, "b", 2)
		b.Equal(b.moved(dispatch.Move{Count: 3, Below: math.Inf(1)}), []cell.AttemptID{2, 4, 3})
	})
	t.Run("only teams below a counter move", func(t *testing.T) {
		b := warmBench(t, 1)
		b.want(0, "a", 3)
		b.Equal(len(b.moved(dispatch.Move{Count: 3, Below: b.d.Standing().Virtual})), 0)
	})
	t.Run("a request moves three times at most", func(t *testing.T) {
		b := warmBench(t, 1)
		b.want(0, "a", 1)
		demands := []cell.Demand{{Attempt: 7, Team: "b", Moves: 3}, {Attempt: 8, Team: "c", Moves: 2}}
		b.step(&dispatch.Want{Router: router(0), Session: 1, Demands: demands})
		b.Equal(b.moved(dispatch.Move{Count: 3, Below: math.Inf(1)}), []cell.AttemptID{8})
	})
}
