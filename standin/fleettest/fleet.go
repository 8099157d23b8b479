package fleettest

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/core/config"
	"ryelug/standin/bubble"
	"ryelug/standin/fleet"
)

// readyTime bounds the start of a fleet.
const readyTime = 20 * time.Second

// Run runs body in a bubble of virtual time with a fleet that is ready to serve.
func Run(t *testing.T, conf fleet.Config, body func(ctx context.Context, t *testing.T, fl *fleet.Fleet)) {
	t.Helper()
	if conf.Teams == nil {
		conf.Teams = []config.Team{{Name: "kiosks", Share: 4}, {Name: "schools", Share: 1}}
	}
	if conf.DataCentres == nil {
		conf.DataCentres = []string{"dc-a", "dc-b", "dc-c"}
	}
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		fl := fleet.New(conf)
		is.NoErr(fl.Start(ctx))
		wait, done := context.WithTimeout(ctx, readyTime)
		is.NoErr(fl.Await(wait))
		done()
		defer func() { is.NoErr(fl.Close()) }()
		body(ctx, t, fl)
	})
}

// AssertAllWhole checks that every caller got its whole answer, in which each token names its request.
func AssertAllWhole(t *testing.T, replies []*fleet.Reply) {
	t.Helper()
	for _, reply := range replies {
		if !reply.Whole() {
			t.Errorf("request %s: code %d, %d events, closed %t", reply.ID, reply.Code, len(reply.Events), reply.Closed)
		}
	}
}

// AssertNoExcess checks that no endpoint had more in flight than it bore at that time.
func AssertNoExcess(t *testing.T, fl *fleet.Fleet) {
	t.Helper()
	for _, e := range fl.Engines {
		for _, excess := range e.History().Excesses(0) {
			t.Errorf("%s at %v: %d in flight, limit %d, in force for %v", e.Name(), excess.At, excess.InFlight, excess.Limit, excess.Since)
		}
	}
	for _, s := range fl.Services {
		is.New(t).Equal(len(s.History().Excesses(0)), 0)
	}
}

// LongestPause returns the longest time between two successive times, and when it began.
func LongestPause(times []time.Duration) (longest, since time.Duration) {
	slices.Sort(times)
	for i := 1; i < len(times); i++ {
		if pause := times[i] - times[i-1]; pause > longest {
			longest, since = pause, times[i-1]
		}
	}
	return longest, since
}
