package limit

import (
	"time"

	"ryelug/core/cell"
)

// Stakes tracks the stakes that a dispatcher holds. A stake is the right to an equal part of each endpoint's limit: every voting
// host has one and lends it, through its router, to one dispatcher at a time. This way dispatchers that don't know of each other
// never exceed an endpoint's limit together.
type Stakes struct {
	stakes      []stake
	total       int       // total is the number of parts that limits are divided into.
	formerTotal int       // formerTotal is the greatest total before the recent reductions.
	reducedAt   time.Time // reducedAt is when total was last reduced.
}

// stake is the stake of one host.
type stake struct {
	host      cell.HostID
	isVoter   bool          // isVoter is true if the host is on the list of voting hosts.
	lent      bool          // lent is true while a router of the host lends the stake to this dispatcher.
	router    cell.RouterID // router is the router that lends the stake, or lent it last.
	joined    time.Time     // joined is the time since which no other dispatcher has used the stake.
	expiresAt time.Time     // expiresAt is when the loan expires unless it is renewed.
}

// SetVoters replaces the voting hosts and the total that limits are divided into; the total is at least the number of hosts.
//
// A lower total raises this dispatcher's part of each limit, just as an additional stake does. HeldSince must not apply the lower
// total to times before the reduction; for these it returns the greatest former total. Former totals are forgotten at the first
// reduction that comes more than horizon after the previous one.
func (s *Stakes) SetVoters(now time.Time, hosts []cell.HostID, total int, horizon time.Duration) {
	total = max(total, len(hosts))
	if total < s.total {
		if now.Sub(s.reducedAt) > horizon {
			s.formerTotal = 0
		}
		s.formerTotal = max(s.formerTotal, s.total)
		s.reducedAt = now
	}
	s.total = total
	for i := range s.stakes {
		s.stakes[i].isVoter = false
	}
	for _, host := range hosts {
		s.ensure(host).isVoter = true
	}
	s.prune()
}

// Lend records that a router lends its host's stake, which no other dispatcher has used since joined. HeldSince counts the
// stake only after Renew has set its expiry.
func (s *Stakes) Lend(joined time.Time, router cell.RouterID) {
	lent := s.ensure(router.Host())
	lent.lent, lent.router = true, router
	lent.joined, lent.expiresAt = joined, time.Time{}
}

// Renew extends a router's loan until the given time; an earlier time has no effect.
func (s *Stakes) Renew(router cell.RouterID, expiresAt time.Time) {
	lent := s.ensure(router.Host())
	if lent.lent && lent.router == router && expiresAt.After(lent.expiresAt) {
		lent.expiresAt = expiresAt
	}
}

// Revoke records that a router no longer lends its stake.
func (s *Stakes) Revoke(router cell.RouterID) {
	lent := s.ensure(router.Host())
	if lent.router == router {
		lent.lent = false
	}
	s.prune()
}

// HeldSince returns the number of stakes that are valid now and that no other dispatcher has used since joined, and the total
// that limits are divided into.
func (s *Stakes) HeldSince(now, joined time.Time) (held, total int) {
	for i := range s.stakes {
		if lent := &s.stakes[i]; lent.isValid(now) && !lent.joined.After(joined) {
			held++
		}
	}
	if s.reducedAt.After(joined) {
		return held, max(s.total, s.formerTotal)
	}
	return held, s.total
}

// LastJoined returns the latest joined time (see Lend) in (after, by] of the stakes that voting hosts lend to this dispatcher; zero
// if there is none.
func (s *Stakes) LastJoined(after, by time.Time) time.Time {
	var last time.Time
	for i := range s.stakes {
		lent := &s.stakes[i]
		between := lent.joined.After(after) && !lent.joined.After(by)
		if lent.isVoter && lent.lent && between && lent.joined.After(last) {
			last = lent.joined
		}
	}
	return last
}

// NextExpiry returns the earliest time after now at which a loan expires; zero if no stake is valid.
func (s *Stakes) NextExpiry(now time.Time) time.Time {
	var next time.Time
	for i := range s.stakes {
		lent := &s.stakes[i]
		if lent.isValid(now) && (next.IsZero() || lent.expiresAt.Before(next)) {
			next = lent.expiresAt
		}
	}
	return next
}

// isValid reports whether the stake is valid: lent by a voting host and not expired.
func (l *stake) isValid(now time.Time) bool {
	return l.isVoter && l.lent && now.Before(l.expiresAt)
}

// ensure returns the stake of a host, which it adds if it is missing.
func (s *Stakes) ensure(host cell.HostID) *stake {
	for i := range s.stakes {
		if s.stakes[i].host == host {
			return &s.stakes[i]
		}
	}
	s.stakes = append(s.stakes, stake{host: host})
	return &s.stakes[len(s.stakes)-1]
}

// prune removes the stakes that are neither lent nor of a voting host.
func (s *Stakes) prune() {
	kept := s.stakes[:0]
	for _, lent := range s.stakes {
		if lent.isVoter || lent.lent {
			kept = append(kept, lent)
		}
	}
	s.stakes = kept
}
