package due

import (
	"sync"

	"ryelug/core/cell"
)

// Unserved sums, per cell and team, the requests that a router rejected before it asked the cell's dispatcher for a grant. They
// are reported to the dispatcher, which counts them as asked for. It is safe for concurrent use.
type Unserved struct {
	mu    sync.Mutex
	cells map[cell.ID]map[cell.TeamID]cell.Unserved
}

// Add records one rejected request. A cost below 1, as for an unknown one, counts as 1.
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
	sum := teams[team]
	sum.Team = team
	sum.Count++
	sum.Cost += max(1, cost)
	teams[team] = sum
}

// Take returns the sums of a cell since the last call, in no particular order, and resets them.
func (u *Unserved) Take(id cell.ID) []cell.Unserved {
	u.mu.Lock()
	defer u.mu.Unlock()
	teams := u.cells[id]
	if len(teams) == 0 {
		return nil
	}
	list := make([]cell.Unserved, 0, len(teams))
	for _, sum := range teams {
		list = append(list, sum)
	}
	delete(u.cells, id)
	return list
}
