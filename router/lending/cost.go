package lending

import (
	"sync"
	"sync/atomic"

	"ryelug/core/cell"
)

// costTable holds the costs so far of the running attempts of a cell. The
// goroutines of requests write costs; the coordinator reads them now and then.
type costTable struct {
	mu    sync.Mutex
	costs map[cell.AttemptID]*Cost
}

// Cost is the cost so far of a running attempt; its request adds to it.
type Cost struct {
	now  atomic.Int64
	told int64
}

// Set notes the cost so far.
func (c *Cost) Set(cost cell.Cost) { c.now.Store(int64(cost)) }

func newCostTable() *costTable {
	return &costTable{costs: make(map[cell.AttemptID]*Cost)}
}

// open returns the cost of a new attempt.
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

// changed calls f for each attempt whose cost has grown since the last call.
func (t *costTable) changed(f func(cell.AttemptID, cell.Cost)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for attempt, cost := range t.costs {
		now := cost.now.Load()
		if now == cost.told {
			continue
		}
		cost.told = now
		f(attempt, cell.Cost(now))
	}
}
