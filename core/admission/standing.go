package admission

import (
	"cmp"
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// handleUnserved records demand that an entry router received from callers but rejected itself, without asking this
// dispatcher for a grant. Events of sessions that have ended are ignored.
func (d *Dispatcher) handleUnserved(now time.Time, ev *dispatch.Unserved) {
	if _, ok := d.entries.FindCurrent(ev.Router, ev.Session); !ok {
		return
	}
	for _, item := range ev.Teams {
		team := d.teamOf(item.Team)
		d.teams[team].active = now
		d.dues.AddDemand(now, int(team), item.Cost)
		d.dues.Unmet(now, int(team), item.Count)
		d.teams[team].tally.Unserved += item.Count
		d.teams[team].tally.UnservedCost += item.Cost
	}
}

// Behind appends to dst the teams whose demand was served for less than their fair part, and returns the result.
// The team that received the smallest fraction of its fair part comes first.
func (d *Dispatcher) Behind(dst []cell.TeamID) []cell.TeamID {
	behind := slices.Clone(d.dues.Behind(d.now))
	slices.SortStableFunc(behind, func(a, b int) int {
		return cmp.Compare(d.dues.ServiceFraction(d.now, a), d.dues.ServiceFraction(d.now, b))
	})
	for _, team := range behind {
		dst = append(dst, d.teams[team].id)
	}
	return dst
}
