package member

import (
	"time"

	"ryelug/core/cell"
)

// recompute derives the voters, the total and the liveness of each host from what is known at the given time.
func (t *Table) recompute(now time.Time) {
	majority := !t.conf.Durable && t.HasMajority() // A durable list needs no confirmation by links.
	if majority {
		t.majorityAt = now
	}
	t.settled = now
	orderChanged, total := false, 0
	votersChanged := t.updateSuspension(now)
	for host, r := range t.hosts {
		votersChanged = t.updateSeen(now, r) || votersChanged
		if t.shouldForget(r, majority) && host != t.conf.Self {
			delete(t.hosts, host)
			orderChanged, votersChanged = true, true
			continue
		}
		if r.departedAt.IsZero() {
			total++
		}
		live := t.isLive(now, host, r)
		settled := now.Sub(r.startedAt) >= t.conf.Damping
		orderChanged = orderChanged || live != r.live || settled != r.settled
		r.live, r.settled = live, settled
	}
	if votersChanged {
		t.voters = t.collect(t.voteCounts)
	}
	t.total = total
	if orderChanged {
		clear(t.orders)
	}
}

// updateSuspension suspends the counting of all stakes while this router is cut off, unless the list is durable, and
// reports whether the suspension has begun or ended. After a long cut-off it is uncertain which stakes count elsewhere,
// because other routers may have forgotten a host that has been listed again since.
func (t *Table) updateSuspension(now time.Time) (changed bool) {
	cutOff := t.CutOff(now) && !t.conf.Durable
	if cutOff == t.suspended {
		return false
	}
	t.suspended = cutOff
	if cutOff {
		t.contactBefore = t.lastContact()
	} else if now.Sub(t.contactBefore) > t.conf.ShrinkDelay-t.conf.Lag {
		t.markVotesUncertain(now)
	}
	return true
}

// markVotesUncertain stops all stakes from counting. Each counts again after the delay of a new host, or as soon as a
// linked host reports that it counts the stake.
func (t *Table) markVotesUncertain(now time.Time) {
	for _, r := range t.hosts {
		r.uncertain = true
		r.votesAt = now.Add(t.conf.Lag + t.conf.CutOffAfter)
	}
	for from := range t.reported {
		t.confirmVotes(now, from)
	}
}

// shouldForget reports whether a host is to be removed. A host that is still seen is kept. A departed host is removed
// otherwise. Any other host is removed if the last accepted list was read more than ShrinkDelay after the host was last
// seen, and HasMajority is true now or the list never loses a host by mistake.
func (t *Table) shouldForget(r *record, majority bool) bool {
	if r.seen {
		return false
	}
	if !r.departedAt.IsZero() {
		return true
	}
	return (majority || t.conf.Durable) && t.readAt.Sub(r.lastSeen) > t.conf.ShrinkDelay
}

// updateSeen records whether the host is listed, linked or reported, and reports whether its stake has begun or ceased to count.
func (t *Table) updateSeen(now time.Time, r *record) bool {
	seen := r.listed || r.up || r.reported > 0
	if seen || r.seen || r.lastSeen.IsZero() {
		r.lastSeen = now
	}
	r.seen = seen
	t.readmitListed(now, r)
	votes := r.listed && r.departedAt.IsZero() && !now.Before(r.votesAt)
	changed := votes != r.voter
	r.voter = votes
	return changed
}

// readmitListed counts a departed host again if the list contains it without the leaving mark and
// departureHold has passed since its departure: the new process on the host may be linked to other
// routers only.
func (t *Table) readmitListed(now time.Time, r *record) {
	if r.listed && !r.member.Leaving && now.Sub(r.departedAt) >= t.departureHold() {
		t.readmit(now, r)
	}
}

// departureHold returns how long after its departure a host does not count, if the list still contains it and no
// link to it comes up. A new process on the host votes only when voteDelay has passed since its start. Routers learn
// of the departure up to departureDelay late, so the result is shorter than voteDelay by that much: every router that
// was told of the departure counts the host again before the new process votes anywhere.
func (t *Table) departureHold() time.Duration {
	return t.conf.Lag + t.conf.CutOffAfter - departureDelay
}

// isLive reports whether the host can dispatch: it is this host, or its link is up or was lost within
// linkLossGrace, and it is neither leaving nor damped. It ends the damping of a link that has stayed up long enough.
func (t *Table) isLive(now time.Time, host cell.HostID, r *record) bool {
	if r.leaving || r.member.Leaving {
		return false
	}
	if host == t.conf.Self {
		return true
	}
	if r.up && now.Sub(r.upAt) >= t.conf.Damping {
		r.damped = false
	}
	inGrace := !r.downAt.IsZero() && now.Sub(r.downAt) < linkLossGrace
	return (r.up || inGrace) && !r.damped
}

// HasMajority reports whether this router is linked to more than half of the hosts that are listed
// or were seen after the last list was read. This router counts as linked to itself.
func (t *Table) HasMajority() bool {
	counted, linked := 0, 0
	for _, r := range t.hosts {
		if !r.listed && !r.lastSeen.After(t.readAt) {
			continue
		}
		counted++
		if r.up {
			linked++
		}
	}
	return 2*linked > counted
}
