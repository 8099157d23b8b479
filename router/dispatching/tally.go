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
	tallyInterval = time.Second // tallyInterval is the interval of the log lines on teams; operators evaluate the teams' shares second by second.
	maxTallyLines = 64          // maxTallyLines limits the lines for a cell in an interval, to about 25 KB.
)

// logWork logs the numbers of new, granted and refused requests of a cell in the current tallies, and how many
// endpoints its dispatcher has looked at for requests since the previous such line. It logs nothing if no requests came.
func (r *Role) logWork(cs *cellState) {
	var asked, granted, refused int
	for i := range r.tallies {
		asked, granted, refused = asked+r.tallies[i].Asked, granted+r.tallies[i].Granted, refused+r.tallies[i].Refused()
	}
	if asked == 0 {
		return
	}
	snapshot := cs.dispatcher.Snapshot()
	r.config.Log.WithFields(logrus.Fields{
		"cell": cs.id, "asked": asked, "granted": granted, "refused": refused, "waiting": snapshot.Waiting, "weighed": snapshot.EndpointsEvaluated - cs.loggedWeighed,
	}).Info("The work of this dispatcher.")
	cs.loggedWeighed = snapshot.EndpointsEvaluated
}

// logTallies logs the granted and refused requests of each team that asked for grants in the second that begins at the given time.
func (r *Role) logTallies(second time.Time) {
	for id, cs := range r.cells {
		reporter, ok := cs.dispatcher.(tallyReporter)
		if !ok {
			continue
		}
		r.tallies = reporter.Tallies(r.tallies[:0])
		r.logWork(cs)
		for _, tally := range selectTallies(r.tallies) {
			r.config.Log.WithFields(logrus.Fields{
				"second": second.Unix(),
				"cell":   id, "team": tally.Team, "asked": tally.Asked, "asked_cost": tally.AskedCost, "granted": tally.Granted,
				"granted_cost": tally.GrantedCost, "beyond": tally.Beyond, "refused_at_once": tally.RefusedOnArrival, "refused_later": tally.RefusedAfterWait,
				"unserved": tally.Unserved, "unserved_cost": tally.UnservedCost, "part": math.Round(tally.ServiceFraction*100) / 100,
				"long_asked": tally.LongAsked, "long_granted": tally.LongGranted, "most_waited_ms": tally.MostWaited.Milliseconds(),
				"largest": tally.Largest,
			}).Info(operator.TeamLine)
		}
	}
}

// selectTallies returns the tallies to log, at most maxTallyLines: first the team with
// the largest granted cost, then the others in descending order of refused requests. It reorders its argument.
func selectTallies(tallies []dispatch.TeamTally) []dispatch.TeamTally {
	if len(tallies) == 0 {
		return nil
	}
	slices.SortFunc(tallies, func(a, b dispatch.TeamTally) int { return cmp.Compare(b.GrantedCost, a.GrantedCost) })
	slices.SortStableFunc(tallies[1:], func(a, b dispatch.TeamTally) int { return cmp.Compare(b.Refused(), a.Refused()) })
	return tallies[:min(len(tallies), maxTallyLines)]
}
