package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/lend"
	"ryelug/standin/timeline"
)

const (
	tick      = 50 * time.Millisecond
	beat      = 200 * time.Millisecond
	silent    = 750 * time.Millisecond
	reportLag = 500 * time.Millisecond
	worldLong = 3 * time.Second // worldLong is the longest request of a world.
)

// world is a model of routers that lend to each other, an endpoint, and all that fails between them.
type world struct {
	rand      *rand.Rand
	now       time.Time
	queue     timeline.Queue[task]
	nodes     []*node
	cut       map[[2]int]bool // cut holds the directions between hosts in which nothing arrives.
	links     map[[2]int]*link
	policy    dispatch.Policy
	engine    *engine
	split     bool // split makes every router dispatch for itself.
	onlyFirst bool // onlyFirst gives demand to the first router alone.
	healthy   bool // healthy is true once nothing fails any more.
}

// task is something that happens at a node; a frozen node does it after it wakes.
type task struct {
	node *node
	do   func()
}

// node is one life of a router process.
type node struct {
	w        *world
	index    int
	id       cell.RouterID
	dead     bool
	frozen   time.Time // frozen is the time until which nothing happens at the node.
	lender   *lend.Lender
	d        *dispatch.Dispatcher
	sessions map[cell.RouterID]session
	next     cell.AttemptID
}

// session is what a dispatcher's router knows of an entry's session: its number and the link it came by.
type session struct {
	number cell.Session
	on     *link
}

// link carries the traffic of an entry with a dispatcher at another host.
type link struct {
	ends [2]*node
	side [2]side // side 0 is the entry's.
}

// closing is the last frame of a side that closes its link.
type closing struct{}

type side struct {
	heard   time.Time // heard is when a frame arrived last.
	stamp   time.Time // stamp is the newest stamp of the other side.
	arrives time.Time // arrives is when the last frame on the way to this side arrives.
	closed  bool
	lost    bool // lost is true once a frame to this side is lost; so are all after it.
}

// frame is a message with the stamps that routers put on it.
type frame struct {
	message     any
	stamp, echo time.Time
}

func newWorld(seed uint64, hosts, cold int, options ...func(*world)) *world {
	w := &world{
		rand: rand.New(rand.NewPCG(seed, 7)), now: began,
		cut: map[[2]int]bool{}, links: map[[2]int]*link{}, policy: onePool(cold, cold+4),
	}
	w.policy.LongestRequest, w.policy.WarmUpRequests = worldLong, 6
	w.engine = &engine{w: w}
	w.engine.restart()
	for _, option := range options {
		option(w)
	}
	w.nodes = make([]*node, hosts)
	for i := range hosts {
		w.boot(i, 1)
	}
	return w
}

func (w *world) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rand.Int64N(int64(most-least)+1))
}

func (w *world) after(d time.Duration, at *node, do func()) {
	w.queue.Add(w.now.Add(d), task{at, do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	until := w.now.Add(d)
	for next, ok := w.queue.Next(until); ok; next, ok = w.queue.Next(until) {
		w.now = next.At
		switch n := next.What.node; {
		case n != nil && n.dead:
		case n != nil && n.frozen.After(w.now):
			w.queue.Postpone(next, n.frozen)
		default:
			next.What.do()
		}
	}
	w.now = until
}

// boot starts a new process on a host; whatever ran there is gone.
func (w *world) boot(i, life int) {
	if old := w.nodes[i]; old != nil {
		old.dead = true
		for j := range w.nodes {
			if l := w.links[[2]int{i, j}]; l != nil {
				w.close(l, 0)
			}
			if l := w.links[[2]int{j, i}]; l != nil && l.ends[1] == old {
				w.close(l, 1)
			}
		}
	}
	n := &node{w: w, index: i, id: cell.RouterID(fmt.Sprintf("h%d/%d", i, life)), sessions: map[cell.RouterID]session{}}
	n.lender = lend.New(lend.Config{Self: n.id, Cell: "cell", Started: w.now, Local: w.split})
	n.d = dispatch.New(dispatch.Config{Cell: "cell"})
	w.nodes[i] = n
	n.dispatch(&w.policy)
	n.vote(len(w.nodes))
	n.lend(&lend.Order{Hosts: w.order(false)})
	n.tick()
	n.beat()
	n.poll()
}

// used lets time pass and returns the part of the warm limit that was in use.
func (w *world) used(d time.Duration) float64 {
	w.engine.note()
	before := w.engine.busy
	w.run(d)
	w.engine.note()
	return float64(w.engine.busy-before) / float64(d) / float64(w.policy.Endpoints[0].WarmLimit)
}

// heal ends all faults.
func (w *world) heal() {
	w.healthy = true
	clear(w.cut)
	for _, n := range w.nodes {
		n.frozen = w.now
		n.vote(len(w.nodes))
		n.lend(&lend.Order{Hosts: w.order(false)})
	}
}

func (w *world) order(shuffled bool) []cell.HostID {
	hosts := make([]cell.HostID, len(w.nodes))
	for i := range hosts {
		hosts[i] = cell.HostID(fmt.Sprint("h", i))
	}
	if shuffled {
		w.rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	}
	return hosts
}

// vote tells the dispatcher the voters and a total that may be above their number.
func (n *node) vote(total int) {
	n.dispatch(&dispatch.Voters{Hosts: n.w.order(false), Total: total})
}

func (n *node) tick() {
	n.w.after(tick, n, n.tick)
	wants := n.w.rand.IntN(4) == 0
	if n.w.onlyFirst {
		wants = n.index == 0
	}
	if wants {
		n.want()
	}
	n.lend(&lend.Tick{})
	if session, ok := n.sessions[n.id]; ok {
		n.dispatch(&dispatch.Renew{Router: n.id, Session: session.number, StakeUntil: n.w.now.Add(lend.DefaultStakeLease)})
	}
	n.dispatch(&dispatch.Tick{})
}

// beat tends the links to all other hosts.
func (n *node) beat() {
	n.w.after(beat, n, n.beat)
	for i := range n.w.nodes {
		n.tend(i)
	}
}

func (n *node) want() {
	n.next++
	team := n.w.policy.Teams[n.w.rand.IntN(3)].Team
	n.lend(&lend.Want{Demand: cell.Demand{Attempt: n.next, Team: team}})
}

// tend keeps the link to another host: dials, sends heartbeats, closes on silence.
func (n *node) tend(to int) {
	if to == n.index || n.w.nodes[to] == nil {
		return
	}
	l := n.w.links[[2]int{n.index, to}]
	if l == nil || l.side[0].closed {
		n.dial(to)
		return
	}
	n.keep(l, 0)
	if back := n.w.links[[2]int{to, n.index}]; back != nil && back.ends[1] == n {
		n.keep(back, 1)
	}
}

func (n *node) keep(l *link, own int) {
	n.w.send(l, 1-own, nil)
	if n.w.now.Sub(l.side[own].heard) > silent {
		n.w.close(l, own)
	}
}

func (n *node) dial(to int) {
	other := n.w.nodes[to]
	isCut := n.w.cut[[2]int{n.index, to}] || n.w.cut[[2]int{to, n.index}]
	if isCut || other.dead || other.frozen.After(n.w.now) || n.w.rand.IntN(4) > 0 {
		return
	}
	if old := n.w.links[[2]int{n.index, to}]; old != nil && !old.side[1].closed {
		n.w.after(silent, old.ends[1], func() { n.w.close(old, 1) })
	}
	l := &link{ends: [2]*node{n, other}}
	l.side[0].heard, l.side[1].heard = n.w.now, n.w.now
	n.w.links[[2]int{n.index, to}] = l
	n.w.after(0, n, func() { n.lend(&lend.LinkUp{Router: other.id}) })
}

// close ends one side of a link; the other side learns it from the last frame, or from silence.
func (w *world) close(l *link, own int) {
	if l.side[own].closed {
		return
	}
	w.send(l, 1-own, closing{})
	l.side[own].closed = true
	w.after(0, l.ends[own], func() {
		if own == 0 {
			l.ends[0].lend(&lend.LinkDown{Router: l.ends[1].id})
		} else {
			l.ends[1].drop(l.ends[0].id, l)
		}
	})
}

// drop ends the session of an entry whose link is down.
func (n *node) drop(entry cell.RouterID, l *link) {
	if session, ok := n.sessions[entry]; ok && session.on == l {
		delete(n.sessions, entry)
		n.dispatch(&dispatch.Leave{Router: entry, Session: session.number})
	}
}

// send puts a frame on the way to a side of a link.
func (w *world) send(l *link, to int, message any) {
	from, at := &l.side[1-to], &l.side[to]
	sent := frame{message: message, stamp: w.now, echo: from.stamp}
	if from.closed {
		return
	}
	if w.cut[[2]int{l.ends[1-to].index, l.ends[to].index}] {
		at.lost = true
	}
	if at.lost {
		return
	}
	arrives := later(at.arrives, w.now.Add(w.between(time.Millisecond, 60*time.Millisecond)))
	at.arrives = arrives
	w.after(arrives.Sub(w.now), l.ends[to], func() {
		if at.closed {
			return
		}
		if message == (closing{}) {
			w.close(l, to)
			return
		}
		at.heard, at.stamp = w.now, sent.stamp
		l.ends[to].receive(l, to, sent)
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
