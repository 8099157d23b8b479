package dispatching

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/io/wire"
)

const (
	behindEvery  = 250 * time.Millisecond // behindEvery is the least time between two words on who is behind, that in which it is computed anew.
	behindRepeat = time.Second            // behindRepeat is the time after which the word is repeated while somebody is, half of what entries keep it for.
	mostBehind   = 64                     // mostBehind bounds the teams of a word, which goes to all entries, to some hundred bytes.
)

// tellBehind tells the entries of a cell which teams are behind, if that has changed or is to be repeated.
func (r *Role) tellBehind(now time.Time, at *state) {
	from, ok := at.dispatcher.(standing)
	if !ok || len(at.entries) == 0 || now.Sub(at.toldAt) < behindEvery {
		return
	}
	teams := from.Behind(make([]cell.TeamID, 0, mostBehind))
	teams = teams[:min(len(teams), mostBehind)]
	slices.Sort(teams)
	isSame := slices.Equal(teams, at.behind)
	if isSame && (len(teams) == 0 || now.Sub(at.toldAt) < behindRepeat) {
		return
	}
	if !isSame {
		r.config.Log.WithFields(logrus.Fields{"cell": at.id, "behind": teams}).Info("Other teams are behind than before.")
	}
	at.behind, at.toldAt = teams, now
	for router, session := range at.entries {
		r.config.Send(router, &wire.Behind{Cell: at.id, Session: session, Teams: teams})
	}
}
