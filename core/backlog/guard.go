package backlog

import (
	"time"

	"ryelug/core/cell"
)

const (
	// longestFull bounds the time for which one refusal speaks for others, so that
	// capacity which comes back is asked for soon.
	longestFull = 250 * time.Millisecond

	// fullShare is the part of a RetryAfter for which a queue counts as full. The
	// queue drains within RetryAfter, so until then a part of it still waits and the
	// refusals leave no slot idle.
	fullShare = 2

	// leastRetryAfter is told to a request that is refused for the bound of this entry.
	leastRetryAfter = 100 * time.Millisecond
)

// Guard counts the waiting requests of each team at one entry and cell. One
// goroutine may use it.
type Guard struct {
	limit int
	teams map[cell.TeamID]*team
}

type team struct {
	waiting   int
	fullUntil time.Time // fullUntil is the time until which the dispatcher's queue counts as full.
	drained   time.Time // drained is when that queue has drained, as the dispatcher told.
}

// New returns a Guard without a bound.
func New() *Guard {
	return &Guard{teams: make(map[cell.TeamID]*team)}
}

// SetLimit bounds the waiting requests of each team; zero is no bound.
func (g *Guard) SetLimit(limit int) { g.limit = limit }

// Admit counts a request in and returns true, or returns when the caller should come back.
func (g *Guard) Admit(now time.Time, id cell.TeamID) (retryAfter time.Duration, ok bool) {
	t := g.team(id)
	full := now.Before(t.fullUntil)
	if full || (g.limit > 0 && t.waiting >= g.limit) {
		return max(t.drained.Sub(now), leastRetryAfter), false
	}
	t.waiting++
	return 0, true
}

// Leave counts a request out that Admit has counted in.
func (g *Guard) Leave(now time.Time, id cell.TeamID) {
	t := g.team(id)
	t.waiting--
	if t.waiting <= 0 && !now.Before(t.fullUntil) {
		delete(g.teams, id)
	}
}

// Full notes that the dispatcher has refused a request of the team for its full queue.
func (g *Guard) Full(now time.Time, id cell.TeamID, retryAfter time.Duration) {
	t := g.team(id)
	t.fullUntil = now.Add(min(retryAfter/fullShare, longestFull))
	t.drained = now.Add(retryAfter)
}

func (g *Guard) team(id cell.TeamID) *team {
	t, ok := g.teams[id]
	if !ok {
		t = &team{}
		g.teams[id] = t
	}
	return t
}
