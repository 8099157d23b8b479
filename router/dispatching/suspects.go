package dispatching

import (
	"time"

	"ryelug/core/suspect"
)

const (
	saveInterval     = 50 * time.Millisecond // least time between two requests to write a record at once
	saveSoonInterval = time.Second           // the same if it is not urgent
	// standInDelay is how long a record must lack what a router knows that isn't the cell's dispatcher, until that router has
	// it written. Usually the dispatcher knows it as well, and has done so by then.
	standInDelay = 4 * time.Second
)

// suspectsState is how far the findings of a cell's dispatcher are in the store.
type suspectsState struct {
	askedAt      time.Time // askedAt is when the record was last to be written.
	unsavedSince time.Time // unsavedSince is the time since which the record lacks something; zero if it lacks nothing.
}

// saveSuspects has a cell's record written if it lacks what is known here.
func (r *Role) saveSuspects(now time.Time, cs *cellState) {
	rejecter, ok := cs.dispatcher.(partRejecter)
	if !ok || r.config.SaveSuspects == nil {
		return
	}
	urgency := rejecter.Unsaved()
	isWriter := len(cs.entries) > 0 || urgency == suspect.SaveNow // A former dispatcher knows some crashes alone.
	if urgency == suspect.Saved {
		cs.suspects.unsavedSince = time.Time{}
		if !isWriter || !rejecter.IsRefreshDue() {
			return
		}
		urgency = suspect.SaveSoon
	} else if cs.suspects.unsavedSince.IsZero() {
		cs.suspects.unsavedSince = now
	}
	interval := saveInterval
	if urgency == suspect.SaveSoon {
		interval = saveSoonInterval
	}
	isEarly := !isWriter && now.Sub(cs.suspects.unsavedSince) < standInDelay
	if isEarly || now.Sub(cs.suspects.askedAt) < interval {
		return
	}
	cs.suspects.askedAt = now
	r.config.SaveSuspects(cs.id, rejecter.Suspects(), !isWriter)
}
