package poll_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/core/config"
	"ryelug/router/coordination"
	"ryelug/standin/bubble"
	"ryelug/standin/engine"
	"ryelug/standin/fleet"
)

var timings = coordination.DefaultTimings()

// withFleet calls f in virtual time with a fleet of three routers whose engines have warmed up under load and then been idle for 5 s.
func withFleet(t *testing.T, engines int, f func(ctx context.Context, fl *fleet.Fleet)) {
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fl := fleet.New(fleet.Config{
			Routers: 3, Engines: engines, DataCentres: []string{"dc-a"}, Teams: []config.Team{{Name: "kiosks", Share: 1}},
			Engine: engine.Config{ReportLag: timings.ReportLag},
		})
		is.NoErr(fl.Start(ctx))
		is.NoErr(fl.Await(ctx))
		drive(ctx, fl, engines)
		time.Sleep(5 * time.Second)
		f(ctx, fl)
		is.NoErr(fl.Close())
	})
}

// drive keeps all engines busy for 4 s.
func drive(ctx context.Context, fl *fleet.Fleet, engines int) {
	run := fl.Drive(ctx, fleet.Load{Team: "kiosks", Callers: 12 * engines, Tokens: 20})
	time.Sleep(4 * time.Second)
	run.Stop()
}

// The load reports of ten idle engines, as many as a user has today, must stay within a node's limit of 2 KB a second.
func TestIdleEnginesArePolledRarely(t *testing.T) {
	const engines, span, limit = 10, 10 * time.Second, 2048
	withFleet(t, engines, func(_ context.Context, fl *fleet.Fleet) {
		is := is.New(t)
		before := endpointBytes(fl)
		time.Sleep(span)
		rate := float64(endpointBytes(fl)-before) / span.Seconds()
		t.Logf("%.0f bytes a second for %d idle engines", rate, engines)
		is.True(rate <= limit)
	})
}

// endpointBytes returns the number of bytes that were sent to and from all endpoints so far.
func endpointBytes(fl *fleet.Fleet) (sum int64) {
	for _, e := range fl.Document.Endpoints {
		sum += fl.Network.Sent(e.Address)
	}
	return sum
}

// Idle engines are polled at a low rate, so it takes a while to notice that one has turned cold (accepts fewer requests, as
// after a start). A burst of work must not exceed the limit of a cold engine, at whatever time between two reports it begins.
func TestBurstAtEnginesThatTurnedCold(t *testing.T) {
	const engines, step = 1, 200 * time.Millisecond
	noticeDelay := timings.LoadPoll + timings.ReportLag
	for phase := time.Duration(0); phase < time.Second; phase += step {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			withFleet(t, engines, func(ctx context.Context, fl *fleet.Fleet) {
				time.Sleep(phase)
				for _, e := range fl.Engines {
					e.TurnCold()
				}
				time.Sleep(noticeDelay)
				drive(ctx, fl, engines)
				for _, e := range fl.Engines {
					for _, excess := range e.History().Excesses(noticeDelay) {
						if excess.Cold {
							t.Errorf("cold engine has %d requests in flight, limit %d, in force for %v", excess.InFlight, excess.Limit, excess.Since)
						}
					}
				}
			})
		})
	}
}
