package lending

import (
	"sync"
	"sync/atomic"

	"ryelug/core/cell"
)

// costTable holds the cost so far of each running attempt of a cell. Request
// goroutines update the costs; the coordinator reads them periodically.
type costTable struct {
	mu    sync.Mutex
	costs map[cell.AttemptID]*Cost
}

// Cost tracks the cost so far of one running attempt, in cost units (tokens for
// engines, calls for services). The goroutine of the request updates it.
type Cost struct {
	current  atomic.Int64
	reported int64 // reported is the value that the last forEachChanged passed on; costTable.mu guards it.
}

// Set replaces the cost so far.
func (c *Cost) Set(cost cell.Cost) { c.current.Store(int64(cost)) }

func newCostTable() *costTable {
	return &costTable{costs: make(map[cell.AttemptID]*Cost)}
}

// open starts tracking an attempt and returns its cost, which is zero.
func (t *costTable) open(attempt cell.AttemptID) *Cost {
	cost := &Cost{}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.costs[attempt] = cost
	return cost
}

func (t *costTable) close(attempt cell.AttemptID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.costs, attempt)
}

// forEachChanged calls f for each attempt whose cost differs from the one last passed to f.
func (t *costTable) forEachChanged(f func(cell.AttemptID, cell.Cost)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for attempt, cost := range t.costs {
		current := cost.current.Load()
		if current == cost.reported {
			continue
		}
		cost.reported = current
		f(attempt, cell.Cost(current))
	}
}
