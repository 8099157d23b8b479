package admission_test

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"ryelug/core/admission"
	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/engine"
)

const grantOf = "a/1" // grantOf is the entry of these tests.

// desk is a dispatcher with one entry that lends its stake.
type desk struct {
	*admission.Dispatcher
	now     time.Time
	tick    time.Duration // tick is the time between two ticks.
	last    cell.AttemptID
	class   string                       // class is that of the requests to come.
	running map[cell.AttemptID]time.Time // running holds when granted attempts were granted; they begin and end by themselves.
	outcome map[cell.AttemptID]cell.Outcome
	grants  []cell.Grant
	teams   map[cell.AttemptID]cell.TeamID // teams holds who asked.
}

const (
	firstAfter = 100 * time.Millisecond // firstAfter is the time from a grant to the first token.
	endAfter   = 500 * time.Millisecond // endAfter is the time from a grant to the end.
)

func newDesk(policy dispatch.Policy) *desk {
	d := &desk{Dispatcher: admission.New(admission.Config{Cell: "chat"}), now: time.Now(), tick: 50 * time.Millisecond, running: map[cell.AttemptID]time.Time{}, outcome: map[cell.AttemptID]cell.Outcome{}, teams: map[cell.AttemptID]cell.TeamID{}}
	d.Step(d.now, &dispatch.Voters{Hosts: []cell.HostID{"a"}, Total: 1})
	d.Step(d.now, &policy)
	d.Step(d.now, &dispatch.Join{Router: grantOf, Session: 1, Stake: true, Unlent: time.Hour})
	d.pass(10 * time.Second) // All engines are warm by now.
	return d
}

// pass lets time pass in ticks and returns what was decided meanwhile.
func (d *desk) pass(span time.Duration) (actions []dispatch.Action) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(d.tick)
		d.Step(d.now, &dispatch.Renew{Router: grantOf, Session: 1, StakeUntil: d.now.Add(time.Second)})
		d.work()
		actions = append(actions, d.note(d.Step(d.now, &dispatch.Tick{}))...)
	}
	return actions
}

// work lets granted attempts begin and end, in the order of their grants.
func (d *desk) work() {
	for _, attempt := range slices.Sorted(maps.Keys(d.running)) {
		switch age := d.now.Sub(d.running[attempt]); {
		case age >= endAfter:
			delete(d.running, attempt)
			outcome := cmp.Or(d.outcome[attempt], cell.Completed)
			d.note(d.Step(d.now, &dispatch.Ended{Router: grantOf, Ends: []cell.End{{Attempt: attempt, Outcome: outcome}}}))
		case age >= firstAfter:
			d.note(d.Step(d.now, &dispatch.Progressed{Router: grantOf, Session: 1, Progress: []cell.Progress{{Attempt: attempt, FirstToken: age}}}))
		}
	}
}

// note keeps actions beyond the next step and lets what was granted run.
func (d *desk) note(actions []dispatch.Action) []dispatch.Action {
	kept := copies(actions)
	for _, action := range kept {
		if grant, ok := action.(*dispatch.GrantTo); ok {
			d.running[grant.Grant.Attempt] = d.now
			d.grants = append(d.grants, grant.Grant)
		}
	}
	return kept
}

// copies keeps actions beyond the next step.
func copies(actions []dispatch.Action) (kept []dispatch.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case *dispatch.GrantTo:
			one := *action
			kept = append(kept, &one)
		case *dispatch.RefuseTo:
			one := *action
			kept = append(kept, &one)
		}
	}
	return kept
}

func (d *desk) ask(team cell.TeamID, prompt cell.Prompt, within time.Duration) []dispatch.Action {
	d.last++
	if d.teams != nil {
		d.teams[d.last] = team
	}
	demand := cell.Demand{
		Attempt: d.last, Team: team, Class: d.class, Estimate: prompt.Cost(), Prompt: prompt, Due: d.now.Add(within),
	}
	return d.note(d.Step(d.now, &dispatch.Want{Router: grantOf, Session: 1, Demands: []cell.Demand{demand}}))
}

// engines returns the policy of so many engines.
func engines(names ...cell.EndpointID) dispatch.Policy {
	policy := dispatch.Policy{Engine: &engine.Profile{}, Predicted: true, ColdRate: 5, ColdSpan: time.Second}
	for _, name := range names {
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{Endpoint: name, WarmLimit: 64, Start: "s"})
	}
	return policy
}

func prompt(shared uint64, tokens, own int) cell.Prompt {
	return cell.Prompt{Parts: []cell.Part{{ID: shared, Tokens: tokens}, {ID: 1000 + shared, Tokens: own}}, Output: 100}
}

func granted(t *testing.T, actions []dispatch.Action) cell.Grant {
	t.Helper()
	if len(actions) == 1 {
		if grant, ok := actions[0].(*dispatch.GrantTo); ok {
			return grant.Grant
		}
	}
	t.Fatalf("no single grant: %v", actions)
	return cell.Grant{}
}
