package dispatch_test

import (
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/lend"
)

// post sends a message of the entry n to a dispatcher.
func (n *node) post(to cell.RouterID, message any) {
	if to == n.id {
		n.w.after(0, n, func() { n.serve(n.id, message, nil) })
		return
	}
	for i := range n.w.nodes {
		if l := n.w.links[[2]int{n.index, i}]; l != nil && l.ends[1].id == to {
			n.w.send(l, 1, message)
		}
	}
}

// answer sends a message of the dispatcher n to an entry.
func (n *node) answer(to cell.RouterID, message any) {
	if to == n.id {
		echoed := n.w.now
		n.w.after(0, n, func() { n.hear(n.id, message, echoed) })
		return
	}
	for i := range n.w.nodes {
		if l := n.w.links[[2]int{i, n.index}]; l != nil && l.ends[0].id == to && l.ends[1] == n {
			n.w.send(l, 0, message)
		}
	}
}

func (n *node) receive(l *link, to int, f frame) {
	from := l.ends[1-to].id
	if to == 0 {
		n.lend(&lend.Heard{Router: from})
		n.hear(from, f.message, f.echo)
		return
	}
	n.serve(from, f.message, l)
	if session, ok := n.sessions[from]; ok && session.on == l && !f.echo.IsZero() {
		n.dispatch(&dispatch.Renew{Router: from, Session: session.number, StakeUntil: f.echo.Add(lend.DefaultStakeLease)})
	}
}

// serve takes a message of an entry to the dispatcher.
func (n *node) serve(from cell.RouterID, message any, on *link) {
	switch m := message.(type) {
	case lend.Join:
		n.sessions[from] = session{number: m.Session, on: on}
		n.dispatch(&dispatch.Join{Router: from, Session: m.Session, Stake: m.Stake, Unlent: m.Unlent, Flights: m.Flights, Counters: m.Counters})
		n.answer(from, lend.Accepted{Router: n.id, Session: m.Session})
	case lend.Release:
		if n.sessions[from].number == m.Session {
			n.drop(from, on)
		}
		n.answer(from, lend.Released{Router: n.id, Session: m.Session})
	case lend.SendWant:
		n.dispatch(&dispatch.Want{Router: from, Session: m.Session, Demands: m.Demands})
	case lend.SendEnds:
		n.dispatch(&dispatch.Ended{Router: from, Ends: m.Ends})
	}
}

// hear takes a message of a dispatcher to the lender.
func (n *node) hear(from cell.RouterID, message any, echoed time.Time) {
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
	for _, action := range n.d.Step(n.w.now, ev) {
		switch action := action.(type) {
		case *dispatch.GrantTo:
			n.answer(action.Router, *action)
		case *dispatch.RefuseTo:
			n.answer(action.Router, *action)
		}
	}
}

func (n *node) lend(ev lend.Event) {
	for _, action := range n.lender.Step(n.w.now, ev) {
		switch action := action.(type) {
		case *lend.Join:
			n.post(action.Router, *action)
		case *lend.Release:
			n.post(action.Router, *action)
		case *lend.SendWant:
			n.post(action.Router, *action)
		case *lend.SendEnds:
			n.post(action.Router, *action)
		case *lend.Granted:
			n.w.engine.send(n, *action)
		case *lend.Disconnect:
			n.disconnect(action.Router)
		}
	}
}

func (n *node) disconnect(router cell.RouterID) {
	for i := range n.w.nodes {
		if l := n.w.links[[2]int{n.index, i}]; l != nil && l.ends[1].id == router {
			n.w.close(l, 0)
		}
	}
}

// prefer gives a router another order of dispatchers.
func (w *world) prefer(n *node) {
	hosts := w.order(true)
	w.after(0, n, func() { n.lend(&lend.Order{Hosts: hosts}) })
}

// poll asks the endpoint for its report, which may be old.
func (n *node) poll() {
	n.w.after(250*time.Millisecond, n, n.poll)
	if !n.w.healthy && n.w.rand.IntN(10) == 0 {
		n.dispatch(&dispatch.Unreachable{Endpoint: "e"})
		return
	}
	asked := n.w.now
	n.w.after(n.w.between(time.Millisecond, 100*time.Millisecond), nil, func() {
		load := n.w.engine.report(asked.Add(-reportLag))
		n.w.after(n.w.between(time.Millisecond, 100*time.Millisecond), n, func() { n.dispatch(&load) })
	})
}

// engine is the endpoint; it records the most requests that it ran during a cold start.
type engine struct {
	w      *world
	start  int
	done   int       // done is the work completed since the start.
	warm   int       // warm is the work after which the endpoint is no longer cold.
	turned time.Time // turned is when the endpoint turned cold without a restart.
	runs   []*call
	past   []dispatch.Load // past are all reports since the beginning, Sampled being exact.
	worst  int
	served int
	busy   time.Duration // busy is the sum of the times of all requests.
}

// call is a request at the endpoint or on its way there.
type call struct {
	from  *node
	id    cell.AttemptID
	start cell.StartID
}

const warmAfter = 8

// learned is the time in which dispatchers learn that an endpoint has turned cold:
// a freeze shorter than the lease, two polls of which one is lost, and a grant's way.
const learned = 3 * time.Second

func (e *engine) isCold() bool { return e.done < e.warm }

// turnCold makes the endpoint cold in place.
func (e *engine) turnCold() {
	e.warm, e.turned = e.done+warmAfter, e.w.now
	e.note()
}

func (e *engine) startID() cell.StartID { return cell.StartID(rune('A' + e.start)) }

func (e *engine) note() {
	if last := len(e.past) - 1; last >= 0 {
		e.busy += time.Duration(e.past[last].InFlight) * e.w.now.Sub(e.past[last].Sampled)
	}
	e.past = append(e.past, dispatch.Load{
		Endpoint: "e", Start: e.startID(), Cold: e.isCold(), InFlight: len(e.runs), Sampled: e.w.now, Completed: e.done,
	})
}

// report returns a report as of some moment from the given one to now.
func (e *engine) report(since time.Time) dispatch.Load {
	at := since.Add(e.w.between(0, e.w.now.Sub(since)))
	last := len(e.past) - 1
	for last > 0 && e.past[last].Sampled.After(at) {
		last--
	}
	load := e.past[last]
	load.Sampled = since
	return load
}

func (e *engine) restart() {
	e.start++
	e.done, e.warm, e.turned = 0, warmAfter, time.Time{}
	for len(e.runs) > 0 {
		e.finish(e.runs[0], cell.Failed)
	}
	e.note()
}

// send brings a granted request to the endpoint within the stake margin.
func (e *engine) send(from *node, granted lend.Granted) {
	c := &call{from: from, id: granted.Attempt, start: granted.Start}
	e.w.after(e.w.between(0, dispatch.DefaultStakeMargin), nil, func() {
		if c.start != e.startID() {
			e.finish(c, cell.StartChanged)
			return
		}
		e.runs = append(e.runs, c)
		if e.isCold() && e.w.now.Sub(e.turned) > learned {
			e.worst = max(e.worst, len(e.runs))
		}
		e.note()
		if !e.w.healthy && e.w.rand.IntN(8) == 0 { // The connection breaks and the endpoint works on.
			e.tell(c, cell.Failed)
		}
		e.w.after(e.w.between(20*time.Millisecond, worldLong), nil, func() {
			if slices.Contains(e.runs, c) {
				e.done++
				e.served++
				e.finish(c, cell.Completed)
				e.note()
			}
		})
	})
}

func (e *engine) finish(c *call, outcome cell.Outcome) {
	e.runs = slices.DeleteFunc(e.runs, func(run *call) bool { return run == c })
	e.tell(c, outcome)
}

func (e *engine) tell(c *call, outcome cell.Outcome) {
	e.w.after(e.w.between(0, 50*time.Millisecond), c.from, func() {
		c.from.lend(&lend.End{End: cell.End{Attempt: c.id, Outcome: outcome, Cost: 10}})
	})
}
