package shortfall

import (
	"time"

	"ryelug/core/cell"
)

// spared is how many of its largest requests a team may lack; the users' rule spares as many.
const spared = 3

// Span is what became of a team's requests in some seconds.
type Span struct {
	Sum
	Team cell.TeamID
	From time.Time
	Owed cell.Cost
}

// Plain returns the part of its due that the team got.
func (s *Span) Plain() float64 { return part(s.Got, s.Owed) }

// Part returns the part of its due, less a few of its largest requests, that the team got; 1 if that was all or more.
func (s *Span) Part() float64 { return min(1, part(s.Got, s.Owed-spared*s.Largest)) }

func part(got, due cell.Cost) float64 {
	if due <= 0 {
		return 1
	}
	return float64(got) / float64(due)
}
