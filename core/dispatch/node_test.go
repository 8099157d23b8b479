package dispatch_test

import (
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/lend"
)

// sendToDispatcher sends a message from the entry router n to a dispatcher.
func (n *node) sendToDispatcher(to cell.RouterID, message any) {
	if to == n.id {
		n.sim.after(0, n, func() { n.handleEntryMessage(n.id, message, nil) })
		return
	}
	for i := range n.sim.nodes {
		if conn := n.sim.links[[2]int{n.index, i}]; conn != nil && conn.endNodes[1].id == to {
			n.sim.send(conn, 1, message)
		}
	}
}

// sendToEntry sends a message from the dispatcher of n to an entry router.
func (n *node) sendToEntry(to cell.RouterID, message any) {
	if to == n.id {
		echoed := n.sim.now
		n.sim.after(0, n, func() { n.handleDispatcherMessage(n.id, message, echoed) })
		return
	}
	for i := range n.sim.nodes {
		if conn := n.sim.links[[2]int{i, n.index}]; conn != nil && conn.endNodes[0].id == to && conn.endNodes[1] == n {
			n.sim.send(conn, 0, message)
		}
	}
}

func (n *node) receive(conn *link, to int, f frame) {
	from := conn.endNodes[1-to].id
	if to == 0 {
		n.lend(&lend.FrameReceived{Router: from})
		n.handleDispatcherMessage(from, f.message, f.echo)
		return
	}
	n.handleEntryMessage(from, f.message, conn)
	if session, ok := n.sessions[from]; ok && session.on == conn && !f.echo.IsZero() {
		n.dispatch(&dispatch.Renew{Router: from, Session: session.number, StakeUntil: f.echo.Add(lend.DefaultStakeLease)})
	}
}

// handleEntryMessage passes a message from an entry router to the dispatcher of n.
func (n *node) handleEntryMessage(from cell.RouterID, message any, on *link) {
	switch m := message.(type) {
	case lend.Join:
		n.sessions[from] = session{number: m.Session, on: on}
		n.dispatch(&dispatch.Join{Router: from, Session: m.Session, Stake: m.Stake, UncountedFor: m.UncountedFor, Flights: m.Flights, Counters: m.Counters})
		n.sendToEntry(from, lend.Accepted{Router: n.id, Session: m.Session})
	case lend.Release:
		if n.sessions[from].number == m.Session {
			n.endSession(from, on)
		}
		n.sendToEntry(from, lend.Released{Router: n.id, Session: m.Session})
	case lend.SendWant:
		n.dispatch(&dispatch.Want{Router: from, Session: m.Session, Demands: m.Demands})
	case lend.SendEnds:
		n.dispatch(&dispatch.Ended{Router: from, Ends: m.Ends})
	}
}

// handleDispatcherMessage passes a message from a dispatcher to the lender of n, which is its entry side.
func (n *node) handleDispatcherMessage(from cell.RouterID, message any, echoed time.Time) {
	switch m := message.(type) {
	case lend.Accepted:
		n.lend(&m)
	case lend.Released:
		n.lend(&m)
	case dispatch.GrantTo:
		n.lend(&lend.Grants{Router: from, Session: m.Session, Echoed: echoed, Grants: []cell.Grant{m.Grant}})
	case dispatch.RefuseTo:
		n.lend(&lend.Refusals{Router: from, Session: m.Session, Refusals: []cell.Refusal{{Attempt: m.Attempt, Code: uint16(m.Code)}}})
	}
}

func (n *node) dispatch(ev dispatch.Event) {
	for _, action := range n.d.Step(n.sim.now, ev) {
		switch action := action.(type) {
		case *dispatch.GrantTo:
			n.sendToEntry(action.Router, *action)
		case *dispatch.RefuseTo:
			n.sendToEntry(action.Router, *action)
		}
	}
}

func (n *node) lend(ev lend.Event) {
	for _, action := range n.lender.Step(n.sim.now, ev) {
		switch action := action.(type) {
		case *lend.Join:
			n.sendToDispatcher(action.Router, *action)
		case *lend.Release:
			n.sendToDispatcher(action.Router, *action)
		case *lend.SendWant:
			n.sendToDispatcher(action.Router, *action)
		case *lend.SendEnds:
			n.sendToDispatcher(action.Router, *action)
		case *lend.Granted:
			n.sim.engine.send(n, *action)
		case *lend.Disconnect:
			n.disconnect(action.Router)
		}
	}
}

func (n *node) disconnect(router cell.RouterID) {
	for i := range n.sim.nodes {
		if conn := n.sim.links[[2]int{n.index, i}]; conn != nil && conn.endNodes[1].id == router {
			n.sim.close(conn, 0)
		}
	}
}

// shuffleDispatchers changes the order in which a router prefers dispatchers.
func (sim *simulation) shuffleDispatchers(n *node) {
	hosts := sim.hostOrder(true)
	sim.after(0, n, func() { n.lend(&lend.Order{Hosts: hosts}) })
}

// poll requests a load report from the endpoint every 250 ms. The report may be outdated, or fail until faults end.
func (n *node) poll() {
	n.sim.after(250*time.Millisecond, n, n.poll)
	if !n.sim.faultsEnded && n.sim.rand.IntN(10) == 0 {
		n.dispatch(&dispatch.Unreachable{Endpoint: "e"})
		return
	}
	asked := n.sim.now
	n.sim.after(n.sim.between(time.Millisecond, 100*time.Millisecond), nil, func() {
		load := n.sim.engine.report(asked.Add(-reportLag))
		n.sim.after(n.sim.between(time.Millisecond, 100*time.Millisecond), n, func() { n.dispatch(&load) })
	})
}

// engine simulates the endpoint and records the most requests that it ran at once while cold.
type engine struct {
	sim             *simulation
	start           int
	completed       int       // completed is the number of requests completed since the start.
	warmAt          int       // warmAt is the value of completed at which the endpoint stops being cold.
	turnedColdAt    time.Time // turnedColdAt is when the endpoint turned cold without a restart; zero if it has not.
	running         []*call
	reports         []dispatch.Load // reports holds all states since the beginning, each with the exact time of its change in Sampled.
	maxColdInFlight int             // maxColdInFlight is the most requests that ran at once while the endpoint was cold for longer than coldDetectionTime.
	served          int
	busyTime        time.Duration // busyTime is the sum of the running times of all requests.
}

// call is a request that runs at the endpoint or is on its way there.
type call struct {
	from  *node
	id    cell.AttemptID
	start cell.StartID
}

// warmAfter is the number of completed requests that make the endpoint warm.
const warmAfter = 8

// coldDetectionTime is the longest time until all dispatchers know that an endpoint has
// turned cold: a process pause shorter than the lease, two polls of which one is lost,
// and the delivery of a grant.
const coldDetectionTime = 3 * time.Second

func (e *engine) isCold() bool { return e.completed < e.warmAt }

// turnCold makes the endpoint cold without a restart; running requests continue.
func (e *engine) turnCold() {
	e.warmAt, e.turnedColdAt = e.completed+warmAfter, e.sim.now
	e.recordState()
}

func (e *engine) startID() cell.StartID { return cell.StartID(rune('A' + e.start)) }

func (e *engine) recordState() {
	if last := len(e.reports) - 1; last >= 0 {
		e.busyTime += time.Duration(e.reports[last].InFlight) * e.sim.now.Sub(e.reports[last].Sampled)
	}
	e.reports = append(e.reports, dispatch.Load{
		Endpoint: "e", Start: e.startID(), Cold: e.isCold(), InFlight: len(e.running), Sampled: e.sim.now, Completed: e.completed,
	})
}

// report returns the state at a random time between since and now. Its Sampled is since, the earliest possible time.
func (e *engine) report(since time.Time) dispatch.Load {
	at := since.Add(e.sim.between(0, e.sim.now.Sub(since)))
	last := len(e.reports) - 1
	for last > 0 && e.reports[last].Sampled.After(at) {
		last--
	}
	load := e.reports[last]
	load.Sampled = since
	return load
}

func (e *engine) restart() {
	e.start++
	e.completed, e.warmAt, e.turnedColdAt = 0, warmAfter, time.Time{}
	for len(e.running) > 0 {
		e.finish(e.running[0], cell.Failed)
	}
	e.recordState()
}

// send delivers a granted request to the endpoint within the stake margin, runs it and reports its end.
func (e *engine) send(from *node, granted lend.Granted) {
	c := &call{from: from, id: granted.Attempt, start: granted.Start}
	e.sim.after(e.sim.between(0, dispatch.DefaultStakeMargin), nil, func() {
		if c.start != e.startID() {
			e.finish(c, cell.StartChanged)
			return
		}
		e.running = append(e.running, c)
		if e.isCold() && e.sim.now.Sub(e.turnedColdAt) > coldDetectionTime {
			e.maxColdInFlight = max(e.maxColdInFlight, len(e.running))
		}
		e.recordState()
		if !e.sim.faultsEnded && e.sim.rand.IntN(8) == 0 { // The connection breaks, and the endpoint keeps running the request.
			e.reportEnd(c, cell.Failed)
		}
		e.sim.after(e.sim.between(20*time.Millisecond, maxRequestTime), nil, func() {
			if slices.Contains(e.running, c) {
				e.completed++
				e.served++
				e.finish(c, cell.Completed)
				e.recordState()
			}
		})
	})
}

func (e *engine) finish(c *call, outcome cell.Outcome) {
	e.running = slices.DeleteFunc(e.running, func(run *call) bool { return run == c })
	e.reportEnd(c, outcome)
}

func (e *engine) reportEnd(c *call, outcome cell.Outcome) {
	e.sim.after(e.sim.between(0, 50*time.Millisecond), c.from, func() {
		c.from.lend(&lend.End{End: cell.End{Attempt: c.id, Outcome: outcome, Cost: 10}})
	})
}
