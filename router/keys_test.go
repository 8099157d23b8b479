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

// runs counts the runs of calls at all services.
func runs(fl *fleet.Fleet, replies ...*fleet.Reply) int {
	count := 0
	for _, s := range fl.Services {
		history := s.History()
		for _, reply := range replies {
			count += history.Runs[reply.ID]
		}
	}
	return count
}

// A key runs once, though its router is killed, answers of the platform are lost, and callers repeat at all routers.
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
		is.Equal(runs(fl, replies...), 1)
		time.Sleep(5 * time.Second) // The outcome is written.
		repeat := third.Call(ctx, "kiosks", "lost answers")
		is.True(repeat.Whole())
		is.Equal(runs(fl, repeat), 0)
		other := third.Call(ctx, "schools", "lost answers")
		is.True(other.Whole())
		is.Equal(runs(fl, other), 1) // Teams do not share keys.

		fl.Platform.SetFaults(platform.Faults{Down: true})
		outage := third.Call(ctx, "kiosks", "outage")
		fl.Platform.SetFaults(platform.Faults{})
		is.Equal([]any{outage.Code, outage.NotRun, runs(fl, outage)}, []any{result.PlatformUnavailable, true, 0})

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
		is.Equal(runs(fl, append(repeats, killed)...), 1)
		is.True(codes[result.KeyInProgress] > 0)
		is.Equal(second.Call(ctx, "kiosks", "killed").Code, result.KeyOutcomeUnknown)
	})
}

// The settings bound what the keyed requests of the fleet cost the platform and how long their records stay.
func TestKeyedSettings(t *testing.T) {
	const burst = 10 // A router lets as many through at once, however low its rate.
	conf := fleet.Config{Routers: 3, Engines: 1, Services: 1, LongestRequest: 5 * time.Second, Settings: "keyed_rate = 3\nkeyed_retention = \"10m\"\n"}
	withTestFleet(t, conf, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		taken := func(calls int) (count int) {
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
		count := taken(calls)
		passed := time.Since(began).Seconds() // Its part of three a second is one.
		is.True(count >= burst && float64(count) <= burst+passed+1)
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
