package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/engine"
)

var small = engine.Profile{Slots: 2, Memory: 10_000, Prefill: 10 * time.Microsecond, Step: time.Millisecond, StepPerSlot: time.Microsecond, Chunk: 1000, Pairs: 1, Stride: 2}

// seen is what a job's events were, and when.
type seen struct {
	pieces int
	first  time.Duration
	done   time.Duration
}

// run lets an engine work until it is idle.
func run(e *Engine) map[*Job]*seen {
	all, now := make(map[*Job]*seen), time.Duration(0)
	for {
		var told []func()
		took := e.Step(func(job *Job, what Event) {
			told = append(told, func() {
				if all[job] == nil {
					all[job] = &seen{first: now}
				}
				all[job].pieces++
				if what == Done {
					all[job].done = now
				}
			})
		})
		now += took
		for _, one := range told {
			one()
		}
		if took == 0 {
			return all
		}
	}
}

func job(shared uint64, tokens, own, output int) *Job {
	last++
	return &Job{Prompt: cell.Prompt{Parts: []cell.Part{{ID: shared, Tokens: tokens}, {ID: 1000 + last, Tokens: own}}}, Output: output}
}

var last uint64

// A prompt is read in chunks, and a kept part of it only once.
func TestPromptIsReadOnce(t *testing.T) {
	is := is.New(t)
	e := New(small, map[uint64]bool{})
	first, second := job(1, 3000, 500, 4), job(1, 3000, 500, 4)
	e.Add(first)
	all := run(e)
	is.Equal(all[first].pieces, 2)
	is.True(all[first].first > 35*time.Millisecond) // 3,500 tokens take 10 us each, and four steps.
	e.Add(second)
	is.True(run(e)[second].first < 12*time.Millisecond)
	read, again, _ := e.Totals()
	is.Equal([]int{read, again}, []int{4000, 0})
}

// Requests begin in the order of arrival, as many at a time as there are slots, and slow each other.
func TestSlots(t *testing.T) {
	is := is.New(t)
	e := New(small, map[uint64]bool{})
	jobs := []*Job{job(1, 100, 100, 10), job(2, 100, 100, 10), job(3, 100, 100, 10)}
	for i, one := range jobs {
		is.Equal(e.Add(one), i == 0)
	}
	all := run(e)
	is.True(all[jobs[0]].done <= all[jobs[1]].done)
	is.True(all[jobs[2]].first > all[jobs[0]].done)
}

// The parts used least recently yield, never those that a request in the batch uses.
func TestMemoryYields(t *testing.T) {
	is := is.New(t)
	fleet := map[uint64]bool{}
	e := New(small, fleet)
	for shared := range uint64(4) {
		e.Add(job(shared, 3000, 10, 2))
		run(e)
	}
	e.Add(job(3, 3000, 10, 2))
	run(e)
	_, again, _ := e.Totals()
	is.Equal(again, 0)
	e.Add(job(0, 3000, 10, 2))
	run(e)
	_, again, _ = e.Totals()
	is.Equal(again, 3000)
}

// When memory runs out the newest request is put back, and its stream goes on later.
func TestPutBack(t *testing.T) {
	is := is.New(t)
	e := New(engine.Profile{Slots: 2, Memory: 1100, Prefill: 1, Step: time.Millisecond, Stride: 2}, map[uint64]bool{})
	jobs := []*Job{job(1, 10, 490, 60), job(2, 10, 490, 60)}
	for _, one := range jobs {
		e.Add(one)
	}
	all := run(e)
	is.True(all[jobs[0]].done > 0 && all[jobs[1]].done > all[jobs[0]].done)
	_, _, putBack := e.Totals()
	is.True(putBack > 0)
}

// Parts that another engine keeps are copied from there.
func TestFetch(t *testing.T) {
	is := is.New(t)
	fleet := map[uint64]bool{}
	keeper, other := New(small, fleet), New(small, fleet)
	keeper.Add(job(1, 3000, 10, 2))
	run(keeper)
	one := job(1, 3000, 10, 2)
	one.Fetch = keeper
	other.Add(one)
	run(other)
	read, again, _ := other.Totals()
	is.Equal([]int{read, again}, []int{10, 0})
}

// A slow engine takes as much longer, and one that was cleared keeps nothing.
func TestSlowAndCleared(t *testing.T) {
	is := is.New(t)
	e := New(small, map[uint64]bool{})
	one := job(1, 1000, 10, 2)
	e.Add(one)
	usual := run(e)[one].done
	e.Clear()
	e.SetSlow(3)
	one = job(1, 1000, 10, 2)
	e.Add(one)
	is.Equal(run(e)[one].done, 3*usual)
	_, again, _ := e.Totals()
	is.Equal(again, 1000)
}
