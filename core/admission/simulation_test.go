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

const entryRouter = "a/1" // entryRouter is the only entry router of these tests.

// simulation runs a dispatcher of one entry that has lent its stake, with simulated time and endpoints.
type simulation struct {
	*admission.Dispatcher
	now     time.Time
	tick    time.Duration // tick is the time between two Tick events.
	last    cell.AttemptID
	class   string                       // class is the request class of the demands that ask sends.
	running map[cell.AttemptID]time.Time // running maps granted attempts to the times of their grants; record and advanceAttempts start and ends them.
	// outcome sets the outcomes of attempts; the default is cell.Completed.
	outcome map[cell.AttemptID]cell.Outcome
	grants  []cell.Grant
	teams   map[cell.AttemptID]cell.TeamID // teams maps attempts to the teams that asked; nil records none.
}

const (
	firstAfter = 100 * time.Millisecond // firstAfter is the time from a grant to the first token.
	endAfter   = 500 * time.Millisecond // endAfter is the time from a grant to the end of the attempt.
)

func newSimulation(policy dispatch.Policy) *simulation {
	d := &simulation{Dispatcher: admission.New(admission.Config{Cell: "chat"}), now: time.Now(), tick: 50 * time.Millisecond, running: map[cell.AttemptID]time.Time{}, outcome: map[cell.AttemptID]cell.Outcome{}, teams: map[cell.AttemptID]cell.TeamID{}}
	d.Step(d.now, &dispatch.Voters{Hosts: []cell.HostID{"a"}, Total: 1})
	d.Step(d.now, &policy)
	d.Step(d.now, &dispatch.Join{Router: entryRouter, Session: 1, Stake: true, UncountedFor: time.Hour})
	d.pass(10 * time.Second) // long enough for all engines to be warm
	return d
}

// pass advances the time by span in ticks, runs the granted attempts, and returns the resulting grants and refusals.
func (d *simulation) pass(span time.Duration) (actions []dispatch.Action) {
	for end := d.now.Add(span); d.now.Before(end); {
		d.now = d.now.Add(d.tick)
		d.Step(d.now, &dispatch.Renew{Router: entryRouter, Session: 1, StakeUntil: d.now.Add(time.Second)})
		d.advanceAttempts()
		actions = append(actions, d.record(d.Step(d.now, &dispatch.Tick{}))...)
	}
	return actions
}

// advanceAttempts reports first tokens and ends of the granted attempts that are due, in the order of the attempts'
// numbers.
func (d *simulation) advanceAttempts() {
	for _, attempt := range slices.Sorted(maps.Keys(d.running)) {
		switch age := d.now.Sub(d.running[attempt]); {
		case age >= endAfter:
			delete(d.running, attempt)
			outcome := cmp.Or(d.outcome[attempt], cell.Completed)
			d.record(d.Step(d.now, &dispatch.Ended{Router: entryRouter, Ends: []cell.End{{Attempt: attempt, Outcome: outcome}}}))
		case age >= firstAfter:
			d.record(d.Step(d.now, &dispatch.Progressed{Router: entryRouter, Session: 1, Progress: []cell.Progress{{Attempt: attempt, FirstToken: age}}}))
		}
	}
}

// record copies the actions, so that they stay valid after the next Step, and starts the granted attempts.
func (d *simulation) record(actions []dispatch.Action) []dispatch.Action {
	kept := copyActions(actions)
	for _, action := range kept {
		if grant, ok := action.(*dispatch.GrantTo); ok {
			d.running[grant.Grant.Attempt] = d.now
			d.grants = append(d.grants, grant.Grant)
		}
	}
	return kept
}

// copyActions returns copies of the grants and refusals, which stay valid after the next Step.
func copyActions(actions []dispatch.Action) (kept []dispatch.Action) {
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

// ask submits one demand whose deadline is within from now, and returns the actions of that Step.
func (d *simulation) ask(team cell.TeamID, prompt cell.Prompt, within time.Duration) []dispatch.Action {
	d.last++
	if d.teams != nil {
		d.teams[d.last] = team
	}
	demand := cell.Demand{
		Attempt: d.last, Team: team, Class: d.class, Estimate: prompt.Cost(), Prompt: prompt, Deadline: d.now.Add(within),
	}
	return d.record(d.Step(d.now, &dispatch.Want{Router: entryRouter, Session: 1, Demands: []cell.Demand{demand}}))
}

// engines returns a policy with one warm engine for each name.
func engines(names ...cell.EndpointID) dispatch.Policy {
	policy := dispatch.Policy{Engine: &engine.Profile{}, Predicted: true, ColdRate: 5, ColdSpan: time.Second}
	for _, name := range names {
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{Endpoint: name, WarmLimit: 64, Start: "s"})
	}
	return policy
}

// prompt returns a prompt with a first part that other prompts with the same number share, and a second part.
func prompt(shared uint64, tokens, own int) cell.Prompt {
	return cell.Prompt{Parts: []cell.Part{{ID: shared, Tokens: tokens}, {ID: 1000 + shared, Tokens: own}}, Output: 100}
}

// granted returns the grant if it is the only action, and fails the test otherwise.
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
