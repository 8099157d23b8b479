package fleettest

import (
	"testing"
	"time"

	"ryelug/standin/endpoint"
	"ryelug/standin/fleet"
	"ryelug/standin/network"
)

// freezeLasts is longer than every timeout of a router but those of whole requests.
const freezeLasts = 15 * time.Second

// Role says which router a fault strikes.
type Role string

// Roles of routers.
const (
	Dispatcher Role = "dispatcher" // Dispatcher is the router that holds most stakes of the engines.
	Entry      Role = "entry"      // Entry is some other router.
)

// Freeze says which routers freeze, and before which engines.
type Freeze struct {
	Role    Role
	Cold    bool          // Cold engines stay so.
	Gap     time.Duration // Gap is the time between tokens of cold engines; zero for a request that outlasts the wait for a stake.
	Resumes bool          // Resumes counts resumed streams towards the cold limit; otherwise only new requests count.
	Waking  network.Waking
	Times   int // Times is the number of routers that freeze, one after another.
	Seed    uint64
}

// WithFreezes runs a loaded fleet in which a router of a role freezes and wakes,
// and then, as often as wanted, the router that has the role by then. It checks what must hold whatever
// fails, and that the frozen routers lose, cross and repeat nothing.
func WithFreezes(t *testing.T, given Freeze) {
	conf := trialConfig{seed: given.Seed, cold: given.Cold, tokenGap: given.Gap, startsOnly: !given.Resumes, services: 2}
	conf.loads = []fleet.Load{{Team: "kiosks", Callers: 10, Service: true}}
	withTrial(t, conf, func(tr *trial) {
		for range given.Times {
			tr.freeze(given)
			time.Sleep(faultAfter)
		}
		tr.after = tr.checkAnswers
	})
}

func (tr *trial) freeze(given Freeze) {
	m := tr.dispatcher()
	if given.Role == Entry {
		m = tr.other(m)
	}
	tr.struck[m.Host] = true
	m.Freeze(given.Waking)
	time.Sleep(freezeLasts)
	m.Thaw()
}

// checkAnswers asserts, for all routers, that each caller got its own tokens or an
// explicit refusal, that no call ran twice, and that "not run" was true.
func (tr *trial) checkAnswers(replies []*fleet.Reply) {
	frozen, whole := 0, 0
	for _, r := range replies {
		if !r.IsOwn() || r.Code == 0 && !r.Whole() {
			tr.Errorf("request %s: code %d, %d events of %d, closed %t", r.ID, r.Code, len(r.Events), r.Tokens, r.Closed)
		}
		if runs := tr.runs(r); runs > 1 && r.Tokens == 0 || runs > 0 && r.NotRun || runs == 0 && r.Whole() {
			tr.Errorf("request %s ran %d times: code %d, not run %t", r.ID, runs, r.Code, r.NotRun)
		}
		if tr.isStruck(r) && r.Took > freezeLasts {
			frozen++
			if r.Whole() {
				whole++
			}
		}
	}
	tr.Logf("%d requests were at a frozen router, %d of them got their whole answer", frozen, whole)
	if frozen == 0 {
		tr.Error("no request was at a frozen router")
	}
}

// runs returns how often a request began to run, at whichever endpoint.
func (tr *trial) runs(r *fleet.Reply) int {
	if tr.ran == nil {
		tr.ran = make(map[string]int)
		for _, e := range tr.Engines {
			tr.count(e.History())
		}
		for _, s := range tr.Services {
			tr.count(s.History())
		}
	}
	return tr.ran[r.ID]
}

func (tr *trial) count(history endpoint.History) {
	for request, runs := range history.Runs {
		tr.ran[request] += runs
	}
}

// checkStarts asserts that no cold engine began to run more requests than it bore, those that it resumes apart.
func (tr *trial) checkStarts() {
	for _, e := range tr.Engines {
		running := make(map[string]bool)
		for _, event := range e.History().Events {
			switch event.Kind {
			case endpoint.Started:
				running[event.Request] = true
				if event.Cold && len(running) > event.Limit {
					tr.Errorf("%s: %d new requests in flight at %v, limit %d", e.Name(), len(running), event.At.Sub(tr.began), event.Limit)
				}
			case endpoint.CompletedRun, endpoint.CancelledRun, endpoint.BrokenRun:
				delete(running, event.Request)
			}
		}
	}
}
