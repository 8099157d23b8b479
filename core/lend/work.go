package lend

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ryelug/core/cell"
)

// pending holds the attempts that wait for a grant, in order of arrival.
type pending struct {
	byAttempt map[cell.AttemptID]waiting
	nextSeq   uint64
}

// waiting is a demand and its position in the order of arrival.
type waiting struct {
	demand cell.Demand
	seq    uint64
}

func newPending() pending {
	return pending{byAttempt: make(map[cell.AttemptID]waiting)}
}

func (p *pending) add(d cell.Demand) {
	p.byAttempt[d.Attempt] = waiting{demand: d, seq: p.nextSeq}
	p.nextSeq++
}

// list returns the demands in order of arrival.
func (p *pending) list() []cell.Demand {
	queue := make([]waiting, 0, len(p.byAttempt))
	for _, w := range p.byAttempt {
		queue = append(queue, w)
	}
	slices.SortFunc(queue, func(a, b waiting) int { return cmp.Compare(a.seq, b.seq) })
	demands := make([]cell.Demand, len(queue))
	for i, w := range queue {
		demands[i] = w.demand
	}
	return demands
}

func (l *Lender) addDemand(d cell.Demand) {
	if _, running := l.flights[d.Attempt]; running {
		return
	}
	l.pending.add(d)
	l.sendWant(d)
}

func (l *Lender) sendWant(d cell.Demand) {
	if l.hasSession() {
		l.emit(&SendWant{Router: l.currentSession.router, Session: l.currentSession.session, Demands: []cell.Demand{d}})
	}
}

func (l *Lender) withdraw(attempt cell.AttemptID) {
	if _, ok := l.pending.byAttempt[attempt]; !ok {
		return
	}
	delete(l.pending.byAttempt, attempt)
	if l.hasSession() {
		l.emit(&SendWithdraw{Router: l.currentSession.router, Session: l.currentSession.session, Attempts: []cell.AttemptID{attempt}})
	}
}

// handleGrants accepts, ignores or returns each grant.
func (l *Lender) handleGrants(now time.Time, e *Grants) {
	current := l.isCurrent(e.Router, e.Session)
	if !current && !l.isLatestFormer(e.Router, e.Session) {
		return // A later Join has already told the dispatcher which attempts run.
	}
	isValid := now.Sub(e.Echoed) < l.conf.GrantValid
	for _, g := range e.Grants {
		w, isWaiting := l.pending.byAttempt[g.Attempt]
		_, isRunning := l.flights[g.Attempt]
		switch {
		case current && isRunning:
			// The dispatcher already counts this attempt.
		case current && isWaiting && isValid:
			l.acceptGrant(now, e.Echoed, g, w.demand)
		default:
			l.returnUnused(e.Router, g.Attempt)
			if current && isWaiting {
				l.sendWant(w.demand)
			}
		}
	}
}

// isLatestFormer reports whether the session is the most recent one with this former dispatcher.
func (l *Lender) isLatestFormer(router cell.RouterID, session cell.Session) bool {
	f, ok := l.formerDispatcher[router]
	return ok && f.session == session
}

// acceptGrant marks the attempt as running and permits its send.
func (l *Lender) acceptGrant(now, echoed time.Time, g cell.Grant, d cell.Demand) {
	l.lastGrantAt = now
	delete(l.pending.byAttempt, g.Attempt)
	l.flights[g.Attempt] = &cell.Flight{Attempt: g.Attempt, Team: d.Team, Endpoint: g.Endpoint, Start: g.Start}
	l.recordSentParts(now, g.Endpoint, &d.Prompt)
	l.emit(&Granted{
		Attempt: g.Attempt, Endpoint: g.Endpoint, Start: g.Start, Fetch: g.Fetch, Predicted: g.Predicted,
		Expires: echoed.Add(l.conf.GrantValid),
	})
}

// returnUnused tells the dispatcher that its grant is not used.
func (l *Lender) returnUnused(router cell.RouterID, attempt cell.AttemptID) {
	if l.isLinked(router) {
		l.emit(&SendEnds{Router: router, Ends: []cell.End{{Attempt: attempt, Outcome: cell.Unused}}})
	}
}

func (l *Lender) handleRefusals(e *Refusals) {
	if !l.isCurrent(e.Router, e.Session) {
		return
	}
	for _, r := range e.Refusals {
		if _, ok := l.pending.byAttempt[r.Attempt]; !ok {
			continue
		}
		delete(l.pending.byAttempt, r.Attempt)
		l.emit(&Refused{Attempt: r.Attempt, Code: r.Code, RetryAfter: r.RetryAfter})
	}
}

func (l *Lender) recordProgress(p cell.Progress) {
	flight, ok := l.flights[p.Attempt]
	if !ok {
		return
	}
	flight.Charged = max(flight.Charged, p.Cost)
	if l.hasSession() {
		l.emit(&SendProgress{Router: l.currentSession.router, Session: l.currentSession.session, Progress: []cell.Progress{p}})
	}
}

// end removes a running attempt and tells every dispatcher that counts it.
func (l *Lender) end(end cell.End) {
	if _, ok := l.flights[end.Attempt]; !ok {
		return
	}
	delete(l.flights, end.Attempt)
	if l.hasSession() {
		l.emit(&SendEnds{Router: l.currentSession.router, Ends: []cell.End{end}})
	}
	for _, router := range sortedKeys(l.formerDispatcher) {
		l.sendEndToFormer(router, end)
	}
}

func (l *Lender) sendEndToFormer(router cell.RouterID, end cell.End) {
	f := l.formerDispatcher[router]
	if !f.attempts[end.Attempt] {
		return
	}
	delete(f.attempts, end.Attempt)
	if l.isLinked(router) {
		l.emit(&SendEnds{Router: router, Ends: []cell.End{end}})
	}
}

// resendFlights resends the running attempts to former dispatchers whose link is back, since grants and ends may have
// been lost with the old link. It does so with a Join that is released at once.
func (l *Lender) resendFlights(now time.Time, target cell.RouterID) {
	for _, router := range sortedKeys(l.formerDispatcher) {
		f := l.formerDispatcher[router]
		if !f.linkLost || !l.isLinked(router) || router == target {
			continue
		}
		l.lastSession++
		f.session = l.lastSession
		f.linkLost = false
		l.emit(&Join{Router: router, Session: l.lastSession, Flights: l.flightList(f.attempts)})
		l.emit(&Release{Router: router, Session: l.lastSession})
		if l.stakeHolder.router == router {
			l.stakeHolder.session = l.lastSession
			l.stakeHolder.releaseSentAt = now
		}
	}
}

// formerDispatcher is an earlier dispatcher of this entry that may still count some of its attempts.
type formerDispatcher struct {
	session  cell.Session
	attempts map[cell.AttemptID]bool // attempts that ran when the session ended and have not ended since
	linkLost bool                    // whether the link has been lost since the session ended
}

// newFormerDispatcher records the attempts that the current session's dispatcher counts.
func (l *Lender) newFormerDispatcher() *formerDispatcher {
	f := &formerDispatcher{session: l.currentSession.session, attempts: make(map[cell.AttemptID]bool, len(l.flights))}
	for attempt := range l.flights {
		f.attempts[attempt] = true
	}
	return f
}

// counter is a team's virtual service (cost divided by share) and when a dispatcher last reported it.
type counter struct {
	virtualService float64
	updatedAt      time.Time
}

// mergeCounters keeps the highest virtual service reported for each team.
func (l *Lender) mergeCounters(now time.Time, counters []cell.TeamCounter) {
	for _, c := range counters {
		old, ok := l.counters[c.Team]
		if !ok && len(l.counters) >= maxCounters {
			l.pruneCounters(now)
		}
		l.counters[c.Team] = counter{virtualService: max(old.virtualService, c.Service), updatedAt: now}
	}
}

func (l *Lender) pruneCounters(now time.Time) {
	maps.DeleteFunc(l.counters, func(_ cell.TeamID, c counter) bool { return now.Sub(c.updatedAt) > counterRetention })
}

func (l *Lender) counterList(now time.Time) []cell.TeamCounter {
	l.pruneCounters(now)
	list := make([]cell.TeamCounter, 0, len(l.counters))
	for _, team := range sortedKeys(l.counters) {
		list = append(list, cell.TeamCounter{Team: team, Service: l.counters[team].virtualService})
	}
	return list
}

// flightList returns the running attempts in the set, or all of them if set is nil.
func (l *Lender) flightList(set map[cell.AttemptID]bool) []cell.Flight {
	list := make([]cell.Flight, 0, len(l.flights))
	for _, attempt := range sortedKeys(l.flights) {
		if set == nil || set[attempt] {
			list = append(list, *l.flights[attempt])
		}
	}
	return list
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
