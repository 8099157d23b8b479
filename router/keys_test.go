package router_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/result"
	platformclient "ryelug/io/platform"
	"ryelug/standin/fleet"
	"ryelug/standin/platform"
	"ryelug/standin/service"
)

// countRuns returns how often the services have run the calls with these replies.
func countRuns(fl *fleet.Fleet, replies ...*fleet.Reply) int {
	count := 0
	for _, s := range fl.Services {
		history := s.History()
		for _, reply := range replies {
			count += history.Runs[reply.ID]
		}
	}
	return count
}

// A call with an idempotency key runs exactly once, even if its router is killed, the platform's answers are lost,
// or callers retry at every router.
func TestKeyRunsOnceInFleet(t *testing.T) {
	conf := fleet.Config{Routers: 3, Engines: 1, Services: 2, QueueTimeout: 2 * time.Second, LongestRequest: 5 * time.Second,
		Service: service.Config{Duration: 300 * time.Millisecond}}
	withTestFleet(t, conf, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		first, second, third := fl.Routers[0], fl.Routers[1], fl.Routers[2]

		fl.Platform.SetFaults(platform.Faults{LoseAnswers: 2})
		replies := make([]*fleet.Reply, len(fl.Routers))
		var group sync.WaitGroup
		for i, m := range fl.Routers {
			group.Go(func() { replies[i] = m.Call(ctx, "kiosks", "lost answers") })
		}
		group.Wait()
		is.Equal(countRuns(fl, replies...), 1)
		time.Sleep(5 * time.Second) // Enough time to write the record of the outcome.
		repeat := third.Call(ctx, "kiosks", "lost answers")
		is.True(repeat.Whole())
		is.Equal(countRuns(fl, repeat), 0)
		other := third.Call(ctx, "schools", "lost answers")
		is.True(other.Whole())
		is.Equal(countRuns(fl, other), 1) // Another team may use the same key.

		fl.Platform.SetFaults(platform.Faults{Down: true})
		outage := third.Call(ctx, "kiosks", "outage")
		fl.Platform.SetFaults(platform.Faults{})
		is.Equal([]any{outage.Code, outage.NotRun, countRuns(fl, outage)}, []any{result.PlatformUnavailable, true, 0})

		var killed *fleet.Reply
		group.Go(func() { killed = first.Call(ctx, "kiosks", "killed") })
		time.Sleep(150 * time.Millisecond)
		first.Kill()
		codes := map[result.Code]int{}
		var repeats []*fleet.Reply
		for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Second) {
			for _, m := range fl.Routers[1:] {
				repeats = append(repeats, m.Call(ctx, "kiosks", "killed"))
				codes[repeats[len(repeats)-1].Code]++
			}
		}
		group.Wait()
		is.Equal(countRuns(fl, append(repeats, killed)...), 1)
		is.True(codes[result.KeyInProgress] > 0)
		is.Equal(second.Call(ctx, "kiosks", "killed").Code, result.KeyOutcomeUnknown)
	})
}

// The settings keyed_rate and keyed_retention limit the rate of calls with an idempotency key and the lifetime of
// their records.
func TestKeyedSettings(t *testing.T) {
	const burst = 10 // The burst that every router allows, however low its rate.
	conf := fleet.Config{Routers: 3, Engines: 1, Services: 1, LongestRequest: 5 * time.Second, Settings: "keyed_rate = 3\nkeyed_retention = \"10m\"\n"}
	withTestFleet(t, conf, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		countAccepted := func(calls int) (count int) {
			for n := range calls {
				reply := fl.Routers[0].Call(ctx, "kiosks", time.Now().String()+strconv.Itoa(n))
				if reply.Whole() {
					count++
					continue
				}
				is.Equal([]any{reply.Code, reply.NotRun}, []any{result.PlatformUnavailable, true})
			}
			return count
		}
		const calls = 40
		began := time.Now()
		count := countAccepted(calls)
		elapsedSeconds := time.Since(began).Seconds() // Each second allows one more call: a third of the fleet's three.
		is.True(count >= burst && float64(count) <= burst+elapsedSeconds+1)
		list, err := fl.List(ctx, platformclient.Calls)
		is.NoErr(err)
		is.Equal(len(list.Items), count)
		for _, object := range list.Items {
			seconds, err := strconv.ParseInt(object.Annotations["expires"], 10, 64)
			is.NoErr(err)
			left := time.Unix(seconds, 0).Sub(began)
			is.True(left >= 10*time.Minute-time.Second && left <= 11*time.Minute)
		}
	})
}
