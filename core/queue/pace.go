package queue

import "time"

const (
	paceWeight   = 8                      // paceWeight divides the newest interval's difference in an average.
	leastRetry   = 100 * time.Millisecond // leastRetry is the shortest time to come back after.
	unknownRetry = time.Second            // unknownRetry is the time to come back after while no grant has shown a pace.
)

// pace is the average time between two grants.
type pace struct {
	last  time.Time
	every time.Duration
}

func (p *pace) granted(now time.Time) {
	switch {
	case p.last.IsZero():
	case p.every == 0:
		p.every = now.Sub(p.last)
	default:
		p.every += (now.Sub(p.last) - p.every) / paceWeight
	}
	p.last = now
}

// Granted takes in that a team got a grant.
func (q *Queue) Granted(now time.Time, team int32) {
	q.teams[team].pace.granted(now)
	q.pace.granted(now)
}

// DrainTime returns how long a team's queue takes to empty at the pace of its
// grants, or while that is unknown at its part of the pace of all backlogged teams.
func (q *Queue) DrainTime(now time.Time, team int32, backlogged int, most time.Duration) time.Duration {
	of := &q.teams[team]
	every := of.pace.every
	if !of.pace.last.IsZero() {
		every = max(every, now.Sub(of.pace.last))
	}
	if every == 0 {
		every = q.pace.every * time.Duration(max(1, backlogged))
	}
	if every == 0 {
		return unknownRetry
	}
	most = max(leastRetry, most)
	length := time.Duration(max(1, of.list.Length))
	if every > most/length {
		return most
	}
	return max(leastRetry, every*length)
}
