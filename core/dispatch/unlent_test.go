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

// stakeHandover simulates how an entry router's capacity stake passes to the next dispatcher after the previous one
// has stopped responding.
type stakeHandover struct {
	rate  float64       // rate is the speed of the entry router's clock relative to that of the next dispatcher.
	late  time.Duration // late is the delay of the entry router's first tick.
	delay time.Duration // delay is the time that the Join takes to the next dispatcher.
}

// lastArrival is the latest time, after the last message from the unresponsive
// dispatcher, at which a request that it granted can arrive at the endpoint. The
// dispatcher counts the stake for a whole lease on a clock that is 1% slow, and the
// entry router uses the grant for its whole validity on a slow clock; then the request
// takes the longest time to the endpoint.
const lastArrival = (lend.DefaultStakeLease+lend.DefaultGrantValid)*101/100 + dispatch.DefaultStakeMargin

// join returns the entry router's Join to the next dispatcher, and when it arrives, counted from the last message of
// the unresponsive dispatcher.
func (s *stakeHandover) join() (*lend.Join, time.Duration) {
	clock := func(after time.Duration) time.Time { return startTime.Add(time.Duration(float64(after) * s.rate)) }
	lender := lend.New(lend.Config{Self: router(0), Started: startTime.Add(-time.Hour)})
	lender.Step(clock(-time.Second), &lend.Order{Hosts: []cell.HostID{"h2", "h1"}})
	release := lender.Step(clock(-time.Second), &lend.LinkUp{Router: router(2)})[0].(*lend.Release)
	lender.Step(clock(-time.Second), &lend.Released{Router: release.Router, Session: release.Session})
	lender.Step(clock(-time.Second), &lend.LinkUp{Router: router(1)})
	lender.Step(clock(0), &lend.FrameReceived{Router: router(2)})
	lender.Step(clock(0), &lend.LinkDown{Router: router(2)})
	for after := s.late; ; after += tick {
		for _, action := range lender.Step(clock(after), &lend.Tick{}) {
			if join, ok := action.(*lend.Join); ok {
				return join, after + s.delay
			}
		}
	}
}

// allowsGrant reports whether the next dispatcher grants a request after it has received a
// load report with nothing in flight. The report is sampled the given time after the
// last message from the unresponsive dispatcher.
func (s *stakeHandover) allowsGrant(t testing.TB, sampled time.Duration) bool {
	h := newHarness(t, 1, testPolicy(2, 4))
	join, arrives := s.join()
	h.now = startTime.Add(arrives)
	h.step(&dispatch.Join{Router: router(0), Session: 1, Stake: join.Stake, UncountedFor: join.UncountedFor})
	h.step(&dispatch.Renew{Router: router(0), Session: 1, StakeUntil: h.now.Add(time.Hour)})
	h.now = later(h.now, startTime.Add(sampled))
	h.load(0, startTime.Add(sampled), true, 0)
	h.want(0, "a", 1)
	return len(h.grants) > 0
}

// A load report may miss a request that the unresponsive dispatcher granted, because the
// request arrives later. Such a report must not allow grants, and a report that can't
// miss one must allow them at once, for any clock rates, ticks and delays.
func TestReportCoversLastGrant(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &stakeHandover{
			rate:  rapid.Float64Range(0.99, 1.01).Draw(rt, "rate"),
			late:  time.Duration(rapid.Int64Range(1, int64(tick)).Draw(rt, "late")),
			delay: time.Duration(rapid.Int64Range(0, int64(tick)).Draw(rt, "delay")),
		}
		early := time.Duration(rapid.Int64Range(0, int64(lastArrival)-1).Draw(rt, "early"))
		if s.allowsGrant(t, early) || s.allowsGrant(t, lastArrival-1) {
			rt.Fatal("a load report that may miss a request allows a grant")
		}
		const drift = lend.DefaultStakeLease / 20 // The clocks may differ by 2%, and the margin is 2.5%: less than 5% in all.
		if !s.allowsGrant(t, lastArrival+drift+s.delay) {
			rt.Fatal("a load report that can't miss a request allows no grant")
		}
	})
}

// Requests granted just before a graceful release of the stake may still be on their way, so the next dispatcher must
// grant nothing until a load report can include them.
func TestReleaseWaitsForGrants(t *testing.T) {
	is := is.New(t)
	const unlent = 150 * time.Millisecond
	granted := func(sampled time.Duration) int {
		h := newHarness(t, 1, testPolicy(2, 4))
		h.step(&dispatch.Join{Router: router(0), Session: 1, Stake: true, UncountedFor: unlent})
		h.step(&dispatch.Renew{Router: router(0), Session: 1, StakeUntil: h.now.Add(time.Hour)})
		h.want(0, "a", 4)
		h.wait(arrivalWindow)
		h.load(0, startTime.Add(sampled), true, 0)
		return len(h.grants)
	}
	is.Equal(granted(arrivalWindow-unlent-1), 0)
	is.Equal(granted(arrivalWindow-unlent), 2)
}

// A flight listed in a Join must count in addition to the load report until it must have arrived at the endpoint,
// and from then on only as part of the report.
func TestBroughtFlightsCountOnce(t *testing.T) {
	is := is.New(t)
	granted := func(sampled time.Duration) int {
		h := newHarness(t, 1, testPolicy(4, 8))
		flights := []cell.Flight{{Attempt: 100, Team: "a", Endpoint: "e", Start: "s1"}, {Attempt: 101, Team: "a", Endpoint: "e", Start: "s1"}}
		h.step(&dispatch.Join{Router: router(0), Session: 1, Stake: true, UncountedFor: lend.DefaultGrantValid, Flights: flights})
		h.step(&dispatch.Renew{Router: router(0), Session: 1, StakeUntil: h.now.Add(time.Hour)})
		h.want(0, "a", 9)
		h.wait(arrivalWindow)
		h.load(2, startTime.Add(sampled), true, 0)
		return len(h.grants)
	}
	is.Equal(granted(dispatch.DefaultStakeMargin), 2)
	is.Equal(granted(dispatch.DefaultStakeMargin-1), 0)
}
