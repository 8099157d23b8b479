package lend

import (
	"cmp"
	"time"

	"ryelug/core/cell"
)

// Defaults of Config.
const (
	DefaultStakeLease     = 800 * time.Millisecond
	DefaultGrantValid     = 400 * time.Millisecond
	DefaultAcceptTimeout  = time.Second
	DefaultReleaseTimeout = 500 * time.Millisecond
)

const (
	driftMargin = 40               // a wait is longer by this part of it, for clocks that differ in rate by 1% each
	counterKeep = 10 * time.Second // age at which a counter is no longer brought along
	maxCounters = 1 << 14          // counters kept
)

// Config sets a Lender; zero durations get their defaults.
type Config struct {
	Self           cell.RouterID
	Cell           cell.ID
	StakeLease     time.Duration // StakeLease is how long a dispatcher counts a stake after the stamp that it saw echoed.
	GrantValid     time.Duration // GrantValid is how long a grant holds after the stamp that its dispatcher had seen.
	AcceptTimeout  time.Duration // AcceptTimeout is the wait for Accepted after which a dispatcher is passed over.
	ReleaseTimeout time.Duration // ReleaseTimeout is the wait for Released after which the link is closed.
	Started        time.Time     // Started is when this process started; its stake is lent only after a quarantine.
	Early          bool          // Early joins a dispatcher without the stake while the former holder may still count that.
	Local          bool          // Local makes the lender lend to itself always, a baseline without coordination.
}

// Lender is the state of one cell at one entry.
type Lender struct {
	conf    Config
	actions []Action
	leaving bool

	order   []cell.HostID
	links   map[cell.HostID]cell.RouterID
	gone    map[cell.RouterID]bool      // gone holds linked routers that shut down.
	avoided map[cell.RouterID]time.Time // avoided holds routers passed over, and until when.

	present present
	holder  holder
	unlent  time.Time    // unlent is the time since which no dispatcher counts the stake, while it has no holder.
	granted time.Time    // granted is when a grant was accepted last.
	last    cell.Session // last is the highest session number used.

	pending  pending
	flights  map[cell.AttemptID]*cell.Flight
	former   map[cell.RouterID]*former
	counters map[cell.TeamID]counter
	placed   map[uint64]placed // placed holds where shared parts of prompts were sent last.
}

// present is the session in force; a zero one is none.
type present struct {
	router   cell.RouterID
	session  cell.Session
	stake    bool
	accepted bool
	since    time.Time
	echoed   time.Time // echoed is when the newest frame was sent that the dispatcher had processed once it had accepted.
}

// holder is the dispatcher that may count this entry's stake; a zero one is none.
type holder struct {
	router  cell.RouterID
	session cell.Session
	heard   time.Time // heard is the last time at which a frame of it was processed.
	asked   time.Time // asked is when Release was sent on the present link; zero if it was not.
}

// New returns a Lender without a session.
func New(conf Config) *Lender {
	conf.StakeLease = cmp.Or(conf.StakeLease, DefaultStakeLease)
	conf.GrantValid = cmp.Or(conf.GrantValid, DefaultGrantValid)
	conf.AcceptTimeout = cmp.Or(conf.AcceptTimeout, DefaultAcceptTimeout)
	conf.ReleaseTimeout = cmp.Or(conf.ReleaseTimeout, DefaultReleaseTimeout)
	return &Lender{
		conf:     conf,
		unlent:   conf.Started.Add(withDrift(conf.StakeLease)),
		links:    make(map[cell.HostID]cell.RouterID),
		gone:     make(map[cell.RouterID]bool),
		avoided:  make(map[cell.RouterID]time.Time),
		pending:  newPending(),
		flights:  make(map[cell.AttemptID]*cell.Flight),
		former:   make(map[cell.RouterID]*former),
		counters: make(map[cell.TeamID]counter),
		placed:   make(map[uint64]placed),
	}
}

// Step takes one event and returns what follows from it; the result is valid until the next Step.
func (l *Lender) Step(now time.Time, ev Event) []Action {
	clear(l.actions)
	l.actions = l.actions[:0]
	switch e := ev.(type) {
	case *Order:
		l.order = append(l.order[:0], e.Hosts...)
	case *LinkUp:
		l.linkUp(e.Router)
	case *LinkDown:
		l.linkDown(e.Router)
	case *Heard:
		l.hear(now, e.Router)
		l.echo(now, e)
	case *PeerLeaving:
		l.hear(now, e.Router)
		l.gone[e.Router] = true
	case *Accepted:
		l.hear(now, e.Router)
		l.accept(e)
	case *Released:
		l.hear(now, e.Router)
		l.released(now, e)
	case *Leave:
		l.leaving = true
	default:
		l.stepWork(now, ev)
	}
	l.settle(now)
	return l.actions
}

func (l *Lender) stepWork(now time.Time, ev Event) {
	switch e := ev.(type) {
	case *Grants:
		l.hear(now, e.Router)
		l.grants(now, e)
	case *Refusals:
		l.hear(now, e.Router)
		l.refusals(e)
	case *Counters:
		l.hear(now, e.Router)
		l.merge(now, e.Counters)
	case *Want:
		l.want(e.Demand)
	case *Withdraw:
		l.withdraw(e.Attempt)
	case *Progress:
		l.progress(e.Progress)
	case *End:
		l.end(e.End)
	}
}

func (l *Lender) linkUp(router cell.RouterID) {
	if old, ok := l.links[router.Host()]; ok && old != router {
		l.linkDown(old)
	}
	l.links[router.Host()] = router
	delete(l.gone, router)
}

func (l *Lender) linkDown(router cell.RouterID) {
	if l.links[router.Host()] != router {
		return
	}
	delete(l.links, router.Host())
	delete(l.gone, router)
	if l.present.router == router {
		l.closeSession()
	}
	if f := l.former[router]; f != nil {
		f.unlinked = true
	}
	if l.holder.router == router {
		l.holder.asked = time.Time{}
	}
}

// Dispatchers adds the routers that this entry has a session with, that may still count its stake, or that dispatched for it before.
func (l *Lender) Dispatchers(dst map[cell.RouterID]bool) {
	if l.inSession() {
		dst[l.present.router] = true
	}
	if l.holder.router != "" {
		dst[l.holder.router] = true
	}
	for router := range l.former {
		dst[router] = true
	}
}

func (l *Lender) isLinked(router cell.RouterID) bool {
	return router == l.conf.Self || l.links[router.Host()] == router
}

func (l *Lender) hear(now time.Time, router cell.RouterID) {
	if router == l.holder.router {
		l.holder.heard = now
	}
}

// echo notes that the dispatcher counts what it counted. A process that has not heard
// itself for so long was paused, and others may have counted without it meanwhile.
func (l *Lender) echo(now time.Time, e *Heard) {
	p := &l.present
	wasPaused := p.router == l.conf.Self && e.Router == l.conf.Self && !p.echoed.IsZero() && now.Sub(p.echoed) >= l.conf.GrantValid
	if wasPaused {
		l.closeSession()
		return
	}
	if p.accepted && p.router == e.Router && e.Echoed.After(p.echoed) {
		p.echoed = e.Echoed
	}
}

// Counted returns the session in force and when its dispatcher last counted this
// entry's flights for certain, on this entry's clock; zero values if there is none.
func (l *Lender) Counted() (cell.Session, time.Time) {
	if !l.present.accepted {
		return 0, time.Time{}
	}
	return l.present.session, l.present.echoed
}

// Present returns the dispatcher of the session in force and that session; zero values if there is none.
func (l *Lender) Present() (cell.RouterID, cell.Session) {
	if !l.present.accepted {
		return "", 0
	}
	return l.present.router, l.present.session
}

func (l *Lender) accept(e *Accepted) {
	if l.isPresent(e.Router, e.Session) {
		l.present.accepted = true
	}
}

func (l *Lender) released(now time.Time, e *Released) {
	if l.holder.router == e.Router && l.holder.session == e.Session && l.present.session != e.Session {
		l.holder, l.unlent = holder{}, now
	}
}

func (l *Lender) isPresent(router cell.RouterID, session cell.Session) bool {
	return l.inSession() && l.present.router == router && l.present.session == session
}

func (l *Lender) inSession() bool { return l.present.session != 0 }

// settle moves towards a session with the dispatcher that this entry should have.
func (l *Lender) settle(now time.Time) {
	l.passOver(now)
	target := l.target(now)
	if l.inSession() && l.present.router != target {
		l.leaveSession(now)
	}
	unlent := !l.inSession() && (l.conf.Early || l.isFree(now, target))
	late := l.inSession() && !l.present.stake && l.mayLend(now) && l.isFree(now, target)
	if unlent || late {
		l.join(now, target)
	}
	l.restate(now, target)
	if !l.inSession() || !l.present.stake {
		l.recall(now, target)
	}
}

// passOver avoids a dispatcher that does not answer Join.
func (l *Lender) passOver(now time.Time) {
	p := &l.present
	if !l.inSession() || p.accepted || p.router == l.conf.Self {
		return
	}
	if now.Sub(p.since) > l.conf.AcceptTimeout {
		l.avoided[p.router] = now.Add(2 * l.conf.AcceptTimeout)
	}
}

// target is the first linked host of the order; this router if there is none.
func (l *Lender) target(now time.Time) cell.RouterID {
	if l.conf.Local {
		return l.conf.Self
	}
	for _, host := range l.order {
		if host == l.conf.Self.Host() {
			if l.leaving {
				continue
			}
			return l.conf.Self
		}
		if router, ok := l.links[host]; ok && l.isUsable(now, router) {
			return router
		}
	}
	return l.conf.Self
}

func (l *Lender) isUsable(now time.Time, router cell.RouterID) bool {
	until, avoided := l.avoided[router]
	if avoided && now.After(until) {
		delete(l.avoided, router)
		avoided = false
	}
	return !avoided && !l.gone[router]
}

// leaveSession ends the session by this entry's choice, while the link is up.
func (l *Lender) leaveSession(now time.Time) {
	p := l.present
	l.closeSession()
	l.act(&Release{Router: p.router, Session: p.session})
	if l.holder.router == p.router {
		l.holder.asked = now
		l.hearSelf(now)
	}
}

// closeSession forgets the session; its dispatcher goes on counting its flights.
func (l *Lender) closeSession() {
	l.former[l.present.router] = l.newFormer()
	l.present = present{}
}

// recall asks the holder to release the stake if another is to have it.
func (l *Lender) recall(now time.Time, target cell.RouterID) {
	h := &l.holder
	if h.router == "" || h.router == target || !l.isLinked(h.router) {
		return
	}
	if h.asked.IsZero() {
		h.asked = now
		l.hearSelf(now)
		l.act(&Release{Router: h.router, Session: h.session})
		return
	}
	if h.router != l.conf.Self && now.Sub(h.asked) > l.conf.ReleaseTimeout {
		h.asked = now
		l.act(&Disconnect{Router: h.router})
	}
}

// hearSelf counts the wait from now if the holder is this router, which sends itself no frames.
func (l *Lender) hearSelf(now time.Time) {
	if l.holder.router == l.conf.Self {
		l.holder.heard = now
	}
}

// isFree tells whether the stake may be lent to the target.
func (l *Lender) isFree(now time.Time, target cell.RouterID) bool {
	if l.holder.router == "" || l.holder.router == target {
		return true
	}
	return now.Sub(l.holder.heard) > l.wait()
}

// mayLend tells whether the quarantine of a new process is over.
func (l *Lender) mayLend(now time.Time) bool {
	return now.Sub(l.conf.Started) > l.wait()
}

// wait is the longest time for which a stake may be counted and grants made on it be sent.
func (l *Lender) wait() time.Duration {
	return withDrift(l.conf.StakeLease + l.conf.GrantValid)
}

// withDrift returns a duration after which another host's clock has gone on by d at least.
func withDrift(d time.Duration) time.Duration { return d + d/driftMargin }

// unlentFor returns for how long no dispatcher has counted the stake or granted
// to this entry; zero if the next holder is the present one.
func (l *Lender) unlentFor(now time.Time, router cell.RouterID) time.Duration {
	since := l.unlent
	switch l.holder.router {
	case router:
		return 0
	case "":
	default:
		since = l.holder.heard.Add(withDrift(l.conf.StakeLease))
	}
	if l.granted.After(since) {
		since = l.granted
	}
	unlent := min(now.Sub(since), l.wait())
	return max(0, unlent-unlent/driftMargin)
}

func (l *Lender) join(now time.Time, router cell.RouterID) {
	l.last++
	stake := l.mayLend(now) && l.isFree(now, router)
	l.present = present{router: router, session: l.last, stake: stake, since: now}
	var unlent time.Duration
	if stake {
		unlent = l.unlentFor(now, router)
		l.holder = holder{router: router, session: l.last, heard: now}
	}
	delete(l.former, router)
	l.act(&Join{
		Router:   router,
		Session:  l.last,
		Stake:    stake,
		Unlent:   unlent,
		Flights:  l.flightList(nil),
		Counters: l.counterList(now),
		Kept:     l.keptList(now),
	})
	if demands := l.pending.list(); len(demands) > 0 {
		l.act(&SendWant{Router: router, Session: l.last, Demands: demands})
	}
}

func (l *Lender) act(a Action) { l.actions = append(l.actions, a) }
