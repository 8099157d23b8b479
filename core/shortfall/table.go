package shortfall

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ryelug/core/cell"
)

// Sum is what became of a team's requests in a second, as far as one router saw them.
type Sum struct {
	Asked   cell.Cost
	Got     cell.Cost
	Largest cell.Cost // Largest is the cost of the largest request.
	Lost    map[Loss]int
}

// Loss is where requests were lost, and how.
type Loss struct {
	Where string
	How   string
}

func (s *Sum) add(other Sum) {
	s.Asked += other.Asked
	s.Got += other.Got
	s.Largest = max(s.Largest, other.Largest)
	if len(other.Lost) > 0 && s.Lost == nil {
		s.Lost = make(map[Loss]int)
	}
	for loss, count := range other.Lost {
		s.Lost[loss] += count
	}
}

func (s *Sum) losesAny() bool {
	for _, count := range s.Lost {
		if count > 0 {
			return true
		}
	}
	return false
}

// Table keeps the sums of all teams.
type Table struct {
	teams map[cell.TeamID]map[int64]*Sum
}

// New returns an empty Table.
func New() *Table { return &Table{teams: make(map[cell.TeamID]map[int64]*Sum)} }

// Add adds what one router saw of a team's requests in a second.
func (t *Table) Add(team cell.TeamID, second time.Time, sum Sum) {
	seconds, ok := t.teams[team]
	if !ok {
		seconds = make(map[int64]*Sum)
		t.teams[team] = seconds
	}
	at, ok := seconds[second.Unix()]
	if !ok {
		at = &Sum{}
		seconds[second.Unix()] = at
	}
	at.add(sum)
}

// Teams returns the teams in order of their names.
func (t *Table) Teams() []cell.TeamID { return slices.Sorted(maps.Keys(t.teams)) }

// best returns what the team that was served best got in each second.
func (t *Table) best() map[int64]cell.Cost {
	best := make(map[int64]cell.Cost)
	for _, seconds := range t.teams {
		for second, sum := range seconds {
			best[second] = max(best[second], sum.Got)
		}
	}
	return best
}

// Least returns, for each team with a span of so many seconds that counts, the one with the least part, the least one first.
func (t *Table) Least(length int) []Span {
	best := t.best()
	var all []Span
	for team, seconds := range t.teams {
		if least, ok := leastOf(team, seconds, best, length); ok {
			all = append(all, least)
		}
	}
	slices.SortFunc(all, func(a, b Span) int {
		return cmp.Or(cmp.Compare(a.Part(), b.Part()), cmp.Compare(a.Team, b.Team))
	})
	return all
}

func leastOf(team cell.TeamID, seconds map[int64]*Sum, best map[int64]cell.Cost, length int) (least Span, found bool) {
	for _, from := range slices.Sorted(maps.Keys(seconds)) {
		span, counts := spanFrom(from, seconds, best, length)
		if counts && (!found || span.Part() < least.Part()) {
			least, found = span, true
		}
	}
	least.Team = team
	return least, found
}

// spanFrom returns the span that begins with a second, and whether it counts.
func spanFrom(from int64, seconds map[int64]*Sum, best map[int64]cell.Cost, length int) (Span, bool) {
	span := Span{From: time.Unix(from, 0)}
	for second := from; second < from+int64(length); second++ {
		sum, ok := seconds[second]
		if !ok || !sum.losesAny() {
			return Span{}, false
		}
		span.add(*sum)
		span.Owed += min(sum.Asked, best[second])
	}
	return span, true
}
