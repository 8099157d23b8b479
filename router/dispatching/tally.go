package dispatching

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/dispatch"
)

const (
	tallyEvery = time.Second // tallyEvery is the interval of the lines on teams; shares are looked at by the second.
	tallyLines = 16          // tallyLines bounds the lines of a cell at a time.
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

// logTallies logs what became of the requests of the teams that were refused something, the most refused first.
func (r *Role) logTallies() {
	for id, at := range r.cells {
		counts, ok := at.dispatcher.(tallied)
		if !ok {
			continue
		}
		r.tallies = counts.Tallies(r.tallies[:0])
		r.logWork(at)
		refused := slices.DeleteFunc(r.tallies, func(t dispatch.TeamTally) bool { return t.Refused() == 0 })
		slices.SortFunc(refused, func(a, b dispatch.TeamTally) int { return cmp.Compare(b.Refused(), a.Refused()) })
		for _, tally := range refused[:min(len(refused), tallyLines)] {
			r.config.Log.WithFields(logrus.Fields{
				"cell": id, "team": tally.Team, "asked": tally.Asked, "asked_cost": tally.AskedCost, "granted": tally.Granted,
				"granted_cost": tally.GrantedCost, "beyond": tally.Beyond, "refused_at_once": tally.AtOnce, "refused_later": tally.Later,
				"unserved": tally.Unserved, "unserved_cost": tally.UnservedCost, "part": math.Round(tally.Part*100) / 100,
				"long_asked": tally.LongAsked, "long_granted": tally.LongGranted, "most_waited_ms": tally.MostWaited.Milliseconds(),
			}).Info("Requests of a team were refused.")
		}
	}
}
