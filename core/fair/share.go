package fair

import (
	"math"
	"slices"
	"time"

	"ryelug/core/cell"
)

const (
	shareInterval         = 250 * time.Millisecond // shareInterval is the time between two computations of the levels.
	averagingTimeConstant = 2 * time.Second        // averagingTimeConstant is the time constant of the averages of demand and of grants.
	creditLimit           = time.Second            // creditLimit is the time at the level that a team may accumulate as credit or as debt.
)

// Shares decides which requests lie within their team's max-min share of a service rate: teams that ask for less
// than a common level get all of their demand, and the others get that level.
//
// More than the configured rate may be granted. Teams that ask for less than their share of the granted rate count
// as within their share with all of their demand.
type Shares struct {
	rate         float64   // rate is the configured service rate in cost units per second; zero or less if unknown.
	level        float64   // level is the max-min level of the configured rate, in cost units per second and team.
	granted      float64   // granted is the average granted cost per second.
	grantedLevel float64   // grantedLevel is the max-min level of the configured or the granted rate, whichever is larger, in cost units per second and team.
	updatedAt    time.Time // updatedAt is the time of the last computation of the levels.
	teams        []teamShare
	rates        []float64 // rates is a scratch buffer for the demands of the teams.
}

// teamShare is the demand and the credit of one team.
type teamShare struct {
	asked  float64 // asked is the average cost asked for per second.
	credit float64 // credit is the cost that the team may use up and be within its share; negative after use beyond it.
}

// SetRate sets the service rate that teams share, in cost units per second. Zero means unknown: every request is
// then within its team's share.
func (s *Shares) SetRate(rate float64) { s.rate = rate }

// Grow adds teams up to n-1.
func (s *Shares) Grow(n int) {
	for len(s.teams) < n {
		s.teams = append(s.teams, teamShare{})
	}
}

// AddDemand adds a request's cost to its team's demand.
func (s *Shares) AddDemand(now time.Time, team int, cost cell.Cost) {
	s.update(now)
	s.teams[team].asked += float64(cost) / averagingTimeConstant.Seconds()
}

// WithinShare reports whether a team's next request lies within its share.
func (s *Shares) WithinShare(now time.Time, team int) bool {
	s.update(now)
	return s.rate <= 0 || s.teams[team].credit > 0 || s.teams[team].asked < s.grantedLevel
}

// Charge deducts the cost of a granted request from its team's credit.
func (s *Shares) Charge(team int, cost cell.Cost) {
	share := &s.teams[team]
	share.credit = max(share.credit-float64(cost), -s.level*creditLimit.Seconds()) // The debt is bounded, so that use of spare capacity does not count against the team for long.
	s.granted += float64(cost) / averagingTimeConstant.Seconds()
}

// update decays the averages, recomputes the levels and refills the credits, at most once per shareInterval.
func (s *Shares) update(now time.Time) {
	if s.updatedAt.IsZero() {
		s.updatedAt = now.Add(-shareInterval)
	}
	passed := now.Sub(s.updatedAt)
	if passed < shareInterval {
		return
	}
	s.updatedAt = now
	decay := math.Exp(-passed.Seconds() / averagingTimeConstant.Seconds())
	s.rates = s.rates[:0]
	for i := range s.teams {
		s.teams[i].asked *= decay
		s.rates = append(s.rates, s.teams[i].asked)
	}
	s.granted *= decay
	s.level = maxMinLevel(s.rate, s.rates)
	s.grantedLevel = maxMinLevel(max(s.rate, s.granted), s.rates)
	most := s.level * creditLimit.Seconds()
	for i := range s.teams {
		s.teams[i].credit = min(most, s.teams[i].credit+s.level*passed.Seconds())
	}
}

// maxMinLevel returns the max-min level of the rate for these demands: the demands above it share equally what the others
// leave. It sorts asked in place.
func maxMinLevel(rate float64, asked []float64) float64 {
	slices.Sort(asked)
	for i, demand := range asked {
		level := rate / float64(len(asked)-i)
		if demand >= level {
			return level
		}
		rate -= demand
	}
	return rate // The rate exceeds the total demand.
}
