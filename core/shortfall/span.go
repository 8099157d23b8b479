package shortfall

import (
	"time"

	"ryelug/core/cell"
)

// toleratedRequests is the shortfall that the guarantee to users allows in a span, in multiples of the cost of the team's largest
// request.
const toleratedRequests = 3

// Span holds the sum of a team's requests in consecutive seconds.
type Span struct {
	Sum
	Team cell.TeamID
	From time.Time // From is the start of the first second.
	Owed cell.Cost // Owed is the team's due, in cost units.
}

// RawFraction returns the fraction of its due that the team received; 1 if nothing was due.
func (s *Span) RawFraction() float64 { return fraction(s.Received, s.Owed) }

// Fraction returns the fraction of its due that the team received, after three times the cost of its largest request is subtracted
// from the due. It is at most 1, and 1 if nothing is left of the due.
func (s *Span) Fraction() float64 {
	return min(1, fraction(s.Received, s.Owed-toleratedRequests*s.Largest))
}

// fraction returns the fraction of its due that a team received, and 1 if nothing was due.
func fraction(received, due cell.Cost) float64 {
	if due <= 0 {
		return 1
	}
	return float64(received) / float64(due)
}
