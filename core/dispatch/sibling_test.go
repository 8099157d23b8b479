package dispatch_test

import (
	"math"
	"testing"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// moved returns the attempts that a Move event moves to another cell.
func (h *harness) moved(move dispatch.Move) []cell.AttemptID {
	var attempts []cell.AttemptID
	for _, action := range h.d.Step(h.now, &move) {
		attempts = append(attempts, action.(*dispatch.MoveTo).Attempt)
	}
	return attempts
}

func TestSiblings(t *testing.T) {
	t.Run("service by other cells is charged", func(t *testing.T) {
		h := newWarmHarness(t, 1)
		h.want(0, "a", 3)
		h.want(0, "b", 2)
		h.step(&dispatch.SiblingService{Services: []cell.Service{{Team: "a", Cost: 1000}}})
		h.end(h.grants[0], cell.Completed, 10)
		h.end(h.grants[1], cell.Completed, 10)
		h.Equal(h.grants[1].Grant.Attempt, cell.AttemptID(4))
		h.Equal(h.grants[2].Grant.Attempt, cell.AttemptID(5))
	})
	t.Run("service reported after a team returns is charged once", func(t *testing.T) {
		h := newWarmHarness(t, 1)
		h.want(0, "a", 3)
		h.end(h.grants[0], cell.Completed, 50)
		h.step(&dispatch.SiblingService{Services: []cell.Service{{Team: "b", Cost: 1}}})
		h.want(0, "b", 1)
		h.step(&dispatch.SiblingService{Services: []cell.Service{{Team: "b", Cost: 30}}}) // The other cell served this before b asked here.
		h.end(h.grants[1], cell.Completed, 10)
		h.Equal(h.grants[2].Grant.Attempt, cell.AttemptID(4)) // Team b was served 31 in all, team a 60.
	})
	t.Run("ServiceReport returns total costs", func(t *testing.T) {
		h := newWarmHarness(t, 1)
		h.want(0, "a", 3)
		h.end(h.grants[0], cell.Completed, 10)
		h.Equal(h.d.ServiceReport(nil, 11), nil)
		h.Equal(h.d.ServiceReport(nil, 10), []cell.Service{{Team: "a", Cost: 10}})
		h.end(h.grants[1], cell.Completed, 10)
		h.Equal(h.d.ServiceReport(nil, 10), []cell.Service{{Team: "a", Cost: 20}})
	})
	t.Run("a moved request gets no grant", func(t *testing.T) {
		h := newWarmHarness(t, 1)
		h.want(0, "a", 3)
		h.Equal(h.moved(dispatch.Move{To: "cell/2", Count: 1, Below: math.Inf(1)}), []cell.AttemptID{2})
		h.end(h.grants[0], cell.Completed, 10)
		h.Equal(h.grants[1].Grant.Attempt, cell.AttemptID(3))
	})
	t.Run("teams move one request each in turn", func(t *testing.T) {
		h := newWarmHarness(t, 1)
		h.want(0, "a", 3)
		h.want(0, "b", 2)
		h.Equal(h.moved(dispatch.Move{Count: 3, Below: math.Inf(1)}), []cell.AttemptID{2, 4, 3})
	})
	t.Run("only teams below a counter move", func(t *testing.T) {
		h := newWarmHarness(t, 1)
		h.want(0, "a", 3)
		h.Equal(len(h.moved(dispatch.Move{Count: 3, Below: h.d.Status().Virtual})), 0)
	})
	t.Run("a request moves three times at most", func(t *testing.T) {
		h := newWarmHarness(t, 1)
		h.want(0, "a", 1)
		demands := []cell.Demand{{Attempt: 7, Team: "b", Moves: 3}, {Attempt: 8, Team: "c", Moves: 2}}
		h.step(&dispatch.Want{Router: router(0), Session: 1, Demands: demands})
		h.Equal(h.moved(dispatch.Move{Count: 3, Below: math.Inf(1)}), []cell.AttemptID{8})
	})
}
