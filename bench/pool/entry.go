package pool

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/slice"
)

// entry is a router in its role as entry.
type entry struct {
	p         *Pool
	id        cell.RouterID
	chooser   *slice.Chooser
	placement *slice.Placement
	sessions  map[cell.ID]cell.Session
	moves     map[cell.AttemptID]uint8
	running   map[cell.AttemptID]running
	waiting   int // waiting counts the requests without a grant.
}

// running is a request at an engine.
type running struct {
	at     cell.ID
	flight cell.Flight
}

func (p *Pool) addEntry(index int) {
	e := &entry{
		p: p, id: cell.RouterID(fmt.Sprintf("entry%d/1", index)), placement: slice.NewPlacement(),
		chooser:  slice.NewChooser(slice.ChooserConfig{Random: rand.New(rand.NewPCG(p.conf.Seed, uint64(100+index)))}),
		sessions: map[cell.ID]cell.Session{}, moves: map[cell.AttemptID]uint8{}, running: map[cell.AttemptID]running{},
	}
	e.chooser.SetCells(p.cells)
	for _, id := range p.cells {
		e.join(p.nodes[id])
	}
	p.entries = append(p.entries, e)
	p.byRouter[e.id] = e
}

// join starts a session, says what runs, and asks again for what was to wait there.
func (e *entry) join(n *node) {
	held := e.placement.Lost(slice.Location{Cell: n.id, Session: e.sessions[n.id]})
	e.sessions[n.id]++
	join := &dispatch.Join{Router: e.id, Session: e.sessions[n.id]}
	for _, run := range e.running {
		if run.at == n.id {
			join.Flights = append(join.Flights, run.flight)
		}
	}
	slices.SortFunc(join.Flights, func(a, b cell.Flight) int { return cmp.Compare(a.Attempt, b.Attempt) })
	e.chooser.SetReachable(n.id, true)
	e.send(n, join)
	for _, attempt := range held {
		e.ask(attempt, n.id)
	}
}

// lose ends the session with a dispatcher; what waits there is placed elsewhere.
func (e *entry) lose(n *node) {
	lost := e.placement.Lost(slice.Location{Cell: n.id, Session: e.sessions[n.id]})
	e.sessions[n.id]++
	e.chooser.SetReachable(n.id, false)
	for _, attempt := range lost {
		e.ask(attempt, e.cellFor(e.p.teamOf[attempt]))
	}
}

func (e *entry) send(n *node, ev dispatch.Event) {
	e.p.after(e.p.conf.Delay, func() { n.receive(func() { n.step(ev) }) })
}

// cellFor picks the cell of a request.
func (e *entry) cellFor(team int) cell.ID {
	if e.p.conf.Choose {
		if picked, ok := e.chooser.Pick(e.p.now, e.p.names[team]); ok {
			return picked
		}
	}
	home := 0
	if lone := e.p.conf.Lone; team < lone*(len(e.p.cells)-1) {
		home = 1 + team/lone
	}
	return e.p.cells[home]
}

func (e *entry) ask(attempt cell.AttemptID, id cell.ID) {
	location := slice.Location{Cell: id, Session: e.sessions[id]}
	e.placement.Place(attempt, location)
	demand := cell.Demand{Attempt: attempt, Team: e.p.names[e.p.teamOf[attempt]], Moves: e.moves[attempt]}
	e.send(e.p.nodes[id], &dispatch.Want{Router: e.id, Session: location.Session, Demands: []cell.Demand{demand}})
}

func (e *entry) passedOn(n *node, action dispatch.MoveTo) {
	if e.placement.PassedOn(action.Attempt, slice.Location{Cell: n.id, Session: action.Session}) {
		e.moves[action.Attempt]++
		team := e.p.names[e.p.teamOf[action.Attempt]]
		to, ok := e.chooser.Follow(e.p.now, team, action.Cell)
		if !ok {
			to = n.id
		}
		e.ask(action.Attempt, to)
	}
}

// granted starts a request, or hands a grant of a lost session back.
func (e *entry) granted(n *node, action dispatch.GrantTo) {
	attempt := action.Grant.Attempt
	if !e.placement.Granted(attempt, slice.Location{Cell: n.id, Session: action.Session}) {
		e.p.seen.unused++
		e.end(n, cell.End{Attempt: attempt, Outcome: cell.Unused})
		return
	}
	if action.Session != e.sessions[n.id] {
		e.p.seen.void++
	}
	e.waiting--
	delete(e.moves, attempt)
	team := e.p.teamOf[attempt]
	flight := cell.Flight{Attempt: attempt, Team: e.p.names[team], Endpoint: action.Grant.Endpoint, Start: "s"}
	e.running[attempt] = running{at: n.id, flight: flight}
	e.p.seen.started(flight.Endpoint, attempt, team)
	cost := 1 + cell.Cost(e.p.rand.Int64N(int64(e.p.conf.LargestCost)))
	e.p.after(time.Duration(cost)*e.p.conf.CostTime, func() { e.complete(n, flight, cost) })
	if team < e.p.conf.Backlogged {
		e.p.demand(team)
	}
}

func (e *entry) complete(n *node, flight cell.Flight, cost cell.Cost) {
	e.p.seen.ended(flight.Endpoint, e.p.teamOf[flight.Attempt], cost)
	delete(e.running, flight.Attempt)
	delete(e.p.teamOf, flight.Attempt)
	e.end(n, cell.End{Attempt: flight.Attempt, Outcome: cell.Completed, Cost: cost})
}

func (e *entry) end(n *node, end cell.End) {
	e.send(n, &dispatch.Ended{Router: e.id, Ends: []cell.End{end}})
}
