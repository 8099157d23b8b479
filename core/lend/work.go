package lend

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ryelug/core/cell"
)

// pending holds demands without a grant, in the order in which they came.
type pending struct {
	byAttempt map[cell.AttemptID]waiting
	next      uint64
}

type waiting struct {
	demand cell.Demand
	place  uint64
}

func newPending() pending {
	return pending{byAttempt: make(map[cell.AttemptID]waiting)}
}

func (p *pending) add(d cell.Demand) {
	p.byAttempt[d.Attempt] = waiting{demand: d, place: p.next}
	p.next++
}

func (p *pending) list() []cell.Demand {
	queue := make([]waiting, 0, len(p.byAttempt))
	for _, w := range p.byAttempt {
		queue = append(queue, w)
	}
	slices.SortFunc(queue, func(a, b waiting) int { return cmp.Compare(a.place, b.place) })
	demands := make([]cell.Demand, len(queue))
	for i, w := range queue {
		demands[i] = w.demand
	}
	return demands
}

func (l *Lender) want(d cell.Demand) {
	if _, running := l.flights[d.Attempt]; running {
		return
	}
	l.pending.add(d)
	l.sendWant(d)
}

func (l *Lender) sendWant(d cell.Demand) {
	if l.inSession() {
		l.act(&SendWant{Router: l.present.router, Session: l.present.session, Demands: []cell.Demand{d}})
	}
}

func (l *Lender) withdraw(attempt cell.AttemptID) {
	if _, ok := l.pending.byAttempt[attempt]; !ok {
		return
	}
	delete(l.pending.byAttempt, attempt)
	if l.inSession() {
		l.act(&SendWithdraw{Router: l.present.router, Session: l.present.session, Attempts: []cell.AttemptID{attempt}})
	}
}

// grants uses, hands back or drops each grant.
func (l *Lender) grants(now time.Time, e *Grants) {
	current := l.isPresent(e.Router, e.Session)
	if !current && !l.isLatest(e.Router, e.Session) {
		return // A later Join has told the dispatcher what runs.
	}
	fresh := now.Sub(e.Echoed) < l.conf.GrantValid
	for _, g := range e.Grants {
		w, waits := l.pending.byAttempt[g.Attempt]
		_, runs := l.flights[g.Attempt]
		switch {
		case current && runs:
			// The dispatcher counts it once already.
		case current && waits && fresh:
			l.use(now, e.Echoed, g, w.demand)
		default:
			l.handBack(e.Router, g.Attempt)
			if current && waits {
				l.sendWant(w.demand)
			}
		}
	}
}

// isLatest tells whether this was the last session with the router.
func (l *Lender) isLatest(router cell.RouterID, session cell.Session) bool {
	f, ok := l.former[router]
	return ok && f.session == session
}

func (l *Lender) use(now, echoed time.Time, g cell.Grant, d cell.Demand) {
	l.granted = now
	delete(l.pending.byAttempt, g.Attempt)
	l.flights[g.Attempt] = &cell.Flight{Attempt: g.Attempt, Team: d.Team, Endpoint: g.Endpoint, Start: g.Start}
	l.place(now, g.Endpoint, &d.Prompt)
	l.act(&Granted{
		Attempt: g.Attempt, Endpoint: g.Endpoint, Start: g.Start, Fetch: g.Fetch, Predicted: g.Predicted,
		Expires: echoed.Add(l.conf.GrantValid),
	})
}

func (l *Lender) handBack(router cell.RouterID, attempt cell.AttemptID) {
	if l.isLinked(router) {
		l.act(&SendEnds{Router: router, Ends: []cell.End{{Attempt: attempt, Outcome: cell.Unused}}})
	}
}

func (l *Lender) refusals(e *Refusals) {
	if !l.isPresent(e.Router, e.Session) {
		return
	}
	for _, r := range e.Refusals {
		if _, ok := l.pending.byAttempt[r.Attempt]; !ok {
			continue
		}
		delete(l.pending.byAttempt, r.Attempt)
		l.act(&Refused{Attempt: r.Attempt, Code: r.Code, RetryAfter: r.RetryAfter})
	}
}

func (l *Lender) progress(p cell.Progress) {
	flight, ok := l.flights[p.Attempt]
	if !ok {
		return
	}
	flight.Charged = max(flight.Charged, p.Cost)
	if l.inSession() {
		l.act(&SendProgress{Router: l.present.router, Session: l.present.session, Progress: []cell.Progress{p}})
	}
}

// end tells every dispatcher that counts the attempt.
func (l *Lender) end(end cell.End) {
	if _, ok := l.flights[end.Attempt]; !ok {
		return
	}
	delete(l.flights, end.Attempt)
	if l.inSession() {
		l.act(&SendEnds{Router: l.present.router, Ends: []cell.End{end}})
	}
	for _, router := range sortedKeys(l.former) {
		l.endFormer(router, end)
	}
}

func (l *Lender) endFormer(router cell.RouterID, end cell.End) {
	f := l.former[router]
	if !f.counts[end.Attempt] {
		return
	}
	delete(f.counts, end.Attempt)
	if l.isLinked(router) {
		l.act(&SendEnds{Router: router, Ends: []cell.End{end}})
	}
}

// restate tells former dispatchers that are linked again what still runs, by
// a session that ends at once: grants and ends were lost with the link.
func (l *Lender) restate(now time.Time, target cell.RouterID) {
	for _, router := range sortedKeys(l.former) {
		f := l.former[router]
		if !f.unlinked || !l.isLinked(router) || router == target {
			continue
		}
		l.last++
		f.session = l.last
		f.unlinked = false
		l.act(&Join{Router: router, Session: l.last, Flights: l.flightList(f.counts)})
		l.act(&Release{Router: router, Session: l.last})
		if l.holder.router == router {
			l.holder.session = l.last
			l.holder.asked = now
		}
	}
}

// former is a router that was this entry's dispatcher and may still count some of its attempts.
type former struct {
	session  cell.Session
	counts   map[cell.AttemptID]bool // counts holds what ran when the session ended, and still runs.
	unlinked bool                    // unlinked tells that the link was lost since.
}

// newFormer takes down what the dispatcher of the present session counts.
func (l *Lender) newFormer() *former {
	f := &former{session: l.present.session, counts: make(map[cell.AttemptID]bool, len(l.flights))}
	for attempt := range l.flights {
		f.counts[attempt] = true
	}
	return f
}

// counter is a team's virtual service and when a dispatcher last spoke of it.
type counter struct {
	service float64
	seen    time.Time
}

// merge keeps the highest service seen of each team.
func (l *Lender) merge(now time.Time, counters []cell.TeamCounter) {
	for _, c := range counters {
		old, ok := l.counters[c.Team]
		if !ok && len(l.counters) >= maxCounters {
			l.prune(now)
		}
		l.counters[c.Team] = counter{service: max(old.service, c.Service), seen: now}
	}
}

func (l *Lender) prune(now time.Time) {
	maps.DeleteFunc(l.counters, func(_ cell.TeamID, c counter) bool { return now.Sub(c.seen) > counterKeep })
}

func (l *Lender) counterList(now time.Time) []cell.TeamCounter {
	l.prune(now)
	list := make([]cell.TeamCounter, 0, len(l.counters))
	for _, team := range sortedKeys(l.counters) {
		list = append(list, cell.TeamCounter{Team: team, Service: l.counters[team].service})
	}
	return list
}

// flightList returns the flights in the set; all of them if it is nil.
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
