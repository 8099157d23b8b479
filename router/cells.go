package router

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/lend"
	"ryelug/io/wire"
)

// cellState is one cell at this router.
type cellState struct {
	id         cell.ID
	lender     *lend.Lender
	dispatcher *dispatch.Dispatcher
	entries    map[cell.RouterID]cell.Session // entries are those that have joined the dispatcher.
	asks       map[cell.AttemptID]ask
	costs      *costTable
	counters   []cell.TeamCounter
	counterAt  int // counterAt is where the next round of counters starts.
}

func (c *coordinator) openCell(id cell.ID) {
	state := &cellState{
		id:         id,
		lender:     lend.New(c.config.lendConfig(id)),
		dispatcher: dispatch.New(c.config.dispatchConfig(id)),
		entries:    make(map[cell.RouterID]cell.Session),
		asks:       make(map[cell.AttemptID]ask),
		costs:      newCostTable(),
	}
	c.cells[id] = state
	now := time.Now()
	c.dispatcherStep(now, state, &dispatch.Voters{Hosts: c.voters, Total: c.total})
	for router := range c.links.dialed {
		c.lenderStep(now, state, &lend.LinkUp{Router: router})
	}
	c.lenderStep(now, state, &lend.LinkUp{Router: c.self})
}

// refreshOrder tells the cell's lender which dispatchers it should prefer.
func (c *coordinator) refreshOrder(now time.Time, state *cellState) {
	order := c.table.Order(now, state.id)
	c.lenderStep(now, state, &lend.Order{Hosts: order})
}

// renewSelf keeps the stake that this router lends to itself, without a link.
func (c *coordinator) renewSelf(now time.Time, state *cellState) {
	c.lenderStep(now, state, &lend.Heard{Router: c.self})
	if session, ok := state.entries[c.self]; ok {
		c.renewSession(now, state, c.self, session, now)
	}
}

// renew prolongs the stakes that an entry lends here.
func (c *coordinator) renew(now time.Time, router cell.RouterID, echoed time.Time) {
	if echoed.IsZero() {
		return
	}
	for _, state := range c.cells {
		if session, ok := state.entries[router]; ok {
			c.renewSession(now, state, router, session, echoed)
		}
	}
}

func (c *coordinator) renewSession(now time.Time, state *cellState, router cell.RouterID, session cell.Session, echoed time.Time) {
	until := echoed.Add(c.config.Timings.StakeLease)
	c.dispatcherStep(now, state, &dispatch.Renew{Router: router, Session: session, StakeUntil: until})
}

// entryLost ends the sessions of an entry whose link has closed; its flights stay counted.
func (c *coordinator) entryLost(now time.Time, router cell.RouterID) {
	for _, state := range c.cells {
		session, ok := state.entries[router]
		if !ok {
			continue
		}
		delete(state.entries, router)
		c.dispatcherStep(now, state, &dispatch.Leave{Router: router, Session: session})
	}
}

// dispatcherReceived delivers an entry's message to the dispatcher of its cell.
func (c *coordinator) dispatcherReceived(now time.Time, from cell.RouterID, message wire.Message, echoed time.Time) {
	switch m := message.(type) {
	case *wire.Join:
		c.join(now, from, m, echoed)
	case *wire.Release:
		c.release(now, from, m)
	case *wire.Want:
		c.dispatch(now, m.Cell, &dispatch.Want{Router: from, Session: m.Session, Demands: m.Demands})
	case *wire.Withdraw:
		c.dispatch(now, m.Cell, &dispatch.Withdraw{Router: from, Session: m.Session, Attempts: m.Attempts})
	case *wire.Progress:
		c.dispatch(now, m.Cell, &dispatch.Progressed{Router: from, Session: m.Session, Progress: m.Progress})
	case *wire.Ends:
		c.dispatch(now, m.Cell, &dispatch.Ended{Router: from, Ends: m.Ends})
	}
}

// dispatch steps the dispatcher of a cell, if this router knows the cell.
func (c *coordinator) dispatch(now time.Time, id cell.ID, event dispatch.Event) {
	if state, ok := c.cells[id]; ok {
		c.dispatcherStep(now, state, event)
	}
}

// join takes an entry in. A router that leaves or does not know the cell sends it on.
func (c *coordinator) join(now time.Time, from cell.RouterID, m *wire.Join, echoed time.Time) {
	state, ok := c.cells[m.Cell]
	if !ok || c.leaving {
		c.toEntry(from, &wire.Released{Cell: m.Cell, Session: m.Session})
		return
	}
	if last, joined := state.entries[from]; joined && last >= m.Session {
		return
	}
	state.entries[from] = m.Session
	if len(state.entries) == 1 {
		c.choosePolled()
	}
	c.dispatcherStep(now, state, &dispatch.Join{
		Router: from, Session: m.Session, Stake: m.Stake, Flights: m.Flights, Counters: m.Counters,
	})
	if !echoed.IsZero() {
		c.renewSession(now, state, from, m.Session, echoed)
	}
	c.toEntry(from, &wire.Accepted{Cell: m.Cell, Session: m.Session})
}

func (c *coordinator) release(now time.Time, from cell.RouterID, m *wire.Release) {
	state, ok := c.cells[m.Cell]
	if ok && state.entries[from] == m.Session {
		delete(state.entries, from)
		c.dispatcherStep(now, state, &dispatch.Leave{Router: from, Session: m.Session})
	}
	c.toEntry(from, &wire.Released{Cell: m.Cell, Session: m.Session})
}

// dispatcherStep steps a dispatcher and sends what it decided, one message for each run of a router's grants.
func (c *coordinator) dispatcherStep(now time.Time, state *cellState, event dispatch.Event) {
	var grants *wire.Grants
	var to cell.RouterID
	for _, action := range state.dispatcher.Step(now, event) {
		switch action := action.(type) {
		case *dispatch.GrantTo:
			if grants == nil || to != action.Router || grants.Session != action.Session {
				grants = c.startGrants(state, to, grants, action)
				to = action.Router
			}
			grants.Grants = append(grants.Grants, action.Grant)
		case *dispatch.RefuseTo:
			c.toEntry(action.Router, refusals(state, action))
		}
	}
	if grants != nil {
		c.toEntry(to, grants)
	}
}

// startGrants sends the run of grants that is complete and starts the next one.
func (c *coordinator) startGrants(state *cellState, to cell.RouterID, done *wire.Grants, next *dispatch.GrantTo) *wire.Grants {
	if done != nil {
		c.toEntry(to, done)
	}
	return &wire.Grants{Cell: state.id, Session: next.Session}
}

func refusals(state *cellState, action *dispatch.RefuseTo) *wire.Refusals {
	refusal := cell.Refusal{Attempt: action.Attempt, Code: uint16(action.Code), RetryAfter: action.RetryAfter}
	return &wire.Refusals{Cell: state.id, Session: action.Session, Refusals: []cell.Refusal{refusal}}
}

// tellCounters sends each entry the next slice of the teams' counters, so that
// the entries together can restore them at the next dispatcher.
func (c *coordinator) tellCounters(state *cellState) {
	if len(state.entries) == 0 {
		return
	}
	state.counters = state.dispatcher.Counters(state.counters[:0])
	if len(state.counters) == 0 {
		return
	}
	for router := range state.entries {
		slice := state.nextCounters()
		c.toEntry(router, &wire.Counters{Cell: state.id, Counters: slice})
	}
}

// nextCounters returns the next few counters, round and round; the slice is the receiver's own.
func (s *cellState) nextCounters() []cell.TeamCounter {
	count := min(countersPerEntry, len(s.counters))
	slice := make([]cell.TeamCounter, 0, count)
	for range count {
		s.counterAt %= len(s.counters)
		slice = append(slice, s.counters[s.counterAt])
		s.counterAt++
	}
	return slice
}
