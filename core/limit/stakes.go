package limit

import (
	"time"

	"ryelug/core/cell"
)

// Stakes is a dispatcher's account of the stakes that voters lend it.
type Stakes struct {
	stakes      []stake
	total       int
	formerTotal int // formerTotal is the greatest total before the last reduction.
	reduced     time.Time
}

type stake struct {
	host   cell.HostID
	voter  bool
	lent   bool
	router cell.RouterID
	joined time.Time // joined is the time since which no other dispatcher has counted the stake.
	until  time.Time
}

// SetVoters replaces the voters and the total that stakes are divided by.
// A lower total is a gain of stakes like a loan, and matures like one after the horizon.
func (s *Stakes) SetVoters(now time.Time, hosts []cell.HostID, total int, horizon time.Duration) {
	total = max(total, len(hosts))
	if total < s.total {
		if now.Sub(s.reduced) > horizon {
			s.formerTotal = 0
		}
		s.formerTotal = max(s.formerTotal, s.total)
		s.reduced = now
	}
	s.total = total
	for i := range s.stakes {
		s.stakes[i].voter = false
	}
	for _, host := range hosts {
		s.of(host).voter = true
	}
	s.drop()
}

// Lend notes that a router lends its host's stake, which no other dispatcher has
// counted since joined; Renew must follow before it counts.
func (s *Stakes) Lend(joined time.Time, router cell.RouterID) {
	lent := s.of(router.Host())
	lent.lent, lent.router = true, router
	lent.joined, lent.until = joined, time.Time{}
}

// Renew notes until when a router's stake may be counted on.
func (s *Stakes) Renew(router cell.RouterID, until time.Time) {
	lent := s.of(router.Host())
	if lent.lent && lent.router == router && until.After(lent.until) {
		lent.until = until
	}
}

// Revoke notes that a router no longer lends its stake.
func (s *Stakes) Revoke(router cell.RouterID) {
	lent := s.of(router.Host())
	if lent.router == router {
		lent.lent = false
	}
	s.drop()
}

// HeldSince returns the number of stakes that count now and joined at the given
// time or before, and the total that they are to be divided by.
func (s *Stakes) HeldSince(now, joined time.Time) (held, total int) {
	for i := range s.stakes {
		if lent := &s.stakes[i]; lent.counts(now) && !lent.joined.After(joined) {
			held++
		}
	}
	if s.reduced.After(joined) {
		return held, max(s.total, s.formerTotal)
	}
	return held, s.total
}

// LastJoined returns the latest time at which a stake joined that is after one
// time and not after the other; zero if there is none.
func (s *Stakes) LastJoined(after, by time.Time) time.Time {
	var last time.Time
	for i := range s.stakes {
		lent := &s.stakes[i]
		between := lent.joined.After(after) && !lent.joined.After(by)
		if lent.voter && lent.lent && between && lent.joined.After(last) {
			last = lent.joined
		}
	}
	return last
}

// NextExpiry returns the earliest time after now at which a stake stops counting; zero when none counts.
func (s *Stakes) NextExpiry(now time.Time) time.Time {
	var next time.Time
	for i := range s.stakes {
		lent := &s.stakes[i]
		if lent.counts(now) && (next.IsZero() || lent.until.Before(next)) {
			next = lent.until
		}
	}
	return next
}

func (l *stake) counts(now time.Time) bool {
	return l.voter && l.lent && now.Before(l.until)
}

func (s *Stakes) of(host cell.HostID) *stake {
	for i := range s.stakes {
		if s.stakes[i].host == host {
			return &s.stakes[i]
		}
	}
	s.stakes = append(s.stakes, stake{host: host})
	return &s.stakes[len(s.stakes)-1]
}

func (s *Stakes) drop() {
	kept := s.stakes[:0]
	for _, lent := range s.stakes {
		if lent.voter || lent.lent {
			kept = append(kept, lent)
		}
	}
	s.stakes = kept
}
