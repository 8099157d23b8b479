package queue

import "time"

const (
	averageDivisor   = 8                      // averageDivisor is the inverse of the newest interval's weight in the moving average.
	minDrainTime     = 100 * time.Millisecond // minDrainTime is the shortest drain time that is returned, as refused callers retry after it.
	unknownDrainTime = time.Second            // unknownDrainTime is the drain time that is returned until the rate of grants is known.
)

// grantInterval is the moving average of the time between two grants.
type grantInterval struct {
	last    time.Time     // last is the time of the last grant; zero before the first.
	average time.Duration // average is the moving average; zero before the second grant.
}

// granted adds a grant to the average.
func (p *grantInterval) granted(now time.Time) {
	switch {
	case p.last.IsZero():
	case p.average == 0:
		p.average = now.Sub(p.last)
	default:
		p.average += (now.Sub(p.last) - p.average) / averageDivisor
	}
	p.last = now
}

// Granted records a grant to the team, which updates its rate and that of all teams.
func (q *Queue) Granted(now time.Time, team int32) {
	q.teams[team].grantInterval.granted(now)
	q.grantInterval.granted(now)
}

// DrainTime returns the estimated time until the team's queue is empty, at the rate of the team's grants. While
// this rate is unknown, it assumes that the rate of all grants is divided evenly among the backlogged teams, whose
// number the caller passes. The result lies between minDrainTime and most, and is minDrainTime if most is
// shorter. While no rate is known at all, it is unknownDrainTime whatever most is.
func (q *Queue) DrainTime(now time.Time, team int32, backlogged int, most time.Duration) time.Duration {
	state := &q.teams[team]
	average := state.grantInterval.average
	if !state.grantInterval.last.IsZero() {
		average = max(average, now.Sub(state.grantInterval.last))
	}
	if average == 0 {
		average = q.grantInterval.average * time.Duration(max(1, backlogged))
	}
	if average == 0 {
		return unknownDrainTime
	}
	most = max(minDrainTime, most)
	length := time.Duration(max(1, state.list.Length))
	if average > most/length {
		return most
	}
	return max(minDrainTime, average*length)
}
