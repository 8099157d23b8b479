package dispatching

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/dispatch"
	"ryelug/io/operator"
)

const (
	tallyEvery = time.Second // tallyEvery is the interval of the lines on teams; shares are looked at by the second.
	tallyLines = 64          // tallyLines bounds the lines of a cell at a time, to some 25 KB.
)

// logWork logs what the demands of the last tallies have cost this dispatcher, if there were any.
func (r *Role) logWork(at *state) {
	var asked, granted, refused int
	for i := range r.tallies {
		asked, granted, refused = asked+r.tallies[i].Asked, granted+r.tallies[i].Granted, refused+r.tallies[i].Refused()
	}
	if asked == 0 {
		return
	}
	shot := at.dispatcher.Snapshot()
	r.config.Log.WithFields(logrus.Fields{
		"cell": at.id, "asked": asked, "granted": granted, "refused": refused, "waiting": shot.Waiting, "weighed": shot.Weighed - at.weighed,
	}).Info("The work of this dispatcher.")
	at.weighed = shot.Weighed
}

// logTallies logs what became of the requests of each team that asked for something in a second.
func (r *Role) logTallies(second time.Time) {
	for id, at := range r.cells {
		counts, ok := at.dispatcher.(tallied)
		if !ok {
			continue
		}
		r.tallies = counts.Tallies(r.tallies[:0])
		r.logWork(at)
		for _, tally := range mostTelling(r.tallies) {
			r.config.Log.WithFields(logrus.Fields{
				"second": second.Unix(),
				"cell":   id, "team": tally.Team, "asked": tally.Asked, "asked_cost": tally.AskedCost, "granted": tally.Granted,
				"granted_cost": tally.GrantedCost, "beyond": tally.Beyond, "refused_at_once": tally.AtOnce, "refused_later": tally.Later,
				"unserved": tally.Unserved, "unserved_cost": tally.UnservedCost, "part": math.Round(tally.Part*100) / 100,
				"long_asked": tally.LongAsked, "long_granted": tally.LongGranted, "most_waited_ms": tally.MostWaited.Milliseconds(),
				"largest": tally.Largest,
			}).Info(operator.TeamLine)
		}
	}
}

// mostTelling returns the team that was served best and then those that were refused most, as many as are logged.
func mostTelling(tallies []dispatch.TeamTally) []dispatch.TeamTally {
	if len(tallies) == 0 {
		return nil
	}
	slices.SortFunc(tallies, func(a, b dispatch.TeamTally) int { return cmp.Compare(b.GrantedCost, a.GrantedCost) })
	slices.SortStableFunc(tallies[1:], func(a, b dispatch.TeamTally) int { return cmp.Compare(b.Refused(), a.Refused()) })
	return tallies[:min(len(tallies), tallyLines)]
}
