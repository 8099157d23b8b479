package router

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ryelug/core/cell"
	"ryelug/core/lend"
	"ryelug/core/result"
	"ryelug/io/wire"
)

// costTable holds the costs so far of the running attempts of a cell. The
// goroutines of requests write costs; the coordinator reads them now and then.
type costTable struct {
	mu    sync.Mutex
	costs map[cell.AttemptID]*runningCost
}

type runningCost struct {
	now  atomic.Int64
	told int64
}

func newCostTable() *costTable {
	return &costTable{costs: make(map[cell.AttemptID]*runningCost)}
}

// open returns the cost of a new attempt.
func (t *costTable) open(attempt cell.AttemptID) *runningCost {
	cost := &runningCost{}
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

func (c *coordinator) reportProgress(now time.Time, state *cellState) {
	state.costs.changed(func(attempt cell.AttemptID, cost cell.Cost) {
		c.lenderStep(now, state, &lend.Progress{Progress: cell.Progress{Attempt: attempt, Cost: cost}})
	})
}

func (c *coordinator) handleAsk(now time.Time, cmd ask) {
	state, ok := c.cells[cmd.cell]
	switch {
	case !ok:
		cmd.refuse(result.NoCapacity)
		return
	case c.cutOff.Load():
		cmd.refuse(result.CutOff)
		return
	}
	state.asks[cmd.demand.Attempt] = cmd
	c.lenderStep(now, state, &lend.Want{Demand: cmd.demand})
}

func (c *coordinator) handleWithdraw(now time.Time, cmd withdraw) {
	state, ok := c.cells[cmd.cell]
	if !ok {
		return
	}
	if _, waiting := state.asks[cmd.attempt]; !waiting {
		return
	}
	delete(state.asks, cmd.attempt)
	c.lenderStep(now, state, &lend.Withdraw{Attempt: cmd.attempt})
}

func (c *coordinator) handleFinish(now time.Time, cmd finish) {
	state, ok := c.cells[cmd.cell]
	if !ok {
		return
	}
	state.costs.close(cmd.end.Attempt)
	c.lenderStep(now, state, &lend.End{End: cmd.end})
}

// lenderReceived delivers a dispatcher's message to the lender of its cell.
func (c *coordinator) lenderReceived(now time.Time, from cell.RouterID, message wire.Message, echoed time.Time) {
	switch m := message.(type) {
	case *wire.Accepted:
		c.lend(now, m.Cell, &lend.Accepted{Router: from, Session: m.Session})
	case *wire.Released:
		c.lend(now, m.Cell, &lend.Released{Router: from, Session: m.Session})
	case *wire.Grants:
		c.lend(now, m.Cell, &lend.Grants{Router: from, Session: m.Session, Echoed: echoed, Grants: m.Grants})
	case *wire.Refusals:
		c.lend(now, m.Cell, &lend.Refusals{Router: from, Session: m.Session, Refusals: m.Refusals})
	case *wire.Counters:
		c.lend(now, m.Cell, &lend.Counters{Router: from, Counters: m.Counters})
	}
}

// lend steps the lender of a cell, if this router knows the cell.
func (c *coordinator) lend(now time.Time, id cell.ID, event lend.Event) {
	if state, ok := c.cells[id]; ok {
		c.lenderStep(now, state, event)
	}
}

// lenderStep steps a lender and carries its actions out. The actions are valid
// until the next step, and messages outlive it, so their slices are copied.
func (c *coordinator) lenderStep(now time.Time, state *cellState, event lend.Event) {
	for _, action := range state.lender.Step(now, event) {
		switch a := action.(type) {
		case *lend.Join:
			c.toDispatcher(a.Router, &wire.Join{
				Cell: state.id, Session: a.Session, Stake: a.Stake, Flights: slices.Clone(a.Flights), Counters: slices.Clone(a.Counters),
			})
		case *lend.Release:
			c.toDispatcher(a.Router, &wire.Release{Cell: state.id, Session: a.Session})
		case *lend.Disconnect:
			c.disconnect(a.Router)
		case *lend.SendWant:
			c.toDispatcher(a.Router, &wire.Want{Cell: state.id, Session: a.Session, Demands: slices.Clone(a.Demands)})
		case *lend.SendWithdraw:
			c.toDispatcher(a.Router, &wire.Withdraw{Cell: state.id, Session: a.Session, Attempts: slices.Clone(a.Attempts)})
		case *lend.SendProgress:
			c.toDispatcher(a.Router, &wire.Progress{Cell: state.id, Session: a.Session, Progress: slices.Clone(a.Progress)})
		case *lend.SendEnds:
			c.toDispatcher(a.Router, &wire.Ends{Cell: state.id, Ends: slices.Clone(a.Ends)})
		case *lend.Granted:
			c.granted(state, a)
		case *lend.Refused:
			c.refused(state, a)
		}
	}
}

// disconnect closes the link to a dispatcher that does not answer.
func (c *coordinator) disconnect(router cell.RouterID) {
	if link := c.links.dialed[router]; link != nil {
		link.Close()
	}
}

// granted answers the ask; a grant that nobody waits for any more is handed back.
func (c *coordinator) granted(state *cellState, a *lend.Granted) {
	waiting, ok := state.asks[a.Attempt]
	if !ok {
		end := cell.End{Attempt: a.Attempt, Outcome: cell.Unused}
		c.deferred = append(c.deferred, finish{cell: state.id, end: end})
		return
	}
	delete(state.asks, a.Attempt)
	waiting.reply <- decision{
		endpoint: a.Endpoint,
		address:  c.directory.addresses[a.Endpoint],
		start:    a.Start,
		expires:  a.Expires,
		cost:     state.costs.open(a.Attempt),
	}
}

func (c *coordinator) refused(state *cellState, a *lend.Refused) {
	waiting, ok := state.asks[a.Attempt]
	if !ok {
		return
	}
	delete(state.asks, a.Attempt)
	refusal := cell.Refusal{Attempt: a.Attempt, Code: a.Code, RetryAfter: a.RetryAfter}
	waiting.reply <- decision{refusal: &refusal}
}

// refuseAsks gives up all that waits for a grant, since this router is cut off.
func (c *coordinator) refuseAsks(now time.Time, state *cellState) {
	for attempt, waiting := range state.asks {
		delete(state.asks, attempt)
		c.lenderStep(now, state, &lend.Withdraw{Attempt: attempt})
		waiting.refuse(result.CutOff)
	}
}

// refuse answers an ask that nothing was decided about.
func (a ask) refuse(code result.Code) {
	a.reply <- decision{refusal: &cell.Refusal{
		Attempt: a.demand.Attempt, Code: uint16(code), RetryAfter: comeBack,
	}}
}
