package due

import (
	"sync"

	"ryelug/core/cell"
)

// Unserved sums, at an entry, what callers asked for that the dispatchers were not asked for. It may be used by many goroutines.
type Unserved struct {
	mu    sync.Mutex
	cells map[cell.ID]map[cell.TeamID]cell.Unserved
}

// Add takes in one request.
func (u *Unserved) Add(id cell.ID, team cell.TeamID, cost cell.Cost) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.cells == nil {
		u.cells = make(map[cell.ID]map[cell.TeamID]cell.Unserved)
	}
	teams := u.cells[id]
	if teams == nil {
		teams = make(map[cell.TeamID]cell.Unserved)
		u.cells[id] = teams
	}
	one := teams[team]
	one.Team = team
	one.Count++
	one.Cost += max(1, cost)
	teams[team] = one
}

// Take returns the sums of a cell since the last call.
func (u *Unserved) Take(id cell.ID) []cell.Unserved {
	u.mu.Lock()
	defer u.mu.Unlock()
	teams := u.cells[id]
	if len(teams) == 0 {
		return nil
	}
	list := make([]cell.Unserved, 0, len(teams))
	for _, one := range teams {
		list = append(list, one)
	}
	delete(u.cells, id)
	return list
}
