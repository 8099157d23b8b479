package dispatching

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/io/wire"
)

const (
	behindInterval       = 250 * time.Millisecond // behindInterval is the least time between two messages that name the teams which are behind; the dispatcher recomputes these teams at the same interval.
	behindRepeatInterval = time.Second            // behindRepeatInterval is the interval at which an unchanged message is repeated while a team is behind: half the time for which entries keep it.
	maxBehindTeams       = 64                     // maxBehindTeams limits the teams in one message to a few hundred bytes, since it goes to all entries.
)

// sendBehind tells the entries of a cell which teams are behind, that is, have been served
// much less than their share. It sends a message when the teams have changed, and repeats it while there are any.
func (r *Role) sendBehind(now time.Time, cs *cellState) {
	reporter, ok := cs.dispatcher.(behindReporter)
	if !ok || len(cs.entries) == 0 || now.Sub(cs.behindSentAt) < behindInterval {
		return
	}
	teams := reporter.Behind(make([]cell.TeamID, 0, maxBehindTeams))
	teams = teams[:min(len(teams), maxBehindTeams)]
	slices.Sort(teams)
	isSame := slices.Equal(teams, cs.sentBehind)
	if isSame && (len(teams) == 0 || now.Sub(cs.behindSentAt) < behindRepeatInterval) {
		return
	}
	if !isSame {
		r.config.Log.WithFields(logrus.Fields{"cell": cs.id, "behind": teams}).Info("Other teams are behind than before.")
	}
	cs.sentBehind, cs.behindSentAt = teams, now
	for router, session := range cs.entries {
		r.config.Send(router, &wire.Behind{Cell: cs.id, Session: session, Teams: teams})
	}
}
