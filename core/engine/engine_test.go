package engine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/engine"
)

var began = time.Unix(1000, 0)

func prompt(shared uint64, tokens, own int) *cell.Prompt {
	return &cell.Prompt{Parts: []cell.Part{{ID: shared, Tokens: tokens}, {ID: shared + 1000, Tokens: own}}, Output: 100}
}

func predict(e *engine.Engine, now time.Time, prompt *cell.Prompt, fetch bool) engine.Prediction {
	return e.Predict(now, prompt, e.Missing(prompt), fetch)
}

// Prompts are read one after the other, and cached parts are not read again.
func TestPrefill(t *testing.T) {
	is := is.New(t)
	e := engine.New(engine.Profile{Prefill: 10 * time.Microsecond, Step: time.Nanosecond, StepPerSlot: time.Nanosecond, Pairs: time.Nanosecond, FirstLatency: 50 * time.Millisecond})
	is.Equal(predict(e, began, prompt(1, 6000, 4000), false).First.Round(time.Millisecond), 150*time.Millisecond)
	run := e.Admit(began, prompt(1, 6000, 4000), false)
	seen := predict(e, began, prompt(1, 6000, 4000), false)
	is.Equal(e.Missing(prompt(1, 6000, 4000)), engine.Missing{Tokens: 4000})
	is.Equal(seen.First.Round(time.Millisecond), 190*time.Millisecond)
	other := predict(e, began, prompt(2, 6000, 4000), true) // The shared part of this prompt is copied from another engine.
	is.Equal(other.First.Round(time.Millisecond), 190*time.Millisecond)
	now := began.Add(150 * time.Millisecond)
	e.Begun(now, &run)
	e.Ended(now.Add(time.Second), &run)
	is.Equal(e.Running(), 0)
	is.Equal(predict(e, now.Add(time.Second), prompt(1, 6000, 4000), false).First.Round(time.Millisecond), 50*time.Millisecond) // All parts are cached.
}

// A request whose first token is overdue raises the predicted times of later requests.
func TestSilentEngine(t *testing.T) {
	is := is.New(t)
	e := engine.New(engine.Profile{})
	run := e.Admit(began, prompt(1, 100, 100), false)
	soon := predict(e, began.Add(100*time.Millisecond), prompt(2, 100, 100), false).First
	late := predict(e, began.Add(2*time.Second), prompt(2, 100, 100), false).First
	is.True(late > soon+1500*time.Millisecond)
	e.Ended(began.Add(2*time.Second), &run)
	is.True(predict(e, began.Add(2*time.Second), prompt(2, 100, 100), false).First < 200*time.Millisecond)
}

// The delay of a router that reports late does not count against the engine once later requests of other routers
// have begun.
func TestSlowRouter(t *testing.T) {
	is := is.New(t)
	e := engine.New(engine.Profile{})
	slow := e.Admit(began, prompt(1, 100, 100), false)
	now := began.Add(500 * time.Millisecond)
	is.True(predict(e, now, prompt(2, 100, 100), false).First > 400*time.Millisecond)
	other := e.Admit(now, prompt(2, 100, 100), false)
	now = now.Add(100 * time.Millisecond)
	e.Begun(now, &other)
	is.True(predict(e, now, prompt(3, 100, 100), false).First < 150*time.Millisecond)
	e.Begun(now.Add(3*time.Second), &slow)
	e.Ended(now.Add(3*time.Second), &slow)
	is.True(predict(e, now.Add(3*time.Second), prompt(3, 100, 100), false).First < 150*time.Millisecond)
}

// An engine that was slow is predicted to be slow, but tried again after a while.
func TestSlowEngineIsTriedAgain(t *testing.T) {
	is := is.New(t)
	e := engine.New(engine.Profile{})
	now := began
	for range 20 {
		run := e.Admit(now, prompt(1, 100, 100), false)
		now = now.Add(time.Second)
		e.Begun(now, &run)
		e.Ended(now, &run)
	}
	slow := predict(e, now, prompt(1, 100, 100), false).First
	is.True(slow > 500*time.Millisecond)
	is.True(predict(e, now.Add(10*time.Second), prompt(1, 100, 100), false).First < slow/2)
}

// Shared parts take memory once, however many requests use them; each request's own part and answer take memory of
// their own.
func TestMemory(t *testing.T) {
	is := is.New(t)
	e := engine.New(engine.Profile{Memory: 10_000})
	var runs []engine.Run
	for predict(e, began, prompt(1, 5000, 400), false).Fits {
		runs = append(runs, e.Admit(began, prompt(1, 5000, 400), false))
	}
	is.Equal(len(runs), 19) // of 500 tokens each, in 95 % of the memory
	is.True(e.Missing(prompt(1, 5000, 400)).Shared > 0)
	for i := range runs {
		e.Begun(began, &runs[i])
		e.Ended(began, &runs[i])
	}
	is.True(predict(e, began, prompt(1, 5000, 400), false).Fits)
}

// The least recently used parts are evicted first, and a cached part is only used if all parts before it are cached.
func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	is := is.New(t)
	e := engine.New(engine.Profile{Memory: 1000})
	for id := range uint64(3) {
		e.AddCached(cell.Part{ID: id + 1, Tokens: 400})
	}
	chain := func(ids ...uint64) *cell.Prompt {
		prompt := &cell.Prompt{}
		for _, id := range append(ids, 99) {
			prompt.Parts = append(prompt.Parts, cell.Part{ID: id, Tokens: 400})
		}
		return prompt
	}
	is.True(e.Missing(chain(1)).Shared > 0)
	is.True((e.Missing(chain(2, 3)).Shared == 0))
	is.True(e.Missing(chain(1, 3)).Shared > 0)
	is.Equal(e.Missing(chain(1, 3)).Shared, 800)
}

// The work of an engine in a pause takes longer, also what was sent before, and a pause that ends leaves the order of the
// predicted ends as it was: Begun looks them up by it.
func TestPaceScalesTheWork(t *testing.T) {
	is := is.New(t)
	e := engine.New(engine.Profile{Prefill: 10 * time.Microsecond, Step: time.Nanosecond, StepPerSlot: time.Nanosecond, Pairs: time.Nanosecond, FirstLatency: 50 * time.Millisecond})
	usual := predict(e, began, prompt(1, 6000, 4000), false)
	e.SetPace(began, 1)
	is.Equal(predict(e, began, prompt(1, 6000, 4000), false), usual)
	e.SetPace(began, 2.5)
	is.Equal(predict(e, began, prompt(1, 6000, 4000), false).First.Round(time.Millisecond), 300*time.Millisecond)
	e.SetPace(began, 1)

	first := e.Admit(began, prompt(1, 6000, 4000), false)
	e.SetPace(began, 2.5)
	is.Equal(predict(e, began, prompt(2, 0, 10), false).Wait.Round(time.Millisecond), 250*time.Millisecond)
	second := e.Admit(began, prompt(2, 6000, 4000), false)
	e.SetPace(began, 0.1)
	third := e.Admit(began, prompt(3, 6000, 4000), false)
	for i, run := range []*engine.Run{&first, &second, &third} {
		now := began.Add(time.Duration(1+i) * time.Second)
		e.Begun(now, run)
		e.Ended(now, run)
	}
	is.Equal(e.Running(), 0)
	is.Equal(predict(e, began.Add(time.Minute), prompt(4, 0, 10), false).Wait, time.Duration(0))
}
