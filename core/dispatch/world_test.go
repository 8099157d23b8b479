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
	tick           = 50 * time.Millisecond
	heartbeat      = 200 * time.Millisecond
	linkTimeout    = 750 * time.Millisecond
	reportLag      = 500 * time.Millisecond // reportLag is the greatest age of a load report at the time of the request for it.
	maxRequestTime = 3 * time.Second        // maxRequestTime is the longest running time of a simulated request.
)

// simulation models routers that lend their capacity stakes to each other's dispatchers, one endpoint, and the
// faults between them, in simulated time.
type simulation struct {
	rand            *rand.Rand
	now             time.Time
	queue           timeline.Queue[task]
	nodes           []*node
	cutDirections   map[[2]int]bool // cutDirections holds the pairs of hosts, sender first, between which no frame arrives.
	links           map[[2]int]*link
	policy          dispatch.Policy
	engine          *engine
	fixedSplit      bool // fixedSplit makes every router use only its own dispatcher and stake.
	firstRouterOnly bool // firstRouterOnly sends callers' requests to the first router only.
	faultsEnded     bool // faultsEnded is true once no more faults occur.
}

// task is a scheduled call at a node. If the node is paused then, it is postponed until the node resumes.
type task struct {
	node *node
	do   func()
}

// node is one run of a router process; a restart creates another node.
type node struct {
	sim         *simulation
	index       int
	id          cell.RouterID
	dead        bool
	pausedUntil time.Time // pausedUntil is the time until which the process does nothing.
	lender      *lend.Lender
	d           *dispatch.Dispatcher
	sessions    map[cell.RouterID]session
	lastAttempt cell.AttemptID
}

// session is an entry router's session as the dispatcher's router records it: its number and its link.
type session struct {
	number cell.Session
	on     *link
}

// link is the connection of an entry router to a dispatcher at another host.
type link struct {
	endNodes [2]*node
	side     [2]side // side holds the state of the entry router at 0 and of the dispatcher's router at 1.
}

// closing is the message that a side sends last when it closes the link.
type closing struct{}

type side struct {
	lastReceived time.Time // lastReceived is when the last frame arrived.
	stamp        time.Time // stamp is the send time in the last frame from the other side.
	arrives      time.Time // arrives is when the last frame sent to this side arrives; frames keep their order.
	closed       bool
	lost         bool // lost is true once a frame to this side has been lost; all later frames are lost too.
}

// frame is a message with its send time (stamp) and the last send time received from the other side (echo).
type frame struct {
	message     any
	stamp, echo time.Time
}

func newSimulation(seed uint64, hosts, cold int, options ...func(*simulation)) *simulation {
	sim := &simulation{
		rand: rand.New(rand.NewPCG(seed, 7)), now: startTime,
		cutDirections: map[[2]int]bool{}, links: map[[2]int]*link{}, policy: testPolicy(cold, cold+4),
	}
	sim.policy.LongestRequest, sim.policy.WarmUpRequests = maxRequestTime, 6
	sim.engine = &engine{sim: sim}
	sim.engine.restart()
	for _, option := range options {
		option(sim)
	}
	sim.nodes = make([]*node, hosts)
	for i := range hosts {
		sim.startRouter(i, 1)
	}
	return sim
}

func (sim *simulation) between(least, most time.Duration) time.Duration {
	return least + time.Duration(sim.rand.Int64N(int64(most-least)+1))
}

func (sim *simulation) after(d time.Duration, at *node, do func()) {
	sim.queue.Add(sim.now.Add(d), task{at, do})
}

// run advances the simulated time and runs the tasks that are due.
func (sim *simulation) run(d time.Duration) {
	until := sim.now.Add(d)
	for next, ok := sim.queue.Next(until); ok; next, ok = sim.queue.Next(until) {
		sim.now = next.At
		switch n := next.What.node; {
		case n != nil && n.dead:
		case n != nil && n.pausedUntil.After(sim.now):
			sim.queue.Postpone(next, n.pausedUntil)
		default:
			next.What.do()
		}
	}
	sim.now = until
}

// startRouter starts a new router process on a host. The process that ran there is dead and its links close.
func (sim *simulation) startRouter(i, incarnation int) {
	if old := sim.nodes[i]; old != nil {
		old.dead = true
		for j := range sim.nodes {
			if conn := sim.links[[2]int{i, j}]; conn != nil {
				sim.close(conn, 0)
			}
			if conn := sim.links[[2]int{j, i}]; conn != nil && conn.endNodes[1] == old {
				sim.close(conn, 1)
			}
		}
	}
	n := &node{sim: sim, index: i, id: cell.RouterID(fmt.Sprintf("h%d/%d", i, incarnation)), sessions: map[cell.RouterID]session{}}
	n.lender = lend.New(lend.Config{Self: n.id, Cell: "cell", Started: sim.now, SelfDispatch: sim.fixedSplit})
	n.d = dispatch.New(dispatch.Config{Cell: "cell"})
	sim.nodes[i] = n
	n.dispatch(&sim.policy)
	n.setVoters(len(sim.nodes))
	n.lend(&lend.Order{Hosts: sim.hostOrder(false)})
	n.tick()
	n.heartbeat()
	n.poll()
}

// utilisation advances the simulated time and returns the average fraction of the warm limit that was in use.
func (sim *simulation) utilisation(d time.Duration) float64 {
	sim.engine.recordState()
	before := sim.engine.busyTime
	sim.run(d)
	sim.engine.recordState()
	return float64(sim.engine.busyTime-before) / float64(d) / float64(sim.policy.Endpoints[0].WarmLimit)
}

// endFaults ends all faults and restores the default voters and order of dispatchers.
func (sim *simulation) endFaults() {
	sim.faultsEnded = true
	clear(sim.cutDirections)
	for _, n := range sim.nodes {
		n.pausedUntil = sim.now
		n.setVoters(len(sim.nodes))
		n.lend(&lend.Order{Hosts: sim.hostOrder(false)})
	}
}

func (sim *simulation) hostOrder(shuffled bool) []cell.HostID {
	hosts := make([]cell.HostID, len(sim.nodes))
	for i := range hosts {
		hosts[i] = cell.HostID(fmt.Sprint("h", i))
	}
	if shuffled {
		sim.rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	}
	return hosts
}

// setVoters gives the dispatcher all hosts as voters, and a total that may exceed their number.
func (n *node) setVoters(total int) {
	n.dispatch(&dispatch.Voters{Hosts: n.sim.hostOrder(false), Total: total})
}

func (n *node) tick() {
	n.sim.after(tick, n, n.tick)
	wants := n.sim.rand.IntN(4) == 0
	if n.sim.firstRouterOnly {
		wants = n.index == 0
	}
	if wants {
		n.requestGrant()
	}
	n.lend(&lend.Tick{})
	if session, ok := n.sessions[n.id]; ok {
		n.dispatch(&dispatch.Renew{Router: n.id, Session: session.number, StakeUntil: n.sim.now.Add(lend.DefaultStakeLease)})
	}
	n.dispatch(&dispatch.Tick{})
}

// heartbeat checks the links to all other hosts at every heartbeat.
func (n *node) heartbeat() {
	n.sim.after(heartbeat, n, n.heartbeat)
	for i := range n.sim.nodes {
		n.maintainLink(i)
	}
}

func (n *node) requestGrant() {
	n.lastAttempt++
	team := n.sim.policy.Teams[n.sim.rand.IntN(3)].Team
	n.lend(&lend.Want{Demand: cell.Demand{Attempt: n.lastAttempt, Team: team}})
}

// maintainLink dials another host if there is no link; otherwise it sends heartbeats and closes the link after linkTimeout.
func (n *node) maintainLink(to int) {
	if to == n.index || n.sim.nodes[to] == nil {
		return
	}
	conn := n.sim.links[[2]int{n.index, to}]
	if conn == nil || conn.side[0].closed {
		n.dial(to)
		return
	}
	n.checkLink(conn, 0)
	if back := n.sim.links[[2]int{to, n.index}]; back != nil && back.endNodes[1] == n {
		n.checkLink(back, 1)
	}
}

func (n *node) checkLink(conn *link, own int) {
	n.sim.send(conn, 1-own, nil)
	if n.sim.now.Sub(conn.side[own].lastReceived) > linkTimeout {
		n.sim.close(conn, own)
	}
}

func (n *node) dial(to int) {
	other := n.sim.nodes[to]
	isCut := n.sim.cutDirections[[2]int{n.index, to}] || n.sim.cutDirections[[2]int{to, n.index}]
	if isCut || other.dead || other.pausedUntil.After(n.sim.now) || n.sim.rand.IntN(4) > 0 {
		return
	}
	if old := n.sim.links[[2]int{n.index, to}]; old != nil && !old.side[1].closed {
		n.sim.after(linkTimeout, old.endNodes[1], func() { n.sim.close(old, 1) })
	}
	conn := &link{endNodes: [2]*node{n, other}}
	conn.side[0].lastReceived, conn.side[1].lastReceived = n.sim.now, n.sim.now
	n.sim.links[[2]int{n.index, to}] = conn
	n.sim.after(0, n, func() { n.lend(&lend.LinkUp{Router: other.id}) })
}

// close closes one side of a link. The other side detects it by the closing message or by the timeout.
func (sim *simulation) close(conn *link, own int) {
	if conn.side[own].closed {
		return
	}
	sim.send(conn, 1-own, closing{})
	conn.side[own].closed = true
	sim.after(0, conn.endNodes[own], func() {
		if own == 0 {
			conn.endNodes[0].lend(&lend.LinkDown{Router: conn.endNodes[1].id})
		} else {
			conn.endNodes[1].endSession(conn.endNodes[0].id, conn)
		}
	})
}

// endSession ends the session of an entry router whose link is down.
func (n *node) endSession(entry cell.RouterID, conn *link) {
	if session, ok := n.sessions[entry]; ok && session.on == conn {
		delete(n.sessions, entry)
		n.dispatch(&dispatch.Leave{Router: entry, Session: session.number})
	}
}

// send sends a message over a link to one of its sides, with a random delay. The frame is lost if the direction is cut.
func (sim *simulation) send(conn *link, to int, message any) {
	from, at := &conn.side[1-to], &conn.side[to]
	sent := frame{message: message, stamp: sim.now, echo: from.stamp}
	if from.closed {
		return
	}
	if sim.cutDirections[[2]int{conn.endNodes[1-to].index, conn.endNodes[to].index}] {
		at.lost = true
	}
	if at.lost {
		return
	}
	arrives := later(at.arrives, sim.now.Add(sim.between(time.Millisecond, 60*time.Millisecond)))
	at.arrives = arrives
	sim.after(arrives.Sub(sim.now), conn.endNodes[to], func() {
		if at.closed {
			return
		}
		if message == (closing{}) {
			sim.close(conn, to)
			return
		}
		at.lastReceived, at.stamp = sim.now, sent.stamp
		conn.endNodes[to].receive(conn, to, sent)
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
