package due

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"ryelug/core/cell"
)

// standingTTL is how long a dispatcher's message on the teams that are behind stays valid; it is repeated every second while
// any team is behind.
const standingTTL = 2 * time.Second

// Standings holds, at the router that callers are connected to, which teams of each cell are behind, as the cells' dispatchers
// report it. A cell without a valid report counts as one without teams that are behind. It is safe for concurrent use.
type Standings struct {
	mu    sync.Mutex                             // mu serialises writers; readers use cells alone.
	cells atomic.Pointer[map[cell.ID]cellReport] // cells holds a map that is never modified; Set replaces it by a copy.
}

// cellReport is the latest report on one cell.
type cellReport struct {
	expiresAt time.Time            // expiresAt is when the report expires.
	behind    map[cell.TeamID]bool // behind holds the teams that are behind.
}

// Set replaces the teams of a cell that are behind. They expire after standingTTL.
func (s *Standings) Set(now time.Time, id cell.ID, behind []cell.TeamID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[cell.ID]cellReport{}
	if last := s.cells.Load(); last != nil {
		maps.Copy(next, *last)
	}
	delete(next, id)
	if len(behind) > 0 {
		entry := cellReport{expiresAt: now.Add(standingTTL), behind: make(map[cell.TeamID]bool, len(behind))}
		for _, team := range behind {
			entry.behind[team] = true
		}
		next[id] = entry
	}
	s.cells.Store(&next)
}

// Any reports whether a team of any cell is behind.
func (s *Standings) Any(now time.Time) bool {
	cells := s.cells.Load()
	if cells == nil {
		return false
	}
	for _, entry := range *cells {
		if now.Before(entry.expiresAt) {
			return true
		}
	}
	return false
}

// Get returns the standing of a team in a cell; Even if no valid report on the cell is known.
func (s *Standings) Get(now time.Time, id cell.ID, team cell.TeamID) Standing {
	cells := s.cells.Load()
	if cells == nil {
		return Even
	}
	entry, known := (*cells)[id]
	switch {
	case !known || !now.Before(entry.expiresAt):
		return Even
	case entry.behind[team]:
		return Behind
	}
	return Ahead
}

// Standing compares the service that a team received in a cell with that of the other teams there.
type Standing int

// Possible standings of a team.
const (
	Even   Standing = iota // Even: no team of the cell is known to be behind.
	Behind                 // Behind: the team received less than its fair share.
	Ahead                  // Ahead: another team is behind, and this one is not.
)
