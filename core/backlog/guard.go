package backlog

import (
	"time"

	"ryelug/core/cell"
)

const (
	// maxFullTime is the longest time for which requests are rejected here after one rejection by the dispatcher. It is short so
	// that capacity that becomes available again is used soon.
	maxFullTime = 250 * time.Millisecond

	// fullDivisor determines how long the dispatcher's queue counts as full after a rejection: for retryAfter divided by it.
	// The queue takes retryAfter to drain, so requests still wait in it when new ones are admitted again, and no endpoint's slot
	// becomes idle.
	fullDivisor = 2

	// minRetryAfter is the least retry delay of a request that is rejected here.
	minRetryAfter = 100 * time.Millisecond
)

// Guard counts the waiting requests of each team at one router for one cell, and rejects those over the limit. It is not safe for
// concurrent use.
type Guard struct {
	limit int // limit is the most waiting requests of each team; zero means no limit.
	teams map[cell.TeamID]*team
}

// team is the state of one team.
type team struct {
	waiting   int       // waiting is the number of admitted requests for which Leave has not been called.
	fullUntil time.Time // fullUntil is the time until which the dispatcher's queue for the team counts as full.
	drainedAt time.Time // drainedAt is when the dispatcher expects its queue for the team to have drained.
}

// New returns a Guard without a limit.
func New() *Guard {
	return &Guard{teams: make(map[cell.TeamID]*team)}
}

// SetLimit limits the waiting requests of each team; zero means no limit.
func (g *Guard) SetLimit(limit int) { g.limit = limit }

// Admit counts a request as waiting and returns true, or rejects it and returns how long its caller should wait before it retries.
func (g *Guard) Admit(now time.Time, id cell.TeamID) (retryAfter time.Duration, ok bool) {
	t := g.team(id)
	full := now.Before(t.fullUntil)
	if full || (g.limit > 0 && t.waiting >= g.limit) {
		return max(t.drainedAt.Sub(now), minRetryAfter), false
	}
	t.waiting++
	return 0, true
}

// Leave ends the wait of a request that Admit has admitted.
func (g *Guard) Leave(now time.Time, id cell.TeamID) {
	t := g.team(id)
	t.waiting--
	if t.waiting <= 0 && !now.Before(t.fullUntil) {
		delete(g.teams, id)
	}
}

// Full records that the dispatcher rejected a request of the team because the team's queue is full and drains within retryAfter.
func (g *Guard) Full(now time.Time, id cell.TeamID, retryAfter time.Duration) {
	t := g.team(id)
	t.fullUntil = now.Add(min(retryAfter/fullDivisor, maxFullTime))
	t.drainedAt = now.Add(retryAfter)
}

// team returns the state of a team, which it adds if it is missing.
func (g *Guard) team(id cell.TeamID) *team {
	t, ok := g.teams[id]
	if !ok {
		t = &team{}
		g.teams[id] = t
	}
	return t
}
