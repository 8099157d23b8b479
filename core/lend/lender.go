package lend

import (
	"cmp"
	"time"

	"ryelug/core/cell"
)

// Defaults for zero durations in Config.
const (
	DefaultStakeLease     = 800 * time.Millisecond
	DefaultGrantValid     = 400 * time.Millisecond
	DefaultAcceptTimeout  = time.Second
	DefaultReleaseTimeout = 500 * time.Millisecond
)

const (
	clockDriftDivisor = 40               // clocks may differ in rate by 1% each, so waits are extended by 1/40
	counterRetention  = 10 * time.Second // a counter that no dispatcher has updated for this long is dropped
	maxCounters       = 1 << 14          // number of counters from which on old ones are pruned
)

// Config configures a Lender. Zero durations are replaced by the defaults.
type Config struct {
	Self             cell.RouterID // This router.
	Cell             cell.ID       // The cell whose requests this Lender handles.
	StakeLease       time.Duration // How long a dispatcher counts this router's stake (its vote), from the time at which the dispatcher sent the newest frame that this router has acknowledged.
	GrantValid       time.Duration // How long a grant is valid, from the send time of the last frame of the entry that its dispatcher had processed.
	AcceptTimeout    time.Duration // How long to wait for Accepted before another dispatcher is chosen.
	ReleaseTimeout   time.Duration // How long to wait for Released before the link is closed.
	Started          time.Time     // Start time of this process. The stake is first lent when StakeLease plus GrantValid has passed, since a dispatcher may still count it for the former process on this host.
	JoinWithoutStake bool          // Whether to join the next dispatcher without the stake while the former one may still count the stake.
	SelfDispatch     bool          // Whether this router is always its own dispatcher; used as a baseline without coordination.
}

// Lender holds the state of one cell at one entry. It is not safe for concurrent use.
type Lender struct {
	conf    Config
	actions []Action
	leaving bool

	order        []cell.HostID                 // hosts that may dispatch the cell, by preference
	links        map[cell.HostID]cell.RouterID // routers with an established link
	shuttingDown map[cell.RouterID]bool        // linked routers that are shutting down
	avoided      map[cell.RouterID]time.Time   // routers that did not accept a Join in time, and when they may be chosen again

	currentSession currentSession
	stakeHolder    stakeHolder
	unlent         time.Time    // time since which no dispatcher counts the stake; meaningful while stakeHolder is empty
	lastGrantAt    time.Time    // when the last grant was accepted
	lastSession    cell.Session // highest session number used so far

	pending          pending                             // attempts that wait for a grant
	flights          map[cell.AttemptID]*cell.Flight     // granted attempts that have not ended
	formerDispatcher map[cell.RouterID]*formerDispatcher // earlier dispatchers that may still count attempts of this entry
	counters         map[cell.TeamID]counter
	sentPart         map[uint64]sentPart // endpoint that each shared part of a prompt was last sent to, by part ID
}

// currentSession is the session with the current dispatcher; the zero value means that there is none.
type currentSession struct {
	router   cell.RouterID
	session  cell.Session
	stake    bool // whether the session includes the stake
	accepted bool // whether the dispatcher has accepted the Join
	joinedAt time.Time
	lastEcho time.Time // send time of the newest frame that the dispatcher has processed since it accepted
}

// stakeHolder is the dispatcher that may count this entry's stake; the zero value means that there is none.
type stakeHolder struct {
	router        cell.RouterID
	session       cell.Session
	lastFrameAt   time.Time // when the last frame from it was processed
	releaseSentAt time.Time // when Release was sent on the current link; zero if not sent
}

// New returns a Lender without a session.
func New(conf Config) *Lender {
	conf.StakeLease = cmp.Or(conf.StakeLease, DefaultStakeLease)
	conf.GrantValid = cmp.Or(conf.GrantValid, DefaultGrantValid)
	conf.AcceptTimeout = cmp.Or(conf.AcceptTimeout, DefaultAcceptTimeout)
	conf.ReleaseTimeout = cmp.Or(conf.ReleaseTimeout, DefaultReleaseTimeout)
	return &Lender{
		conf:             conf,
		unlent:           conf.Started.Add(withDriftMargin(conf.StakeLease)),
		links:            make(map[cell.HostID]cell.RouterID),
		shuttingDown:     make(map[cell.RouterID]bool),
		avoided:          make(map[cell.RouterID]time.Time),
		pending:          newPending(),
		flights:          make(map[cell.AttemptID]*cell.Flight),
		formerDispatcher: make(map[cell.RouterID]*formerDispatcher),
		counters:         make(map[cell.TeamID]counter),
		sentPart:         make(map[uint64]sentPart),
	}
}

// Step processes one event and returns the resulting actions; the slice is valid until the next Step.
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
	case *FrameReceived:
		l.recordFrame(now, e.Router)
		l.recordEcho(now, e)
	case *PeerLeaving:
		l.recordFrame(now, e.Router)
		l.shuttingDown[e.Router] = true
	case *Accepted:
		l.recordFrame(now, e.Router)
		l.handleAccepted(e)
	case *Released:
		l.recordFrame(now, e.Router)
		l.handleReleased(now, e)
	case *Leave:
		l.leaving = true
	default:
		l.stepRequest(now, ev)
	}
	l.updateSession(now)
	return l.actions
}

func (l *Lender) stepRequest(now time.Time, ev Event) {
	switch e := ev.(type) {
	case *Grants:
		l.recordFrame(now, e.Router)
		l.handleGrants(now, e)
	case *Refusals:
		l.recordFrame(now, e.Router)
		l.handleRefusals(e)
	case *Counters:
		l.recordFrame(now, e.Router)
		l.mergeCounters(now, e.Counters)
	case *Want:
		l.addDemand(e.Demand)
	case *Withdraw:
		l.withdraw(e.Attempt)
	case *Progress:
		l.recordProgress(e.Progress)
	case *End:
		l.end(e.End)
	}
}

func (l *Lender) linkUp(router cell.RouterID) {
	if old, ok := l.links[router.Host()]; ok && old != router {
		l.linkDown(old)
	}
	l.links[router.Host()] = router
	delete(l.shuttingDown, router)
}

func (l *Lender) linkDown(router cell.RouterID) {
	if l.links[router.Host()] != router {
		return
	}
	delete(l.links, router.Host())
	delete(l.shuttingDown, router)
	if l.currentSession.router == router {
		l.closeSession()
	}
	if f := l.formerDispatcher[router]; f != nil {
		f.linkLost = true
	}
	if l.stakeHolder.router == router {
		l.stakeHolder.releaseSentAt = time.Time{}
	}
}

// Dispatchers adds to dst the current dispatcher, the router that may still count this entry's stake, and former dispatchers that may still count its attempts.
func (l *Lender) Dispatchers(dst map[cell.RouterID]bool) {
	if l.hasSession() {
		dst[l.currentSession.router] = true
	}
	if l.stakeHolder.router != "" {
		dst[l.stakeHolder.router] = true
	}
	for router := range l.formerDispatcher {
		dst[router] = true
	}
}

func (l *Lender) isLinked(router cell.RouterID) bool {
	return router == l.conf.Self || l.links[router.Host()] == router
}

// recordFrame records that a frame from the router was processed, if that router holds the stake.
func (l *Lender) recordFrame(now time.Time, router cell.RouterID) {
	if router == l.stakeHolder.router {
		l.stakeHolder.lastFrameAt = now
	}
}

// recordEcho records up to which frame the dispatcher has processed this entry's state. If this router is
// its own dispatcher and has not processed an echo for GrantValid, the process was paused: other dispatchers may have
// counted the stake meanwhile, so the session is closed.
func (l *Lender) recordEcho(now time.Time, e *FrameReceived) {
	p := &l.currentSession
	wasPaused := p.router == l.conf.Self && e.Router == l.conf.Self && !p.lastEcho.IsZero() && now.Sub(p.lastEcho) >= l.conf.GrantValid
	if wasPaused {
		l.closeSession()
		return
	}
	if p.accepted && p.router == e.Router && e.Echoed.After(p.lastEcho) {
		p.lastEcho = e.Echoed
	}
}

// LastEcho returns the accepted session and the send time, on this entry's clock, of the newest frame that its
// dispatcher has processed. Both are zero if no session is accepted.
func (l *Lender) LastEcho() (cell.Session, time.Time) {
	if !l.currentSession.accepted {
		return 0, time.Time{}
	}
	return l.currentSession.session, l.currentSession.lastEcho
}

// Current returns the current dispatcher and its session, or zero values if no session is accepted.
func (l *Lender) Current() (cell.RouterID, cell.Session) {
	if !l.currentSession.accepted {
		return "", 0
	}
	return l.currentSession.router, l.currentSession.session
}

func (l *Lender) handleAccepted(e *Accepted) {
	if l.isCurrent(e.Router, e.Session) {
		l.currentSession.accepted = true
	}
}

func (l *Lender) handleReleased(now time.Time, e *Released) {
	if l.stakeHolder.router == e.Router && l.stakeHolder.session == e.Session && l.currentSession.session != e.Session {
		l.stakeHolder, l.unlent = stakeHolder{}, now
	}
}

func (l *Lender) isCurrent(router cell.RouterID, session cell.Session) bool {
	return l.hasSession() && l.currentSession.router == router && l.currentSession.session == session
}

func (l *Lender) hasSession() bool { return l.currentSession.session != 0 }

// updateSession ends the session if its dispatcher is no longer the preferred one, joins the preferred dispatcher
// as soon as that is allowed, and asks for the stake back from any other holder.
func (l *Lender) updateSession(now time.Time) {
	l.avoidUnresponsive(now)
	target := l.target(now)
	if l.hasSession() && l.currentSession.router != target {
		l.releaseSession(now)
	}
	joinNow := !l.hasSession() && (l.conf.JoinWithoutStake || l.isStakeFree(now, target))
	addStake := l.hasSession() && !l.currentSession.stake && l.isQuarantineOver(now) && l.isStakeFree(now, target)
	if joinNow || addStake {
		l.join(now, target)
	}
	l.resendFlights(now, target)
	if !l.hasSession() || !l.currentSession.stake {
		l.reclaimStake(now, target)
	}
}

// avoidUnresponsive stops choosing the current dispatcher for twice AcceptTimeout if it has not answered Join within AcceptTimeout.
func (l *Lender) avoidUnresponsive(now time.Time) {
	p := &l.currentSession
	if !l.hasSession() || p.accepted || p.router == l.conf.Self {
		return
	}
	if now.Sub(p.joinedAt) > l.conf.AcceptTimeout {
		l.avoided[p.router] = now.Add(2 * l.conf.AcceptTimeout)
	}
}

// target returns the first usable router in the preference order, or this router if there is none.
func (l *Lender) target(now time.Time) cell.RouterID {
	if l.conf.SelfDispatch {
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

// isUsable reports whether a linked router may be chosen: it is neither avoided nor shutting down.
func (l *Lender) isUsable(now time.Time, router cell.RouterID) bool {
	until, avoided := l.avoided[router]
	if avoided && now.After(until) {
		delete(l.avoided, router)
		avoided = false
	}
	return !avoided && !l.shuttingDown[router]
}

// releaseSession ends the session while its link is up and tells the dispatcher so.
func (l *Lender) releaseSession(now time.Time) {
	p := l.currentSession
	l.closeSession()
	l.emit(&Release{Router: p.router, Session: p.session})
	if l.stakeHolder.router == p.router {
		l.stakeHolder.releaseSentAt = now
		l.restartWaitForSelf(now)
	}
}

// closeSession ends the session locally; its former dispatcher still counts the running attempts.
func (l *Lender) closeSession() {
	l.formerDispatcher[l.currentSession.router] = l.newFormerDispatcher()
	l.currentSession = currentSession{}
}

// reclaimStake asks the holder to release the stake if another dispatcher is preferred, and closes the link
// if the holder does not answer within ReleaseTimeout.
func (l *Lender) reclaimStake(now time.Time, target cell.RouterID) {
	h := &l.stakeHolder
	if h.router == "" || h.router == target || !l.isLinked(h.router) {
		return
	}
	if h.releaseSentAt.IsZero() {
		h.releaseSentAt = now
		l.restartWaitForSelf(now)
		l.emit(&Release{Router: h.router, Session: h.session})
		return
	}
	if h.router != l.conf.Self && now.Sub(h.releaseSentAt) > l.conf.ReleaseTimeout {
		h.releaseSentAt = now
		l.emit(&Disconnect{Router: h.router})
	}
}

// restartWaitForSelf starts the wait for the stake now if this router is the holder, since it gets no frames from itself.
func (l *Lender) restartWaitForSelf(now time.Time) {
	if l.stakeHolder.router == l.conf.Self {
		l.stakeHolder.lastFrameAt = now
	}
}

// isStakeFree reports whether the stake may be lent to the target: no router holds it, the target itself does, or the
// holder has been silent for longer than stakeTimeout.
func (l *Lender) isStakeFree(now time.Time, target cell.RouterID) bool {
	if l.stakeHolder.router == "" || l.stakeHolder.router == target {
		return true
	}
	return now.Sub(l.stakeHolder.lastFrameAt) > l.stakeTimeout()
}

// isQuarantineOver reports whether this process has run long enough that no dispatcher counts the stake of its predecessor.
func (l *Lender) isQuarantineOver(now time.Time) bool {
	return now.Sub(l.conf.Started) > l.stakeTimeout()
}

// stakeTimeout returns the longest time for which a silent dispatcher may count the stake and its grants may still be sent.
func (l *Lender) stakeTimeout() time.Duration {
	return withDriftMargin(l.conf.StakeLease + l.conf.GrantValid)
}

// withDriftMargin extends d so that a clock on another host, which may run slower, has advanced by at least d.
func withDriftMargin(d time.Duration) time.Duration { return d + d/clockDriftDivisor }

// unlentFor returns how long no dispatcher has counted the stake or granted to this entry, as a lower bound
// given clock drift and at most stakeTimeout. It returns zero if the router already holds the stake.
func (l *Lender) unlentFor(now time.Time, router cell.RouterID) time.Duration {
	since := l.unlent
	switch l.stakeHolder.router {
	case router:
		return 0
	case "":
	default:
		since = l.stakeHolder.lastFrameAt.Add(withDriftMargin(l.conf.StakeLease))
	}
	if l.lastGrantAt.After(since) {
		since = l.lastGrantAt
	}
	unlent := min(now.Sub(since), l.stakeTimeout())
	return max(0, unlent-unlent/clockDriftDivisor)
}

// join starts a session with the router, with the stake if it may be lent, and resends all waiting demands.
func (l *Lender) join(now time.Time, router cell.RouterID) {
	l.lastSession++
	stake := l.isQuarantineOver(now) && l.isStakeFree(now, router)
	l.currentSession = currentSession{router: router, session: l.lastSession, stake: stake, joinedAt: now}
	var unlent time.Duration
	if stake {
		unlent = l.unlentFor(now, router)
		l.stakeHolder = stakeHolder{router: router, session: l.lastSession, lastFrameAt: now}
	}
	delete(l.formerDispatcher, router)
	l.emit(&Join{
		Router:       router,
		Session:      l.lastSession,
		Stake:        stake,
		UncountedFor: unlent,
		Flights:      l.flightList(nil),
		Counters:     l.counterList(now),
		Cached:       l.recentSentParts(now),
	})
	if demands := l.pending.list(); len(demands) > 0 {
		l.emit(&SendWant{Router: router, Session: l.lastSession, Demands: demands})
	}
}

func (l *Lender) emit(a Action) { l.actions = append(l.actions, a) }
