package lend_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/lend"
)

const (
	tick      = 20 * time.Millisecond
	heartbeat = 250 * time.Millisecond
	silent    = 750 * time.Millisecond
)

// cluster simulates a set of routers. Its real time is not visible to them; each has its own clock.
type cluster struct {
	rng      *rand.Rand
	now      time.Duration
	conf     lend.Config
	routers  []*testRouter
	links    []*link                          // by a unique endpoint ID given to each grant
	grants   map[cell.EndpointID]*grantRecord // longest delay of a frame
	delay    time.Duration                    // delay is the longest delay of a frame.
	violated string                           // first violation found; empty if none
}

// grantRecord holds what a dispatcher knew when it made a grant.
type grantRecord struct {
	dispatcher *testRouter
	madeAt     time.Duration
	stakes     []cell.HostID // hosts whose stakes the dispatcher counted
}

// testRouter is a simulated router: an entry with a Lender, and a dispatcher.
type testRouter struct {
	cluster       *cluster
	host          cell.HostID
	router        cell.RouterID // ID of the current incarnation
	incarnation   int
	clockOffset   time.Duration // difference between this router's clock and real time at the start
	clockRate     float64       // speed of this router's clock relative to real time
	frozenUntil   time.Duration
	lender        *lend.Lender
	events        []lend.Event
	stepping      bool
	lastAttempt   cell.AttemptID
	waiting       map[cell.AttemptID]bool
	running       map[cell.AttemptID]bool
	pendingSends  []pendingSend                 // in the order in which the grants arrived
	sessions      map[cell.HostID]*session      // dispatcher's sessions, by the entry's host
	releasedAt    map[cell.HostID]time.Duration // real time at which a stake was last released here
	countedBefore map[cell.HostID]time.Duration // real time until which a stake was counted here before its last release
}

// pendingSend is a granted attempt that is sent at dueAt.
type pendingSend struct {
	dueAt time.Duration
	grant *lend.Granted
}

// session is a dispatcher's view of one entry.
type session struct {
	router       cell.RouterID
	number       cell.Session
	link         *link // nil if the link is down, or for the dispatcher's own entry
	stake        bool
	until        time.Time     // on the dispatcher's clock
	countedSince time.Duration // real time at which the stake was first counted
	unlentSince  time.Duration // real time since which, according to the Join, no other dispatcher has counted the stake
	demands      map[cell.AttemptID]bool
	flights      map[cell.AttemptID]bool
}

// link is a connection between two routers; side 0 is the one that dialed.
type link struct {
	ends       [2]*testRouter
	routers    [2]cell.RouterID // incarnations that made the link; they may have been restarted since
	open       [2]bool
	cut        bool
	lastStamp  [2]time.Time // newest stamp of the other side that this side has processed
	receivedAt [2]time.Duration
	sentAt     [2]time.Duration
	inbox      [2][]frame
}

type frame struct {
	due         time.Duration
	stamp, echo time.Time
	closes      bool
	body        any
}

func newCluster(seed uint64, conf lend.Config, hosts ...cell.HostID) *cluster {
	w := &cluster{rng: rand.New(rand.NewPCG(seed, 1)), conf: conf, grants: make(map[cell.EndpointID]*grantRecord)}
	w.delay = time.Duration(w.rng.IntN(int(time.Second)))
	for _, host := range hosts {
		p := &testRouter{cluster: w, host: host, releasedAt: make(map[cell.HostID]time.Duration), countedBefore: make(map[cell.HostID]time.Duration), clockOffset: w.randomUpTo(time.Hour), clockRate: 0.99 + 0.02*w.rng.Float64()}
		w.routers = append(w.routers, p)
		p.restart()
	}
	return w
}

func (w *cluster) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d) + 1))
}

func (w *cluster) fail(format string, args ...any) {
	if w.violated == "" {
		w.violated = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (p *testRouter) clock() time.Time {
	return time.Unix(1000, 0).Add(p.clockOffset + time.Duration(float64(p.cluster.now)*p.clockRate))
}

// restart replaces the router's process by a new incarnation without state.
func (p *testRouter) restart() {
	p.incarnation++
	p.router = cell.RouterID(fmt.Sprintf("%s/%d", p.host, p.incarnation))
	conf := p.cluster.conf
	conf.Self, conf.Cell, conf.Started = p.router, "chat", p.clock()
	p.lender = lend.New(conf)
	p.pendingSends, p.events, p.frozenUntil = nil, nil, 0
	p.waiting, p.running = make(map[cell.AttemptID]bool), make(map[cell.AttemptID]bool)
	p.sessions = make(map[cell.HostID]*session)
	for _, l := range p.cluster.links {
		for side := range l.ends {
			if l.ends[side] == p && l.open[side] {
				l.open[side] = false
				l.send(side, frame{closes: true})
			}
		}
	}
	p.reorder()
}

func (p *testRouter) reorder() {
	hosts := make([]cell.HostID, 0, len(p.cluster.routers))
	for _, other := range p.cluster.routers {
		hosts = append(hosts, other.host)
	}
	p.cluster.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	p.step(&lend.Order{Hosts: hosts})
}

// advance lets real time pass in steps of at most tick, and runs each router that is not frozen.
func (w *cluster) advance(d time.Duration) {
	for end := w.now + d; w.now < end && w.violated == ""; {
		w.now += w.randomUpTo(tick)
		for _, p := range w.routers {
			if w.now >= p.frozenUntil {
				p.process()
			}
		}
	}
}

func (p *testRouter) process() {
	for _, l := range slices.Clone(p.cluster.links) {
		for side := range l.ends {
			if l.ends[side] == p {
				p.receive(l, side)
			}
		}
	}
	p.renewOwnLease()
	p.sendDue()
	p.step(&lend.Tick{})
}

func (p *testRouter) receive(l *link, side int) {
	w := p.cluster
	for l.open[side] && len(l.inbox[side]) > 0 && l.inbox[side][0].due <= w.now {
		f := l.inbox[side][0]
		l.inbox[side] = l.inbox[side][1:]
		l.receivedAt[side] = w.now
		if f.closes {
			p.handleClosed(l, side)
			return
		}
		l.lastStamp[side] = f.stamp
		if side == 0 {
			p.handleDispatcherFrame(l, f)
		} else {
			p.handleEntryFrame(l, f)
		}
	}
	if !l.open[side] {
		return
	}
	if w.now-l.receivedAt[side] > silent {
		p.handleClosed(l, side)
		l.send(side, frame{closes: true})
		return
	}
	if w.now-l.sentAt[side] >= heartbeat {
		l.send(side, frame{})
	}
}

func (p *testRouter) handleClosed(l *link, side int) {
	l.open[side] = false
	other := l.ends[1-side]
	if side == 0 {
		p.step(&lend.LinkDown{Router: l.router(1)})
		return
	}
	if s := p.sessions[other.host]; s != nil && s.link == l {
		s.link = nil
	}
}

func (l *link) router(side int) cell.RouterID { return l.routers[side] }

// send queues a frame for the other side, in order and with a random delay.
func (l *link) send(side int, f frame) {
	w := l.ends[side].cluster
	l.sentAt[side] = w.now
	if l.cut || (!l.open[side] && !f.closes) {
		return
	}
	f.due = w.now + w.randomUpTo(w.delay)
	f.stamp = l.ends[side].clock()
	f.echo = l.lastStamp[side]
	if queue := l.inbox[1-side]; len(queue) > 0 {
		f.due = max(f.due, queue[len(queue)-1].due)
	}
	l.inbox[1-side] = append(l.inbox[1-side], f)
}

// dial makes a new link between two routers, replacing one that is cut or closed. It does nothing if a working link exists.
func (w *cluster) dial(from, to *testRouter) {
	for _, l := range w.links {
		if l.ends == [2]*testRouter{from, to} && l.open[0] && !l.cut {
			return
		}
	}
	for i := len(w.links) - 1; i >= 0; i-- {
		l := w.links[i]
		if l.ends != [2]*testRouter{from, to} {
			continue
		}
		for side := range l.ends {
			if l.open[side] {
				l.ends[side].handleClosed(l, side)
			}
		}
		w.links = slices.Delete(w.links, i, i+1)
	}
	l := &link{ends: [2]*testRouter{from, to}, routers: [2]cell.RouterID{from.router, to.router}, open: [2]bool{true, true}}
	l.lastStamp = [2]time.Time{to.clock(), from.clock()}
	l.receivedAt, l.sentAt = [2]time.Duration{w.now, w.now}, [2]time.Duration{w.now, w.now}
	w.links = append(w.links, l)
	from.step(&lend.LinkUp{Router: to.router})
}

func (p *testRouter) linkTo(router cell.RouterID) *link {
	for _, l := range p.cluster.links {
		if l.ends[0] == p && l.open[0] && l.router(1) == router {
			return l
		}
	}
	return nil
}
