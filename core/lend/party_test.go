package lend_test

import (
	"fmt"
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/lend"
)

// leaving and released are the bodies of dispatcher frames that carry no lend event: a shutdown notice and the answer to Release.
type (
	leaving  struct{}
	released struct{ session cell.Session }
)

// step passes an event to the lender and carries out the resulting actions. Events raised meanwhile are queued.
func (p *testRouter) step(ev lend.Event) {
	p.events = append(p.events, ev)
	for !p.stepping && len(p.events) > 0 {
		next := p.events[0]
		p.events = p.events[1:]
		p.stepping = true
		p.carryOut(p.lender.Step(p.clock(), next))
		p.stepping = false
	}
}

func (p *testRouter) carryOut(actions []lend.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case *lend.Granted:
			if !p.waiting[a.Attempt] || p.running[a.Attempt] {
				p.cluster.fail("%s was granted attempt %d, which is not waiting", p.router, a.Attempt)
			}
			delete(p.waiting, a.Attempt)
			p.running[a.Attempt] = true
			p.pendingSends = append(p.pendingSends, pendingSend{dueAt: p.cluster.now + p.cluster.randomUpTo(500*time.Millisecond), grant: a})
		case *lend.Disconnect:
			if l := p.linkTo(a.Router); l != nil {
				l.send(0, frame{closes: true})
				p.handleClosed(l, 0)
			}
		default:
			p.deliver(action)
		}
	}
}

// deliver passes an action to its dispatcher, over a link or directly if that is this router.
func (p *testRouter) deliver(action lend.Action) {
	to := recipient(action)
	if to == p.router {
		p.handleEntryAction(p.host, nil, p.clock(), action)
		return
	}
	if l := p.linkTo(to); l != nil {
		l.send(0, frame{body: action})
	}
}

func recipient(action lend.Action) cell.RouterID {
	switch a := action.(type) {
	case *lend.Join:
		return a.Router
	case *lend.Release:
		return a.Router
	case *lend.SendWant:
		return a.Router
	case *lend.SendWithdraw:
		return a.Router
	case *lend.SendProgress:
		return a.Router
	case *lend.SendEnds:
		return a.Router
	}
	return ""
}

// handleDispatcherFrame processes a dispatcher's frame at the entry.
func (p *testRouter) handleDispatcherFrame(l *link, f frame) {
	router := l.router(1)
	p.step(&lend.FrameReceived{Router: router})
	switch body := f.body.(type) {
	case *lend.Grants:
		body.Echoed = f.echo
		p.step(body)
	case *lend.Accepted:
		p.step(body)
	case released:
		p.step(&lend.Released{Router: router, Session: body.session})
	case leaving:
		p.step(&lend.PeerLeaving{Router: router})
	}
}

// handleEntryFrame processes an entry's frame at the dispatcher.
func (p *testRouter) handleEntryFrame(l *link, f frame) {
	entry := l.router(0).Host()
	if f.body != nil {
		p.handleEntryAction(entry, l, f.echo, f.body.(lend.Action))
	}
	s := p.sessions[entry]
	if s != nil && s.link == l {
		s.renewLease(p, f.echo)
	}
	p.checkStake(entry)
}

func (s *session) renewLease(p *testRouter, echoed time.Time) {
	if until := echoed.Add(lease); until.After(s.until) {
		s.until = until
	}
	if s.stake && s.countedSince == 0 && p.clock().Before(s.until) {
		s.countedSince = p.cluster.now
	}
}

func (p *testRouter) renewOwnLease() {
	if s := p.sessions[p.host]; s != nil {
		s.renewLease(p, p.clock())
		p.checkStake(p.host)
	}
}

func (p *testRouter) countsStake(host cell.HostID) bool {
	s := p.sessions[host]
	return s != nil && s.stake && p.clock().Before(s.until)
}

// checkStake verifies that at most one dispatcher counts the host's stake now.
func (p *testRouter) checkStake(host cell.HostID) {
	p.checkUnlent(host)
	for _, other := range p.cluster.routers {
		if other != p && p.countsStake(host) && other.countsStake(host) {
			p.cluster.fail("%s and %s both count the stake of %s", p.router, other.router, host)
		}
	}
}

// checkUnlent verifies that no other dispatcher counted the stake within the unlent time that the Join reported.
func (p *testRouter) checkUnlent(host cell.HostID) {
	if !p.countsStake(host) {
		return
	}
	since := p.sessions[host].unlentSince
	for _, other := range p.cluster.routers {
		if other != p && other.countedUntil(host) > since {
			p.cluster.fail("%s counted the stake of %s until %v, but the host reported to %s that nobody did since %v",
				other.router, host, other.countedUntil(host), p.router, since)
		}
	}
}

// checkJoinFlights verifies that no other dispatcher granted an attempt listed in the Join within the Join's unlent time.
func (p *testRouter) checkJoinFlights(join *lend.Join) {
	for _, f := range join.Flights {
		g := p.cluster.grants[f.Endpoint]
		if since := p.cluster.now - join.UncountedFor; g.dispatcher != p && g.madeAt > since {
			p.cluster.fail("%s received a flight granted at %v in a Join that reports no grant since %v", p.router, g.madeAt, since)
		}
	}
}

// countedUntil returns the simulated real time until which this dispatcher counted, or will count, the entry's stake.
func (p *testRouter) countedUntil(entry cell.HostID) time.Duration {
	s := p.sessions[entry]
	if s == nil || !s.stake {
		return p.countedBefore[entry]
	}
	return time.Duration(float64(s.until.Sub(time.Unix(1000, 0))-p.clockOffset) / p.clockRate)
}

// handleEntryAction processes an entry's action at the dispatcher; the link is nil for this router's own entry.
func (p *testRouter) handleEntryAction(entry cell.HostID, l *link, echoed time.Time, action lend.Action) {
	s := p.sessions[entry]
	router := p.router
	if l != nil {
		router = l.router(0)
	}
	switch a := action.(type) {
	case *lend.Join:
		p.checkJoinFlights(a)
		if s != nil && s.stake && !a.Stake {
			p.releasedAt[entry] = p.cluster.now
			p.countedBefore[entry] = min(p.cluster.now, p.countedUntil(entry))
		}
		s = &session{router: router, number: a.Session, link: l, stake: a.Stake, until: echoed.Add(lease), unlentSince: p.cluster.now - a.UncountedFor}
		s.demands, s.flights = make(map[cell.AttemptID]bool), make(map[cell.AttemptID]bool)
		for _, f := range a.Flights {
			s.flights[f.Attempt] = true
		}
		p.sessions[entry] = s
		s.renewLease(p, echoed)
		p.reply(l, &lend.Accepted{Router: p.router, Session: a.Session})
	case *lend.Release:
		if s != nil && s.number == a.Session {
			p.releasedAt[entry] = p.cluster.now
			p.countedBefore[entry] = min(p.cluster.now, p.countedUntil(entry))
			s.stake = false
			clear(s.demands)
		}
		p.reply(l, released{a.Session})
	case *lend.SendWant:
		for _, d := range a.Demands {
			if s != nil && s.number == a.Session {
				s.demands[d.Attempt] = true
			}
		}
	case *lend.SendWithdraw:
		if s != nil && s.number == a.Session {
			delete(s.demands, a.Attempts[0])
		}
	case *lend.SendEnds:
		for _, end := range a.Ends {
			if s != nil {
				delete(s.flights, end.Attempt)
			}
		}
	}
}

func (p *testRouter) reply(l *link, body any) {
	if l != nil {
		l.send(1, frame{body: body})
		return
	}
	switch b := body.(type) {
	case *lend.Accepted:
		p.step(b)
	case *lend.Grants:
		b.Echoed = p.clock()
		p.step(b)
	case released:
		p.step(&lend.Released{Router: p.router, Session: b.session})
	}
}

// grant makes one grant in each session that has a demand. Each grant records the stakes counted at this time.
func (p *testRouter) grant() {
	w := p.cluster
	g := &grantRecord{dispatcher: p, madeAt: w.now}
	for _, other := range w.routers {
		if p.countsStake(other.host) {
			g.stakes = append(g.stakes, other.host)
		}
	}
	for _, other := range w.routers {
		s := p.sessions[other.host]
		if s == nil || len(s.demands) == 0 || s.router != other.router || (s.link == nil && other != p) {
			continue
		}
		attempt := slices.Min(keys(s.demands))
		delete(s.demands, attempt)
		s.flights[attempt] = true
		id := cell.EndpointID(fmt.Sprintf("grant-%d", len(w.grants)))
		w.grants[id] = g
		grants := []cell.Grant{{Attempt: attempt, Endpoint: id}}
		p.reply(s.link, &lend.Grants{Router: p.router, Session: s.number, Grants: grants})
	}
}

// sendDue sends the attempts that are due if their grants are still valid, and returns the other grants.
func (p *testRouter) sendDue() {
	for len(p.pendingSends) > 0 && p.pendingSends[0].dueAt <= p.cluster.now {
		g := p.pendingSends[0].grant
		p.pendingSends = p.pendingSends[1:]
		if p.clock().Before(g.Expires) {
			p.checkSend(p.cluster.grants[g.Endpoint])
			continue
		}
		delete(p.running, g.Attempt)
		p.step(&lend.End{End: cell.End{Attempt: g.Attempt, Outcome: cell.Unused}})
		p.want()
	}
}

// checkSend verifies that no other dispatcher has begun to count any of the grant's stakes since the grant was made.
// It skips a stake that the grant's dispatcher has released since then, while the time since the release is less than
// the validity of a grant: the release was announced, and the grant stays usable for that long. The factor 103/100
// allows for clock drift.
func (p *testRouter) checkSend(g *grantRecord) {
	for _, host := range g.stakes {
		announcedAt := g.dispatcher.releasedAt[host]
		if announcedAt >= g.madeAt && p.cluster.now-announcedAt < valid*103/100 {
			continue
		}
		for _, other := range p.cluster.routers {
			s := other.sessions[host]
			if other != g.dispatcher && s != nil && s.stake && s.countedSince > g.madeAt {
				p.cluster.fail("%s sends on a grant made by %s at %v with the stake of %s, which %s has counted since %v",
					p.router, g.dispatcher.router, g.madeAt, host, other.router, s.countedSince)
			}
		}
	}
}

func (p *testRouter) want() {
	p.lastAttempt++
	p.waiting[p.lastAttempt] = true
	p.step(&lend.Want{Demand: cell.Demand{Attempt: p.lastAttempt, Team: "kiosks"}})
}

// end completes the oldest attempt that was sent.
func (p *testRouter) end() {
	unsent := func(a cell.AttemptID) bool {
		return slices.ContainsFunc(p.pendingSends, func(u pendingSend) bool { return u.grant.Attempt == a })
	}
	sent := slices.DeleteFunc(keys(p.running), unsent)
	if len(sent) > 0 {
		attempt := slices.Min(sent)
		delete(p.running, attempt)
		p.step(&lend.End{End: cell.End{Attempt: attempt, Outcome: cell.Completed}})
	}
}

func keys(set map[cell.AttemptID]bool) []cell.AttemptID {
	list := make([]cell.AttemptID, 0, len(set))
	for a := range set {
		list = append(list, a)
	}
	slices.Sort(list)
	return list
}
