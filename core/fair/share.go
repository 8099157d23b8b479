package fair

import (
	"math"
	"slices"
	"time"

	"ryelug/core/cell"
)

const (
	shareInterval = 250 * time.Millisecond // between two computations of the max-min level
	askedSpan     = 2 * time.Second        // time constant of the averages of what teams ask for
	creditSpan    = time.Second            // what a team may save up or owe, at the level
)

// Shares tells which requests lie within their team's max-min share of a rate:
// teams that ask for less than the level get all they ask for, the others the level.
//
// What is granted may be more than the configured rate. Teams that ask for less than their share of
// that count as within it with all that they ask for.
type Shares struct {
	rate    float64
	level   float64 // level is the cost a second that the largest teams get each of the rate.
	granted float64 // granted is an average of the cost granted, a second.
	modest  float64 // modest is the cost a second that the largest teams could get each of what is granted.
	at      time.Time
	teams   []shareOf
	rates   []float64 // rates is scratch space.
}

type shareOf struct {
	asked  float64 // asked is an average of the cost asked for, a second.
	credit float64
}

// SetRate sets the cost a second that teams share; zero means that it is unknown and all is within its share.
func (s *Shares) SetRate(rate float64) { s.rate = rate }

// Grow makes room for teams 0 to n-1.
func (s *Shares) Grow(n int) {
	for len(s.teams) < n {
		s.teams = append(s.teams, shareOf{})
	}
}

// Ask takes in that a team asks for this cost.
func (s *Shares) Ask(now time.Time, team int, cost cell.Cost) {
	s.elapse(now)
	s.teams[team].asked += float64(cost) / askedSpan.Seconds()
}

// Within tells whether a team's next request lies within its share.
func (s *Shares) Within(now time.Time, team int) bool {
	s.elapse(now)
	return s.rate <= 0 || s.teams[team].credit > 0 || s.teams[team].asked < s.modest
}

// Use takes in that a request of a team was granted.
func (s *Shares) Use(team int, cost cell.Cost) {
	of := &s.teams[team]
	of.credit = max(of.credit-float64(cost), -s.level*creditSpan.Seconds()) // Room that nobody else wanted is not paid for later.
	s.granted += float64(cost) / askedSpan.Seconds()
}

// elapse lets the averages fade, computes the level and refills the credits.
func (s *Shares) elapse(now time.Time) {
	if s.at.IsZero() {
		s.at = now.Add(-shareInterval)
	}
	passed := now.Sub(s.at)
	if passed < shareInterval {
		return
	}
	s.at = now
	fade := math.Exp(-passed.Seconds() / askedSpan.Seconds())
	s.rates = s.rates[:0]
	for i := range s.teams {
		s.teams[i].asked *= fade
		s.rates = append(s.rates, s.teams[i].asked)
	}
	s.granted *= fade
	s.level = maxMinLevel(s.rate, s.rates)
	s.modest = maxMinLevel(max(s.rate, s.granted), s.rates)
	most := s.level * creditSpan.Seconds()
	for i := range s.teams {
		s.teams[i].credit = min(most, s.teams[i].credit+s.level*passed.Seconds())
	}
}

// maxMinLevel returns the level at which the teams that ask for more share what the others leave; it orders asked.
func maxMinLevel(rate float64, asked []float64) float64 {
	slices.Sort(asked)
	for i, one := range asked {
		level := rate / float64(len(asked)-i)
		if one >= level {
			return level
		}
		rate -= one
	}
	return rate // No team asks for more than it can get.
}
