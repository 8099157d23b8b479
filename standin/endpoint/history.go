package endpoint

import (
	"maps"
	"slices"
	"time"
)

// Kind says what an Event is.
type Kind uint8

// Kinds of events.
const (
	Started      Kind = iota + 1 // Started: a request runs from its beginning.
	ResumedRun                   // ResumedRun: a request goes on after a break.
	CompletedRun                 // CompletedRun: a request ran to its end.
	CancelledRun                 // CancelledRun: the caller left or cancelled.
	BrokenRun                    // BrokenRun: the endpoint broke the run off.
	RefusedRun                   // RefusedRun: the endpoint refused before running.
	LimitSet                     // LimitSet: the limit in force is Limit from now on.
	Restarted                    // Restarted: the endpoint starts anew.
)

// Event is one thing that happened, with the state after it.
type Event struct {
	At       time.Time
	Kind     Kind
	Request  string
	Start    string
	InFlight int
	Limit    int
	Cold     bool
}

// History is all that happened at an endpoint, in order.
type History struct {
	Events []Event
	Runs   map[string]int // Runs counts, by request, the runs from the beginning.
}

// Excess is an admission above the limit in force.
type Excess struct {
	Event
	Since time.Duration // Since is the time from when the limit in force was set.
}

func (h *History) add(event Event) {
	h.Events = append(h.Events, event)
	if event.Kind != Started {
		return
	}
	if h.Runs == nil {
		h.Runs = map[string]int{}
	}
	h.Runs[event.Request]++
}

func (h *History) clone() History {
	return History{Events: slices.Clone(h.Events), Runs: maps.Clone(h.Runs)}
}

// Excesses returns the admissions above the limit in force when that limit was in force for longer than grace.
func (h History) Excesses(grace time.Duration) []Excess {
	var found []Excess
	var set time.Time
	for _, event := range h.Events {
		switch event.Kind {
		case LimitSet:
			set = event.At
		case Started, ResumedRun:
			since := event.At.Sub(set)
			if event.InFlight > event.Limit && since >= grace {
				found = append(found, Excess{Event: event, Since: since})
			}
		}
	}
	return found
}

// StartsBetween returns the number of requests that began to run between two times.
func (h History) StartsBetween(from, to time.Time) int {
	count := 0
	for _, event := range h.Events {
		if event.Kind == Started && event.At.After(from) && event.At.Before(to) {
			count++
		}
	}
	return count
}

// HighWater returns the largest number in flight, during cold starts if cold is true and otherwise when warm.
func (h History) HighWater(cold bool) int {
	most := 0
	for _, event := range h.Events {
		if event.Cold == cold {
			most = max(most, event.InFlight)
		}
	}
	return most
}

// Repeated returns the requests that ran from the beginning more than once, in order of name.
func (h History) Repeated() []string {
	var found []string
	for request, runs := range h.Runs {
		if runs > 1 {
			found = append(found, request)
		}
	}
	slices.Sort(found)
	return found
}

// Count returns the number of events of a kind.
func (h History) Count(kind Kind) int {
	count := 0
	for _, event := range h.Events {
		if event.Kind == kind {
			count++
		}
	}
	return count
}

// BusyTime returns the slot time used between from and to.
func (h History) BusyTime(from, to time.Time) time.Duration {
	var busy time.Duration
	last, inFlight := from, 0
	for _, event := range h.Events {
		at := event.At
		if at.After(to) {
			break
		}
		if at.After(last) {
			busy += time.Duration(inFlight) * at.Sub(last)
			last = at
		}
		inFlight = event.InFlight
	}
	return busy + time.Duration(inFlight)*to.Sub(last)
}
