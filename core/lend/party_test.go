package lend_test

import (
	"fmt"
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/lend"
)

// leaving and released are what a dispatcher tells besides its grants.
type (
	leaving  struct{}
	released struct{ number cell.Session }
)

// step lets the lender take an event and carries out what follows; events that come of it wait their turn.
func (p *party) step(ev lend.Event) {
	p.events = append(p.events, ev)
	for !p.busy && len(p.events) > 0 {
		next := p.events[0]
		p.events = p.events[1:]
		p.busy = true
		p.carryOut(p.lender.Step(p.clock(), next))
		p.busy = false
	}
}

func (p *party) carryOut(actions []lend.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case *lend.Granted:
			if !p.waiting[a.Attempt] || p.running[a.Attempt] {
				p.world.fail("%s may send attempt %d, which does not wait", p.router, a.Attempt)
			}
			delete(p.waiting, a.Attempt)
			p.running[a.Attempt] = true
			p.uses = append(p.uses, use{at: p.world.now + p.world.upTo(500*time.Millisecond), grant: a})
		case *lend.Disconnect:
			if l := p.linkTo(a.Router); l != nil {
				l.send(0, frame{fin: true})
				p.closed(l, 0)
			}
		default:
			p.tell(action)
		}
	}
}

// tell brings an action to its dispatcher, over a link or directly.
func (p *party) tell(action lend.Action) {
	to := receiver(action)
	if to == p.router {
		p.take(p.host, nil, p.clock(), action)
		return
	}
	if l := p.linkTo(to); l != nil {
		l.send(0, frame{body: action})
	}
}

func receiver(action lend.Action) cell.RouterID {
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

// fromDispatcher is the entry's side of a frame.
func (p *party) fromDispatcher(l *link, f frame) {
	router := l.router(1)
	p.step(&lend.Heard{Router: router})
	switch body := f.body.(type) {
	case *lend.Grants:
		body.Echoed = f.echo
		p.step(body)
	case *lend.Accepted:
		p.step(body)
	case released:
		p.step(&lend.Released{Router: router, Session: body.number})
	case leaving:
		p.step(&lend.PeerLeaving{Router: router})
	}
}

// fromEntry is the dispatcher's side of a frame.
func (p *party) fromEntry(l *link, f frame) {
	entry := l.router(0).Host()
	if f.body != nil {
		p.take(entry, l, f.echo, f.body.(lend.Action))
	}
	s := p.sessions[entry]
	if s != nil && s.link == l {
		s.renew(p, f.echo)
	}
	p.checkStake(entry)
}

func (s *session) renew(p *party, echoed time.Time) {
	if until := echoed.Add(lease); until.After(s.until) {
		s.until = until
	}
	if s.stake && s.began == 0 && p.clock().Before(s.until) {
		s.began = p.world.now
	}
}

func (p *party) renewSelf() {
	if s := p.sessions[p.host]; s != nil {
		s.renew(p, p.clock())
		p.checkStake(p.host)
	}
}

func (p *party) counts(host cell.HostID) bool {
	s := p.sessions[host]
	return s != nil && s.stake && p.clock().Before(s.until)
}

// checkStake asserts that no two dispatchers count the stake at this instant.
func (p *party) checkStake(host cell.HostID) {
	p.checkUnlent(host)
	for _, other := range p.world.parties {
		if other != p && p.counts(host) && other.counts(host) {
			p.world.fail("%s and %s both count the stake of %s", p.router, other.router, host)
		}
	}
}

// checkUnlent asserts that no other dispatcher has counted the stake that is counted
// here in the time that its Join named.
func (p *party) checkUnlent(host cell.HostID) {
	if !p.counts(host) {
		return
	}
	since := p.sessions[host].unlent
	for _, other := range p.world.parties {
		if other != p && other.countedUntil(host) > since {
			p.world.fail("%s counted the stake of %s until %v, which joined %s unlent since %v",
				other.router, host, other.countedUntil(host), p.router, since)
		}
	}
}

// checkBrought asserts that no other dispatcher has granted what an entry brings in the time that its Join names.
func (p *party) checkBrought(join *lend.Join) {
	for _, f := range join.Flights {
		g := p.world.grants[f.Endpoint]
		if since := p.world.now - join.Unlent; g.by != p && g.made > since {
			p.world.fail("%s is brought a flight granted at %v, and told of none since %v", p.router, g.made, since)
		}
	}
}

// countedUntil returns the real time until which this dispatcher counted or will count a stake.
func (p *party) countedUntil(entry cell.HostID) time.Duration {
	s := p.sessions[entry]
	if s == nil || !s.stake {
		return p.counted[entry]
	}
	return time.Duration(float64(s.until.Sub(time.Unix(1000, 0))-p.offset) / p.rate)
}

// take is the dispatcher's side of an entry's message; the link is nil for its own entry.
func (p *party) take(entry cell.HostID, l *link, echoed time.Time, action lend.Action) {
	s := p.sessions[entry]
	router := p.router
	if l != nil {
		router = l.router(0)
	}
	switch a := action.(type) {
	case *lend.Join:
		p.checkBrought(a)
		if s != nil && s.stake && !a.Stake {
			p.gaveUp[entry] = p.world.now
			p.counted[entry] = min(p.world.now, p.countedUntil(entry))
		}
		s = &session{router: router, number: a.Session, link: l, stake: a.Stake, until: echoed.Add(lease), unlent: p.world.now - a.Unlent}
		s.demands, s.flights = make(map[cell.AttemptID]bool), make(map[cell.AttemptID]bool)
		for _, f := range a.Flights {
			s.flights[f.Attempt] = true
		}
		p.sessions[entry] = s
		s.renew(p, echoed)
		p.answer(l, &lend.Accepted{Router: p.router, Session: a.Session})
	case *lend.Release:
		if s != nil && s.number == a.Session {
			p.gaveUp[entry] = p.world.now
			p.counted[entry] = min(p.world.now, p.countedUntil(entry))
			s.stake = false
			clear(s.demands)
		}
		p.answer(l, released{a.Session})
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

func (p *party) answer(l *link, body any) {
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
		p.step(&lend.Released{Router: p.router, Session: b.number})
	}
}

// grant gives one grant of each session that has a demand, on the stakes that are counted now.
func (p *party) grant() {
	w := p.world
	g := &granted{by: p, made: w.now}
	for _, other := range w.parties {
		if p.counts(other.host) {
			g.stakes = append(g.stakes, other.host)
		}
	}
	for _, other := range w.parties {
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
		p.answer(s.link, &lend.Grants{Router: p.router, Session: s.number, Grants: grants})
	}
}

// use sends what is due, if its grant holds still, and hands back the rest.
func (p *party) use() {
	for len(p.uses) > 0 && p.uses[0].at <= p.world.now {
		g := p.uses[0].grant
		p.uses = p.uses[1:]
		if p.clock().Before(g.Expires) {
			p.checkUse(p.world.grants[g.Endpoint])
			continue
		}
		delete(p.running, g.Attempt)
		p.step(&lend.End{End: cell.End{Attempt: g.Attempt, Outcome: cell.Unused}})
		p.want()
	}
}

// checkUse asserts that no stake behind the grant has been counted by another dispatcher
// since it was made. If the maker has released the stake, it has told so, and the grant
// may be used for as long as it is valid from then.
func (p *party) checkUse(g *granted) {
	for _, host := range g.stakes {
		told := g.by.gaveUp[host]
		if told >= g.made && p.world.now-told < valid*103/100 {
			continue
		}
		for _, other := range p.world.parties {
			s := other.sessions[host]
			if other != g.by && s != nil && s.stake && s.began > g.made {
				p.world.fail("%s uses a grant made by %s at %v on the stake of %s, which %s counts since %v",
					p.router, g.by.router, g.made, host, other.router, s.began)
			}
		}
	}
}

func (p *party) want() {
	p.attempts++
	p.waiting[p.attempts] = true
	p.step(&lend.Want{Demand: cell.Demand{Attempt: p.attempts, Team: "kiosks"}})
}

// end ends the oldest attempt that was sent.
func (p *party) end() {
	unsent := func(a cell.AttemptID) bool {
		return slices.ContainsFunc(p.uses, func(u use) bool { return u.grant.Attempt == a })
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
