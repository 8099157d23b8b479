package due

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"ryelug/core/cell"
)

// standingKeep is how long a dispatcher's word on who is behind holds; it repeats it each second while somebody is.
const standingKeep = 2 * time.Second

// Standings holds, at an entry, which teams are behind by the word of the dispatchers. It may be used by many goroutines.
type Standings struct {
	mu    sync.Mutex
	cells atomic.Pointer[map[cell.ID]standing]
}

// standing is the word on one cell.
type standing struct {
	until time.Time
	teams map[cell.TeamID]bool
}

// Set replaces the teams of a cell that are behind.
func (s *Standings) Set(now time.Time, id cell.ID, teams []cell.TeamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[cell.ID]standing{}
	if last := s.cells.Load(); last != nil {
		maps.Copy(next, *last)
	}
	delete(next, id)
	if len(teams) > 0 {
		one := standing{until: now.Add(standingKeep), teams: make(map[cell.TeamID]bool, len(teams))}
		for _, team := range teams {
			one.teams[team] = true
		}
		next[id] = one
	}
	s.cells.Store(&next)
}

// Any tells whether a team of any cell is behind.
func (s *Standings) Any(now time.Time) bool {
	cells := s.cells.Load()
	if cells == nil {
		return false
	}
	for _, one := range *cells {
		if now.Before(one.until) {
			return true
		}
	}
	return false
}

// Of returns where a team of a cell stands.
func (s *Standings) Of(now time.Time, id cell.ID, team cell.TeamID) Standing {
	cells := s.cells.Load()
	if cells == nil {
		return Even
	}
	one, known := (*cells)[id]
	switch {
	case !known || !now.Before(one.until):
		return Even
	case one.teams[team]:
		return Behind
	}
	return Ahead
}

// Standing is where a team stands among those that share a cell.
type Standing int

// Standings of a team.
const (
	Even   Standing = iota // Even: no team is behind.
	Behind                 // Behind: the team got too little of what it is owed.
	Ahead                  // Ahead: another team is behind, and this one is not.
)
