package admission

import (
	"cmp"
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// unserved takes in what callers asked an entry for that came no further.
func (d *Dispatcher) unserved(now time.Time, ev *dispatch.Unserved) {
	if _, ok := d.entries.Present(ev.Router, ev.Session); !ok {
		return
	}
	for _, one := range ev.Teams {
		of := d.teamOf(one.Team)
		d.teams[of].active = now
		d.dues.Ask(now, int(of), one.Cost)
		d.dues.Unmet(now, int(of), one.Count)
		d.teams[of].tally.Unserved += one.Count
		d.teams[of].tally.UnservedCost += one.Cost
	}
}

// Behind appends the teams that got too little of what they are owed, those with the least part of it first.
func (d *Dispatcher) Behind(dst []cell.TeamID) []cell.TeamID {
	behind := slices.Clone(d.dues.Behind(d.now))
	slices.SortStableFunc(behind, func(a, b int) int { return cmp.Compare(d.dues.Part(d.now, a), d.dues.Part(d.now, b)) })
	for _, team := range behind {
		dst = append(dst, d.teams[team].id)
	}
	return dst
}
