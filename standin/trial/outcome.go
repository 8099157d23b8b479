package trial

import (
	"slices"
	"strings"
	"time"

	"ryelug/core/fair"
	"ryelug/core/result"
	"ryelug/standin/endpoint"
	"ryelug/standin/fleet"
)

const (
	// HandOver bounds the pause of the fleet after a fault.
	HandOver = 2 * time.Second

	// longestQueue bounds a request's wait: after a hand-over, all 30 callers of the team of the
	// smaller share may queue at a router that a partition has left with its own stake, which is
	// one slot of each of the 4 engines, of which the team gets a fifth for requests of 200 ms.
	longestQueue = HandOver + 30*5*200*time.Millisecond/4

	// longestNotice is how long an engine's turn to cold may go unseen: a poll, the
	// report's lag, and grants that are valid and on their way.
	longestNotice = 250*time.Millisecond + 500*time.Millisecond + 400*time.Millisecond + 200*time.Millisecond
)

// Outcome is what was seen in a trial, and the bounds that it is held to.
type Outcome struct {
	Began time.Time // Began is when the first fault struck.

	// Excesses are the admissions above the limit of a cold engine, but for the time in which a turn
	// to cold can't be known. The warm limit may be passed while stakes change hands.
	Excesses []fleet.Excess
	Starts   []fleet.Excess // Starts are, where resumed streams do not count, the new requests above the limit of a cold engine.
	OverWarm int            // OverWarm is the most requests above a warm limit.

	Broken []*fleet.Reply // Broken are the replies of routers without a fault that are neither whole nor a true refusal.

	Answers    int                      // Answers is the number of whole answers.
	Pause      time.Duration            // Pause is the longest time in which no whole answer began in the whole fleet.
	PauseSince time.Duration            // PauseSince is the time from Began to the start of Pause.
	Waits      map[string]time.Duration // Waits are the longest times to a first event, by team, at routers without a fault.
	PauseBound time.Duration            // PauseBound is zero where a part of the fleet may hold too few stakes for a slot of a cold engine.
	WaitBound  time.Duration            // WaitBound bounds Waits where PauseBound is not zero.

	Gap      float64 // Gap is the difference of the tokens by share of the two teams, both backlogged throughout.
	GapBound float64

	Frozen *Frozen // Frozen is nil for a trial without freezes.
}

// Frozen is what callers got in a trial with freezes.
type Frozen struct {
	Requests int            // Requests is the number of requests that were at a frozen router.
	Whole    int            // Whole is the number of those with their whole answer.
	Strange  []*fleet.Reply // Strange are the replies with tokens of other requests, or without an end and a refusal.
	Misrun   []*fleet.Reply // Misrun are the replies whose requests ran more often than they may, or not as their replies say.
	Runs     map[string]int // Runs counts the runs of each request, at whichever endpoint.
}

// outcome judges the replies and the histories of the endpoints.
func (tr *trial) outcome(replies []*fleet.Reply) *Outcome {
	o := &Outcome{Began: tr.began, Broken: tr.broken(replies)}
	tr.addExcesses(o)
	tr.addPauses(o, replies)
	addGap(o, replies)
	if tr.freezes {
		o.Frozen = tr.frozen(replies)
	}
	return o
}

// addExcesses compares what the engines had in flight with their limits.
func (tr *trial) addExcesses(o *Outcome) {
	for _, excess := range tr.EngineExcesses(longestNotice) {
		switch {
		case !excess.Cold:
			o.OverWarm = max(o.OverWarm, excess.InFlight-excess.Limit)
		case !tr.startsOnly:
			o.Excesses = append(o.Excesses, excess)
		}
	}
	if tr.startsOnly {
		o.Starts = tr.startsInExcess()
	}
}

// startsInExcess returns the starts above what a cold engine bore, those that it resumes apart.
func (tr *trial) startsInExcess() []fleet.Excess {
	var found []fleet.Excess
	for _, e := range tr.Engines {
		running := make(map[string]bool)
		for _, event := range e.History().Events {
			switch event.Kind {
			case endpoint.Started:
				running[event.Request] = true
				if event.Cold && len(running) > event.Limit {
					event.InFlight = len(running)
					found = append(found, fleet.Excess{Excess: endpoint.Excess{Event: event}, Endpoint: e.Name()})
				}
			case endpoint.CompletedRun, endpoint.CancelledRun, endpoint.BrokenRun:
				delete(running, event.Request)
			}
		}
	}
	return found
}

// broken returns the replies of routers without a fault that are neither whole nor a true refusal.
func (tr *trial) broken(replies []*fleet.Reply) []*fleet.Reply {
	var found []*fleet.Reply
	for _, r := range fleet.Broken(replies) {
		if !tr.isStruck(r) && (!r.NotRun || r.Code == result.OK) {
			found = append(found, r)
		}
	}
	return found
}

// isStruck tells whether a request entered at a router that a fault struck.
func (tr *trial) isStruck(r *fleet.Reply) bool {
	for host := range tr.struck {
		if len(r.ID) > len(host) && strings.HasPrefix(r.ID, host) {
			return true
		}
	}
	return false
}

// addPauses finds the longest pause of the fleet and the longest wait of each team.
func (tr *trial) addPauses(o *Outcome, replies []*fleet.Reply) {
	starts := make([]time.Duration, 0, len(replies))
	o.Waits = make(map[string]time.Duration)
	for _, r := range replies {
		if !r.Whole() {
			continue
		}
		starts = append(starts, r.Sent.Add(r.First).Sub(tr.began))
		if !tr.isStruck(r) {
			o.Waits[r.Team] = max(o.Waits[r.Team], r.First)
		}
	}
	o.Answers = len(starts)
	o.Pause, o.PauseSince = longestPause(starts)
	if !tr.cold {
		o.PauseBound, o.WaitBound = HandOver, longestQueue
	}
}

// longestPause returns the longest time between two successive times, and when it began.
func longestPause(times []time.Duration) (longest, since time.Duration) {
	slices.Sort(times)
	for i := 1; i < len(times); i++ {
		if pause := times[i] - times[i-1]; pause > longest {
			longest, since = pause, times[i-1]
		}
	}
	return longest, since
}

// addGap compares the service of the two teams.
func addGap(o *Outcome, replies []*fleet.Reply) {
	service := make(map[string]float64)
	for _, r := range replies {
		service[r.Team] += float64(len(r.Events))
	}
	bound := fair.Bound{LargestCost: 40, Slots: 32, ShareA: 4, ShareB: 1, LeastShare: 1, HandOvers: 4, Unreported: 200}
	o.Gap = service["kiosks"]/4 - service["schools"]
	o.GapBound = fair.GapBound(bound)
}

// frozen judges, for all routers, whether each caller got its own tokens or an explicit
// refusal, whether no call ran twice, and whether "not run" was true.
func (tr *trial) frozen(replies []*fleet.Reply) *Frozen {
	f := &Frozen{Runs: tr.runs()}
	for _, r := range replies {
		if !r.IsOwn() || r.Code == result.OK && !r.Whole() {
			f.Strange = append(f.Strange, r)
		}
		if runs := f.Runs[r.ID]; runs > 1 && r.Tokens == 0 || runs > 0 && r.NotRun || runs == 0 && r.Whole() {
			f.Misrun = append(f.Misrun, r)
		}
		if tr.isStruck(r) && r.Took > freezeLasts {
			f.Requests++
			if r.Whole() {
				f.Whole++
			}
		}
	}
	return f
}

// runs returns how often each request began to run, at whichever endpoint.
func (tr *trial) runs() map[string]int {
	ran := make(map[string]int)
	count := func(history endpoint.History) {
		for request, runs := range history.Runs {
			ran[request] += runs
		}
	}
	for _, e := range tr.Engines {
		count(e.History())
	}
	for _, s := range tr.Services {
		count(s.History())
	}
	return ran
}
