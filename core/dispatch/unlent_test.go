package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/lend"
)

// succession is the change of an entry's stake from a dispatcher that falls silent to the next.
type succession struct {
	rate  float64       // rate is that of the entry's clock; real time is the next dispatcher's.
	late  time.Duration // late is how late the entry takes its ticks.
	delay time.Duration // delay is the way of Join.
}

// arrived is the latest arrival of a request that the silent dispatcher granted, after
// the entry last heard it: it counts the stake for the lease by a slow clock, and
// grants to an entry with a slow clock, whose request takes the longest way.
const arrived = (lend.DefaultStakeLease+lend.DefaultGrantValid)*101/100 + dispatch.DefaultStakeMargin

// join returns the Join of an entry and the time after it last heard the silent dispatcher at which it arrives.
func (s *succession) join() (*lend.Join, time.Duration) {
	clock := func(after time.Duration) time.Time { return began.Add(time.Duration(float64(after) * s.rate)) }
	lender := lend.New(lend.Config{Self: router(0), Started: began.Add(-time.Hour)})
	lender.Step(clock(-time.Second), &lend.Order{Hosts: []cell.HostID{"h2", "h1"}})
	release := lender.Step(clock(-time.Second), &lend.LinkUp{Router: router(2)})[0].(*lend.Release)
	lender.Step(clock(-time.Second), &lend.Released{Router: release.Router, Session: release.Session})
	lender.Step(clock(-time.Second), &lend.LinkUp{Router: router(1)})
	lender.Step(clock(0), &lend.Heard{Router: router(2)})
	lender.Step(clock(0), &lend.LinkDown{Router: router(2)})
	for after := s.late; ; after += tick {
		for _, action := range lender.Step(clock(after), &lend.Tick{}) {
			if join, ok := action.(*lend.Join); ok {
				return join, after + s.delay
			}
		}
	}
}

// reported tells whether the next dispatcher grants on the stake at an endpoint that
// reports nothing in flight, sampled so long after the entry last heard the silent one.
func (s *succession) reported(t testing.TB, sampled time.Duration) bool {
	b := newBench(t, 1, onePool(2, 4))
	join, arrives := s.join()
	b.now = began.Add(arrives)
	b.step(&dispatch.Join{Router: router(0), Session: 1, Stake: join.Stake, Unlent: join.Unlent})
	b.step(&dispatch.Renew{Router: router(0), Session: 1, StakeUntil: b.now.Add(time.Hour)})
	b.now = later(b.now, began.Add(sampled))
	b.load(0, began.Add(sampled), true, 0)
	b.want(0, "a", 1)
	return len(b.grants) > 0
}

// A report that may miss a request of the silent dispatcher counts for nothing, and one
// that can't counts at once, whatever the clocks, ticks and delays are.
func TestReportCoversLastGrant(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &succession{
			rate:  rapid.Float64Range(0.99, 1.01).Draw(rt, "rate"),
			late:  time.Duration(rapid.Int64Range(1, int64(tick)).Draw(rt, "late")),
			delay: time.Duration(rapid.Int64Range(0, int64(tick)).Draw(rt, "delay")),
		}
		early := time.Duration(rapid.Int64Range(0, int64(arrived)-1).Draw(rt, "early"))
		if s.reported(t, early) || s.reported(t, arrived-1) {
			rt.Fatal("a report counts that may miss a request")
		}
		const drift = lend.DefaultStakeLease / 20 // Two clocks may differ by 2%, and the margin is 2.5%.
		if !s.reported(t, arrived+drift+s.delay) {
			rt.Fatal("a report that can miss no request does not count")
		}
	})
}

// After a graceful release, the grants made just before it may still arrive.
func TestReleaseWaitsForGrants(t *testing.T) {
	is := is.New(t)
	const unlent = 150 * time.Millisecond
	granted := func(sampled time.Duration) int {
		b := newBench(t, 1, onePool(2, 4))
		b.step(&dispatch.Join{Router: router(0), Session: 1, Stake: true, Unlent: unlent})
		b.step(&dispatch.Renew{Router: router(0), Session: 1, StakeUntil: b.now.Add(time.Hour)})
		b.want(0, "a", 4)
		b.wait(window)
		b.load(0, began.Add(sampled), true, 0)
		return len(b.grants)
	}
	is.Equal(granted(window-unlent-1), 0)
	is.Equal(granted(window-unlent), 2)
}

// A flight that an entry brings is in the report once it must have arrived, and counts no longer beside it.
func TestBroughtFlightsCountOnce(t *testing.T) {
	is := is.New(t)
	granted := func(sampled time.Duration) int {
		b := newBench(t, 1, onePool(4, 8))
		flights := []cell.Flight{{Attempt: 100, Team: "a", Endpoint: "e", Start: "s1"}, {Attempt: 101, Team: "a", Endpoint: "e", Start: "s1"}}
		b.step(&dispatch.Join{Router: router(0), Session: 1, Stake: true, Unlent: lend.DefaultGrantValid, Flights: flights})
		b.step(&dispatch.Renew{Router: router(0), Session: 1, StakeUntil: b.now.Add(time.Hour)})
		b.want(0, "a", 9)
		b.wait(window)
		b.load(2, began.Add(sampled), true, 0)
		return len(b.grants)
	}
	is.Equal(granted(dispatch.DefaultStakeMargin), 2)
	is.Equal(granted(dispatch.DefaultStakeMargin-1), 0)
}
