package rollout

import (
	"fmt"
	"math"
	"strings"

	"ryelug/core/cell"
)

// notePrefix begins the names of notes. Team names of the platform never begin like this.
const notePrefix = "@rollout/"

// notes are the names of what a judge tells its successor by way of the entries, which bring the team counters of their former
// dispatcher along. The entries keep the largest counter of each name for some seconds, so a note that is no longer told stays known.
type notes struct {
	sound cell.TeamID // sound is odd while a judge that was not late has enough samples and finds nothing wrong, in the last stage, and even while it no longer does.
	good  cell.TeamID // good says that its verdict is Completed.
	bad   cell.TeamID // bad says that it found the target bad.
}

// heard is what earlier judges found.
type heard struct {
	sound  float64 // sound is the largest counter of that note.
	isGood bool
}

func (h *heard) isSound() bool { return math.Mod(h.sound, 2) == 1 }

// IsNote reports whether a team counter is a note about a roll-out.
func IsNote(counter *cell.TeamCounter) bool {
	return strings.HasPrefix(string(counter.Team), notePrefix)
}

// setNotes sets the names of the order's notes.
func (t *Trial) setNotes() {
	prefix := fmt.Sprintf("%s%s/%d/", notePrefix, t.order.Target, t.order.Revision)
	t.notes = notes{sound: cell.TeamID(prefix + "sound"), good: cell.TeamID(prefix + "good"), bad: cell.TeamID(prefix + "bad")}
}

// Notes appends the notes for a successor of this dispatcher, and returns the extended slice. There are none once the store has a final
// state.
func (t *Trial) Notes(dst []cell.TeamCounter) []cell.TeamCounter {
	note, value := cell.TeamID(""), 1.0
	switch {
	case t.isRemoved || t.order.State != Running:
	case t.isStopped || t.state == RolledBack:
		note = t.notes.bad
	case t.state == Completed:
		note = t.notes.good
	case t.told > 0:
		note, value = t.notes.sound, t.told
	}
	if note == "" {
		return dst
	}
	return append(dst, cell.TeamCounter{Team: note, Service: value})
}

// Learn takes over the note of an earlier judge; it ignores those about other orders.
func (t *Trial) Learn(note *cell.TeamCounter) {
	switch note.Team {
	case t.notes.sound:
		t.heard.sound = max(t.heard.sound, note.Service)
	case t.notes.good:
		t.heard.isGood = true
	case t.notes.bad:
		if !t.isStopped {
			t.isStopped, t.reason = true, "an earlier judge found the target bad"
		}
	}
}
