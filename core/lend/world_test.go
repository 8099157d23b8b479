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

// world is a set of routers in real time, which none of them sees.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	conf    lend.Config
	parties []*party
	links   []*link
	grants  map[cell.EndpointID]*granted // grants are told apart by an endpoint of their own.
	delay   time.Duration                // delay is the longest delay of a frame.
	broken  string                       // broken says which promise was broken first.
}

// granted is what a dispatcher knew when it made a grant.
type granted struct {
	by     *party
	made   time.Duration
	stakes []cell.HostID
}

// party is a router: an entry with a Lender, and a dispatcher.
type party struct {
	world    *world
	host     cell.HostID
	router   cell.RouterID
	life     int
	offset   time.Duration
	rate     float64
	frozen   time.Duration
	lender   *lend.Lender
	events   []lend.Event
	busy     bool
	attempts cell.AttemptID
	waiting  map[cell.AttemptID]bool
	running  map[cell.AttemptID]bool
	uses     []use
	sessions map[cell.HostID]*session
	gaveUp   map[cell.HostID]time.Duration // gaveUp is when a stake was last released here, in real time.
	counted  map[cell.HostID]time.Duration // counted is when a stake was last counted here before a release.
}

// use is a grant on its way to be used.
type use struct {
	at    time.Duration
	grant *lend.Granted
}

// session is a dispatcher's view of an entry.
type session struct {
	router  cell.RouterID
	number  cell.Session
	link    *link // link is nil if it is down, or for the dispatcher's own entry.
	stake   bool
	until   time.Time
	began   time.Duration // began is when the stake was first counted, in real time.
	unlent  time.Duration // unlent is the real time since which no other dispatcher has counted it, by the entry's word.
	demands map[cell.AttemptID]bool
	flights map[cell.AttemptID]bool
}

// link is what a party has dialed; side 0 is the dialer's.
type link struct {
	ends [2]*party
	life [2]cell.RouterID // life is the routers that made the link; they may be gone.
	open [2]bool
	cut  bool
	seen [2]time.Time // seen is the newest stamp of the other side that this side has processed.
	got  [2]time.Duration
	sent [2]time.Duration
	in   [2][]frame
}

type frame struct {
	due         time.Duration
	stamp, echo time.Time
	fin         bool
	body        any
}

func newWorld(seed uint64, conf lend.Config, hosts ...cell.HostID) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), conf: conf, grants: make(map[cell.EndpointID]*granted)}
	w.delay = time.Duration(w.rng.IntN(int(time.Second)))
	for _, host := range hosts {
		p := &party{world: w, host: host, gaveUp: make(map[cell.HostID]time.Duration), counted: make(map[cell.HostID]time.Duration), offset: w.upTo(time.Hour), rate: 0.99 + 0.02*w.rng.Float64()}
		w.parties = append(w.parties, p)
		p.restart()
	}
	return w
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d) + 1)) }

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf("at %v: ", w.now) + fmt.Sprintf(format, args...)
	}
}

func (p *party) clock() time.Time {
	return time.Unix(1000, 0).Add(p.offset + time.Duration(float64(p.world.now)*p.rate))
}

// restart replaces the party's process by a new one that knows nothing.
func (p *party) restart() {
	p.life++
	p.router = cell.RouterID(fmt.Sprintf("%s/%d", p.host, p.life))
	conf := p.world.conf
	conf.Self, conf.Cell, conf.Started = p.router, "chat", p.clock()
	p.lender = lend.New(conf)
	p.uses, p.events, p.frozen = nil, nil, 0
	p.waiting, p.running = make(map[cell.AttemptID]bool), make(map[cell.AttemptID]bool)
	p.sessions = make(map[cell.HostID]*session)
	for _, l := range p.world.links {
		for side := range l.ends {
			if l.ends[side] == p && l.open[side] {
				l.open[side] = false
				l.send(side, frame{fin: true})
			}
		}
	}
	p.reorder()
}

func (p *party) reorder() {
	hosts := make([]cell.HostID, 0, len(p.world.parties))
	for _, other := range p.world.parties {
		hosts = append(hosts, other.host)
	}
	p.world.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	p.step(&lend.Order{Hosts: hosts})
}

// advance lets real time pass tick by tick, and lets each party that is not frozen work.
func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end && w.broken == ""; {
		w.now += w.upTo(tick)
		for _, p := range w.parties {
			if w.now >= p.frozen {
				p.work()
			}
		}
	}
}

func (p *party) work() {
	for _, l := range slices.Clone(p.world.links) {
		for side := range l.ends {
			if l.ends[side] == p {
				p.receive(l, side)
			}
		}
	}
	p.renewSelf()
	p.use()
	p.step(&lend.Tick{})
}

func (p *party) receive(l *link, side int) {
	w := p.world
	for l.open[side] && len(l.in[side]) > 0 && l.in[side][0].due <= w.now {
		f := l.in[side][0]
		l.in[side] = l.in[side][1:]
		l.got[side] = w.now
		if f.fin {
			p.closed(l, side)
			return
		}
		l.seen[side] = f.stamp
		if side == 0 {
			p.fromDispatcher(l, f)
		} else {
			p.fromEntry(l, f)
		}
	}
	if !l.open[side] {
		return
	}
	if w.now-l.got[side] > silent {
		p.closed(l, side)
		l.send(side, frame{fin: true})
		return
	}
	if w.now-l.sent[side] >= heartbeat {
		l.send(side, frame{})
	}
}

func (p *party) closed(l *link, side int) {
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

func (l *link) router(side int) cell.RouterID { return l.life[side] }

// send queues a frame for the other side, in order, after a delay.
func (l *link) send(side int, f frame) {
	w := l.ends[side].world
	l.sent[side] = w.now
	if l.cut || (!l.open[side] && !f.fin) {
		return
	}
	f.due = w.now + w.upTo(w.delay)
	f.stamp = l.ends[side].clock()
	f.echo = l.seen[side]
	if queue := l.in[1-side]; len(queue) > 0 {
		f.due = max(f.due, queue[len(queue)-1].due)
	}
	l.in[1-side] = append(l.in[1-side], f)
}

// dial makes a link from each party to each other that has none.
func (w *world) dial(from, to *party) {
	for _, l := range w.links {
		if l.ends == [2]*party{from, to} && l.open[0] && !l.cut {
			return
		}
	}
	for i := len(w.links) - 1; i >= 0; i-- {
		l := w.links[i]
		if l.ends != [2]*party{from, to} {
			continue
		}
		for side := range l.ends {
			if l.open[side] {
				l.ends[side].closed(l, side)
			}
		}
		w.links = slices.Delete(w.links, i, i+1)
	}
	l := &link{ends: [2]*party{from, to}, life: [2]cell.RouterID{from.router, to.router}, open: [2]bool{true, true}}
	l.seen = [2]time.Time{to.clock(), from.clock()}
	l.got, l.sent = [2]time.Duration{w.now, w.now}, [2]time.Duration{w.now, w.now}
	w.links = append(w.links, l)
	from.step(&lend.LinkUp{Router: to.router})
}

func (p *party) linkTo(router cell.RouterID) *link {
	for _, l := range p.world.links {
		if l.ends[0] == p && l.open[0] && l.router(1) == router {
			return l
		}
	}
	return nil
}
