package placing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/engine"
	"ryelug/core/limit"
	"ryelug/core/placing"
)

const maxPause = 300 * time.Millisecond // maxPause is the longest allowed pause between the events of a stream.

// newPolicy returns a policy with this number of engines of 32 slots.
func newPolicy(engines int) *dispatch.Policy {
	policy := &dispatch.Policy{Engine: &engine.Profile{Slots: 32, Stride: 9}, Gap: maxPause}
	for n := range engines {
		policy.Endpoints = append(policy.Endpoints, dispatch.EndpointPolicy{Endpoint: cell.EndpointID(fmt.Sprint(n)), WarmLimit: 32, Start: "s"})
	}
	return policy
}

// newLoadedTable returns a table of engines that each use 20 of their 32 slots.
func newLoadedTable(now time.Time, engines int) *placing.Table {
	t := placing.New(&limit.Stakes{})
	t.SetPolicy(newPolicy(engines))
	for range 20 * engines {
		choice := t.Choose(now, request(now, 100, false))
		placed, _ := t.Grant(now, choice, &cell.Prompt{})
		t.Begun(now, &placed)
	}
	return t
}

// request returns a request within its team's share, with a prompt of this length and a deadline in 600 ms.
func request(now time.Time, tokens int, long bool) *placing.Request {
	prompt := &cell.Prompt{Parts: []cell.Part{{ID: uint64(tokens), Tokens: tokens}}, Output: 10}
	return &placing.Request{Prompt: prompt, Since: now, Deadline: now.Add(600 * time.Millisecond), Avoid: -1, WithinShare: true, Long: long}
}

// A prompt is read beside other requests if the pauses that this causes in their streams, which grow with its
// length, are short enough.
func TestPromptBesideOthers(t *testing.T) {
	now := time.Now()
	for tokens, want := range map[int]placing.Verdict{20_000: placing.Admitted, 40_000: placing.Hopeless} {
		t.Run(fmt.Sprint(tokens), func(t *testing.T) {
			is.New(t).Equal(newLoadedTable(now, 2).Choose(now, request(now, tokens, false)).Verdict, want)
		})
	}
}

// A few engines are reserved for prompts that would pause the streams of other requests for too long. None is reserved
// while enough long requests are admitted.
func TestEnginesForLongPrompts(t *testing.T) {
	const (
		engines = 30
		free    = 32 - 20 // free is the number of free slots of each engine.
	)
	place := func(is *is.I, table *placing.Table, now time.Time, request *placing.Request) bool {
		choice := table.Choose(now, request)
		if choice.Verdict != placing.Admitted {
			return false
		}
		_, _ = table.Grant(now, choice, request.Prompt)
		return true
	}
	t.Run("few long prompts are admitted", func(t *testing.T) {
		is, now := is.New(t), time.Now()
		table := newLoadedTable(now, engines)
		is.True(!place(is, table, now, request(now, 40_000, true))) // The refusal reserves an engine.
		slots := 0
		for place(is, table, now, request(now, 100, false)) {
			slots++
		}
		is.True(slots < engines*free && slots >= engines*free-32) // All engines but the reserved one, which has the fewest requests, are available.
	})
	t.Run("all engines but one close", func(t *testing.T) {
		is, now := is.New(t), time.Now()
		table := newLoadedTable(now, engines)
		is.True(!place(is, table, now, request(now, 40_000, true)))
		waits := 0
		for last := range engines {
			policy := newPolicy(engines)
			for n := range policy.Endpoints {
				policy.Endpoints[n].Closed = n != last
			}
			table.SetPolicy(policy)
			short := table.Choose(now, request(now, 100, false)).Verdict
			is.Equal(table.Choose(now, request(now, 100, true)).Verdict, short) // A long request gets the same verdict as a short one, whether the open engine is reserved or not.
			if short == placing.Waits {
				waits++
			}
			later := now.Add(time.Minute)
			is.Equal(table.Choose(later, request(later, 100, false)).Verdict, placing.Admitted)
		}
		is.Equal(waits, 1) // The request waits only for the reserved engine.
	})
	t.Run("enough are admitted", func(t *testing.T) {
		is, now := is.New(t), time.Now()
		table := newLoadedTable(now, engines)
		is.True(!place(is, table, now, request(now, 40_000, false)))
		slots := 0
		for place(is, table, now, request(now, 100, false)) {
			slots++
		}
		is.Equal(slots, engines*free)
	})
}
