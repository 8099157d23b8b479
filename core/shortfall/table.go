package shortfall

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ryelug/core/cell"
)

// Sum holds the costs and losses of a team's requests in one second, as one router logged them, or the total of several.
type Sum struct {
	Asked    cell.Cost    // Asked is the cost of all requests, in cost units.
	Received cell.Cost    // Received is the cost of the requests that were granted.
	Largest  cell.Cost    // Largest is the cost of the largest request.
	Lost     map[Loss]int // Lost is the number of rejected requests by place and reason.
}

// Loss identifies the place and the kind of a rejection.
type Loss struct {
	Where string // Where is the dispatcher, or the data centre of the router that rejected the requests itself.
	How   string // How is "at_once" or "later" if a dispatcher rejected them, and the name of the result code if a router did.
}

// add adds the costs and losses of another sum, and keeps the greater Largest.
func (s *Sum) add(other Sum) {
	s.Asked += other.Asked
	s.Received += other.Received
	s.Largest = max(s.Largest, other.Largest)
	if len(other.Lost) > 0 && s.Lost == nil {
		s.Lost = make(map[Loss]int)
	}
	for loss, count := range other.Lost {
		s.Lost[loss] += count
	}
}

// hasLosses reports whether any requests were rejected.
func (s *Sum) hasLosses() bool {
	for _, count := range s.Lost {
		if count > 0 {
			return true
		}
	}
	return false
}

// Table holds the sums of all teams by second. It is not safe for concurrent use.
type Table struct {
	teams map[cell.TeamID]map[int64]*Sum // The inner key is the second in Unix time.
}

// New returns an empty Table.
func New() *Table { return &Table{teams: make(map[cell.TeamID]map[int64]*Sum)} }

// Add adds what one router logged of a team's requests in a second.
func (t *Table) Add(team cell.TeamID, second time.Time, sum Sum) {
	seconds, ok := t.teams[team]
	if !ok {
		seconds = make(map[int64]*Sum)
		t.teams[team] = seconds
	}
	existing, ok := seconds[second.Unix()]
	if !ok {
		existing = &Sum{}
		seconds[second.Unix()] = existing
	}
	existing.add(sum)
}

// Teams returns the teams in ascending order of their names.
func (t *Table) Teams() []cell.TeamID { return slices.Sorted(maps.Keys(t.teams)) }

// best returns for each second, in Unix time, the greatest cost that any team received.
func (t *Table) best() map[int64]cell.Cost {
	best := make(map[int64]cell.Cost)
	for _, seconds := range t.teams {
		for second, sum := range seconds {
			best[second] = max(best[second], sum.Received)
		}
	}
	return best
}

// WorstSpans returns the worst span of each team: the one with the smallest Fraction of all spans of length seconds in each of which the
// team lost requests. Teams without such a span are left out. The result is in ascending order of Fraction.
func (t *Table) WorstSpans(length int) []Span {
	best := t.best()
	var all []Span
	for team, seconds := range t.teams {
		if least, ok := leastOf(team, seconds, best, length); ok {
			all = append(all, least)
		}
	}
	slices.SortFunc(all, func(a, b Span) int {
		return cmp.Or(cmp.Compare(a.Fraction(), b.Fraction()), cmp.Compare(a.Team, b.Team))
	})
	return all
}

// leastOf returns the span of a team with the smallest Fraction, and false if the team has no span in each of whose seconds it lost
// requests.
func leastOf(team cell.TeamID, seconds map[int64]*Sum, best map[int64]cell.Cost, length int) (least Span, found bool) {
	for _, from := range slices.Sorted(maps.Keys(seconds)) {
		span, counts := spanFrom(from, seconds, best, length)
		if counts && (!found || span.Fraction() < least.Fraction()) {
			least, found = span, true
		}
	}
	least.Team = team
	return least, found
}

// spanFrom returns the span that begins with the second from, in Unix time, and reports whether the team lost requests in each of
// its seconds.
func spanFrom(from int64, seconds map[int64]*Sum, best map[int64]cell.Cost, length int) (Span, bool) {
	span := Span{From: time.Unix(from, 0)}
	for second := from; second < from+int64(length); second++ {
		sum, ok := seconds[second]
		if !ok || !sum.hasLosses() {
			return Span{}, false
		}
		span.add(*sum)
		span.Owed += min(sum.Asked, best[second])
	}
	return span, true
}
