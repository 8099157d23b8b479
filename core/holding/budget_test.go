package holding_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/holding"
)

var start = time.Unix(1_000_000, 0)

func newBudget(size int64) *holding.Budget {
	return holding.New(holding.Config{Size: size, StallAfter: time.Second})
}

func body(client string) *holding.Holder {
	return &holding.Holder{Kind: holding.Bodies, Client: client, Evict: func() {}}
}

// Guards against the eviction of a slow but steady client in place of one that has stopped.
func TestStalledHolderIsEvictedFirst(t *testing.T) {
	is := is.New(t)
	b := newBudget(400)
	steady, stopped, next := body("a"), body("b"), body("c")
	ok, _ := b.Take(start, steady, 200)
	is.True(ok)
	ok, _ = b.Take(start, stopped, 100)
	is.True(ok)
	b.Progress(start.Add(time.Second), steady)
	ok, victim := b.Take(start.Add(1500*time.Millisecond), next, 50)
	is.True(!ok)
	is.Equal(victim, stopped)
	is.Equal(b.Evicted(stopped), holding.Stalled)
	ok, victim = b.Take(start.Add(1500*time.Millisecond), next, 50)
	is.True(!ok)
	is.Equal(victim, nil) // Enough bytes are being released.
	b.End(stopped)
	ok, _ = b.Take(start.Add(1500*time.Millisecond), next, 50)
	is.True(ok)
}

// Guards against the eviction of a small client while another one with many bodies fills the budget.
func TestLargestClientIsEvicted(t *testing.T) {
	is := is.New(t)
	b := newBudget(400)
	single, first, second := body("a"), body("b"), body("b")
	for _, one := range []struct {
		holder *holding.Holder
		bytes  int64
	}{{single, 110}, {first, 100}, {second, 90}} {
		ok, _ := b.Take(start, one.holder, one.bytes)
		is.True(ok)
	}
	_, victim := b.Take(start, single, 10)
	is.Equal(victim, first)
	is.Equal(b.Evicted(first), holding.Largest)
}

// Guards against the eviction of a request that may have been forwarded to an endpoint.
func TestKeptHolderIsNeverEvicted(t *testing.T) {
	is := is.New(t)
	b := newBudget(400)
	whole := body("a")
	ok, _ := b.Take(start, whole, 300)
	is.True(ok)
	is.True(b.Keep(whole))
	ok, victim := b.Take(start.Add(time.Minute), body("b"), 10)
	is.True(!ok)
	is.Equal(victim, nil)
	is.True(b.TakeConnection(100)) // A part is reserved for connections.
	is.True(!b.TakeConnection(1))
}

// Guards against a request that was executed and whose answer is lost because bodies that wait fill the budget.
func TestResponseIsTakenBesideWaitingBodies(t *testing.T) {
	is := is.New(t)
	b := newBudget(400)
	whole := body("a")
	ok, _ := b.Take(start, whole, 300)
	is.True(ok)
	is.True(b.Keep(whole))
	answer := &holding.Holder{Kind: holding.Responses, OnlyStalled: true}
	ok, _ = b.Take(start, answer, 50)
	is.True(ok)
	ok, _ = b.Take(start, answer, 1)
	is.True(!ok)
	is.True(b.TakeConnection(50))
}

// Guards against leaked and negative counts over random sequences of take, force, release, eviction and end.
func TestNothingLeaks(t *testing.T) {
	const (
		workers = 4
		steps   = 25_000
		size    = 1 << 20
	)
	b := newBudget(size)
	var group sync.WaitGroup
	for worker := range workers {
		group.Go(func() { takeAndGive(t, b, rand.New(rand.NewPCG(1, uint64(worker))), steps) })
	}
	group.Wait()
	for kind, held := range b.Figures().Held {
		if held != 0 {
			t.Errorf("%d bytes of %s are still held", held, kind)
		}
	}
}

func takeAndGive(t *testing.T, b *holding.Budget, random *rand.Rand, steps int) {
	holders := make([]*holding.Holder, 8)
	for i := range holders {
		holders[i] = body(string(rune('a' + i%3)))
	}
	for step := range steps {
		now, i := start.Add(time.Duration(step)*time.Millisecond), random.IntN(len(holders))
		one := holders[i]
		switch random.IntN(6) {
		case 0, 1, 2:
			_, _ = b.Take(now, one, random.Int64N(1<<17))
		case 3:
			b.Release(one, random.Int64N(1<<17))
		case 4:
			if random.IntN(8) == 0 {
				b.Force(now, one, random.Int64N(1<<10))
			}
			b.Keep(one)
		case 5:
			b.End(one)
			holders[i] = body(string(rune('a' + i%3)))
		}
		for kind, held := range b.Figures().Held {
			if held < 0 {
				t.Errorf("%d bytes of %s are held", held, kind)
			}
		}
	}
	for _, one := range holders {
		b.End(one)
	}
}

// Guards against allocations of the decision, which is made most often while the memory is short.
func TestTakeAllocatesNothing(t *testing.T) {
	b := newBudget(1 << 20)
	for range 400 {
		b.Force(start, body("a"), 4<<10)
	}
	one := body("b")
	b.Force(start, one, 1)
	if allocations := testing.AllocsPerRun(100, func() { b.Take(start, one, 1) }); allocations > 0 {
		t.Errorf("%v allocations", allocations)
	}
}
