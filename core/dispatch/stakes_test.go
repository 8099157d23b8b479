package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// After a network partition, entry A joins a second dispatcher while ten requests that the first dispatcher granted to
// entry B still run. The second dispatcher must not exceed the cold limit of ten together with them.
func TestSplitAddsNothingAtColdEndpoint(t *testing.T) {
	h := newHarness(t, 2, testPolicy(10, 20))
	h.join(0, 0)
	h.want(0, "a", 20)
	h.Equal(len(h.grants), 0) // No grants before the first load report of the endpoint.
	h.wait(arrivalWindow - time.Millisecond)
	h.load(4, h.now, true, 0)
	h.Equal(len(h.grants), 0) // The report may miss requests that the first dispatcher granted.
	h.wait(time.Millisecond)
	h.load(10, h.now, true, 0)
	h.Equal(len(h.grants), 0) // The ten requests still run.
	h.wait(time.Second)
	h.load(3, h.now, true, 0)
	h.Equal(len(h.grants), 2) // Three others and two of its own fill the cap of five: half of the cold limit for half of the stakes.
	h.wait(longestRequest + arrivalWindow)
	h.want(0, "a", 20)
	h.Equal(len(h.grants), 5) // By now every request granted before the partition has ended.
}

// Two dispatchers have each got three of ten stakes and see the same four free slots.
// The previous holder of the stakes still runs six requests and may still use its own
// cap of four, so neither of the two may use its cap of three yet.
func TestThreeRivals(t *testing.T) {
	granted := 0
	for rival := range 2 {
		h := newHarness(t, 10, testPolicy(10, 20))
		for i := range 3 {
			h.join(1+3*rival+i, 0)
		}
		h.want(1+3*rival, "a", 10)
		h.wait(arrivalWindow)
		h.load(6, h.now, true, 0)
		granted += len(h.grants)
	}
	t.Logf("6 requests run and %d are granted, at a limit of 10", granted)
	is.New(t).True(6+granted <= 10)
}

// A lower total raises the dispatcher's part of each limit, like an additional stake. The larger part must be used only once a
// load report includes the requests granted up to the reduction.
func TestLowerTotal(t *testing.T) {
	h := newHarness(t, 4, testPolicy(10, 20))
	h.step(&dispatch.Voters{Hosts: h.hosts, Total: 8})
	h.joinAll()
	h.wait(longestRequest + arrivalWindow)
	h.load(0, h.now, true, 0)
	h.want(0, "a", 20)
	h.Equal(len(h.grants), 5)
	h.step(&dispatch.Voters{Hosts: h.hosts, Total: 7})
	h.load(5, h.now, true, 0)
	h.Equal(len(h.grants), 5)
	h.wait(2 * arrivalWindow)
	h.load(5, h.now, true, 0)
	h.Equal(len(h.grants), 6)
}

// Requests of an entry router that died must keep their slots until a load report or the longest request time shows
// that they have ended.
func TestOrphansKeepTheirSlots(t *testing.T) {
	dead := func(t *testing.T) *harness {
		h := newWarmHarness(t, 3)
		h.want(1, "a", 2)
		h.step(&dispatch.Leave{Router: router(1), Session: 1})
		h.step(&dispatch.Join{Router: "h1/2", Session: 1, Stake: true})
		h.step(&dispatch.Renew{Router: "h1/2", Session: 1, StakeUntil: h.now.Add(time.Hour)})
		h.want(0, "b", 5)
		h.Equal(len(h.grants), 3) // Two of three slots are still in use.
		return h
	}
	t.Run("a later load report shows that they have ended", func(t *testing.T) {
		h := dead(t)
		h.load(1, h.now.Add(arrivalWindow), false, 100)
		h.Equal(len(h.grants), 4) // The report shows one request, which may be the new entry's own.
		h.load(0, h.now.Add(2*arrivalWindow), false, 100)
		h.Equal(len(h.grants), 5)
	})
	t.Run("the longest request time has passed", func(t *testing.T) {
		h := dead(t)
		h.wait(longestRequest + arrivalWindow - 1)
		h.load(3, h.now, false, 100)
		h.want(0, "b", 5)
		h.Equal(len(h.grants), 3)
		h.wait(1)
		h.Equal(len(h.grants), 5)
	})
	t.Run("the endpoint has restarted", func(t *testing.T) {
		h := dead(t)
		h.wait(arrivalWindow)
		restarted := &dispatch.Load{Endpoint: "e", Start: "s2", Sampled: startTime.Add(-1)}
		h.step(restarted)
		h.step(&dispatch.Withdraw{Router: router(0), Session: 1, Attempts: []cell.AttemptID{4}})
		h.Equal(len(h.grants), 3) // The report of the new run s2 may be older than the last report of the previous run, so no grant follows.
		restarted.Sampled = h.now
		h.step(restarted)
		h.Equal(len(h.grants), 4) // The new run of the endpoint has a cold limit of one.
		h.Equal(h.grants[3].Grant.Start, cell.StartID("s2"))
	})
}
