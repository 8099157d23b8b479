package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
)

// Ten requests run at entry B, granted before a split; entry A joins a rival, which must not add to them.
func TestSplitAddsNothingAtColdEndpoint(t *testing.T) {
	b := newBench(t, 2, onePool(10, 20))
	b.join(0, 0)
	b.want(0, "a", 20)
	b.Equal(len(b.grants), 0) // Nothing is known of the endpoint.
	b.wait(window - time.Millisecond)
	b.load(4, b.now, true, 0)
	b.Equal(len(b.grants), 0) // The report may miss grants of the former holder.
	b.wait(time.Millisecond)
	b.load(10, b.now, true, 0)
	b.Equal(len(b.grants), 0) // The ten still run.
	b.wait(time.Second)
	b.load(3, b.now, true, 0)
	b.Equal(len(b.grants), 2) // Three others and two of its own make the cap of five.
	b.wait(longest + window)
	b.want(0, "a", 20)
	b.Equal(len(b.grants), 5) // All that was granted before the split has ended.
}

// Two rivals that each got three of ten stakes see the same four free slots; the
// former holder runs six and may run four, so neither may use its cap yet.
func TestThreeRivals(t *testing.T) {
	granted := 0
	for rival := range 2 {
		b := newBench(t, 10, onePool(10, 20))
		for i := range 3 {
			b.join(1+3*rival+i, 0)
		}
		b.want(1+3*rival, "a", 10)
		b.wait(window)
		b.load(6, b.now, true, 0)
		granted += len(b.grants)
	}
	t.Logf("6 run, %d are granted", granted)
	is.New(t).True(6+granted <= 10)
}

// A lower total is a gain of stakes: it counts only after a report.
func TestLowerTotal(t *testing.T) {
	b := newBench(t, 4, onePool(10, 20))
	b.step(&dispatch.Voters{Hosts: b.hosts, Total: 8})
	b.joinAll()
	b.wait(longest + window)
	b.load(0, b.now, true, 0)
	b.want(0, "a", 20)
	b.Equal(len(b.grants), 5)
	b.step(&dispatch.Voters{Hosts: b.hosts, Total: 7})
	b.load(5, b.now, true, 0)
	b.Equal(len(b.grants), 5)
	b.wait(2 * window)
	b.load(5, b.now, true, 0)
	b.Equal(len(b.grants), 6)
}

// What a dead entry ran keeps its slots until the endpoint or time proves that it has ended.
func TestOrphansKeepTheirSlots(t *testing.T) {
	dead := func(t *testing.T) *bench {
		b := warmBench(t, 3)
		b.want(1, "a", 2)
		b.step(&dispatch.Leave{Router: router(1), Session: 1})
		b.step(&dispatch.Join{Router: "h1/2", Session: 1, Stake: true})
		b.step(&dispatch.Renew{Router: "h1/2", Session: 1, StakeUntil: b.now.Add(time.Hour)})
		b.want(0, "b", 5)
		b.Equal(len(b.grants), 3) // One slot was left.
		return b
	}
	t.Run("a late report proves it", func(t *testing.T) {
		b := dead(t)
		b.load(1, b.now.Add(window), false, 100)
		b.Equal(len(b.grants), 4) // One runs, and that may be the entry's own.
		b.load(0, b.now.Add(2*window), false, 100)
		b.Equal(len(b.grants), 5)
	})
	t.Run("the longest request time has passed", func(t *testing.T) {
		b := dead(t)
		b.wait(longest + window - 1)
		b.load(3, b.now, false, 100)
		b.want(0, "b", 5)
		b.Equal(len(b.grants), 3)
		b.wait(1)
		b.Equal(len(b.grants), 5)
	})
	t.Run("the endpoint has restarted", func(t *testing.T) {
		b := dead(t)
		b.wait(window)
		restarted := &dispatch.Load{Endpoint: "e", Start: "s2", Sampled: began.Add(-1)}
		b.step(restarted)
		b.step(&dispatch.Withdraw{Router: router(0), Session: 1, Attempts: []cell.AttemptID{4}})
		b.Equal(len(b.grants), 3) // The report may be older than that of the other start.
		restarted.Sampled = b.now
		b.step(restarted)
		b.Equal(len(b.grants), 4) // The cold limit of the new start.
		b.Equal(b.grants[3].Grant.Start, cell.StartID("s2"))
	})
}
