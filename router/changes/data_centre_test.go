package changes_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/result"
	"ryelug/standin/fleet"
)

// adoptionLimit is the users' limit for a configuration to be in force at all routers.
const adoptionLimit = 3 * time.Second

// busyFleet returns a fleet of three data centres and a load that exceeds its capacity.
func busyFleet() (fleet.Config, []fleet.Load) {
	conf := fleet.Config{Routers: 6, Engines: 6, DataCentres: []string{"dc-a", "dc-b", "dc-c"}, QueueTimeout: time.Minute}
	conf.Engine.WarmLimit, conf.Engine.ColdLimit, conf.Engine.WarmUp = 6, 1, 10
	conf.Engine.TokenGap = 20 * time.Millisecond
	return conf, []fleet.Load{
		{Team: "kiosks", Callers: 40, Tokens: 25, Routers: []int{0, 1}},
		{Team: "schools", Callers: 20, Tokens: 25},
	}
}

// assertBusy checks that the engines with the given indices used at least 90 % of their capacity between from and to.
func assertBusy(t *testing.T, fl *fleet.Fleet, from, to time.Time, numbers ...int) {
	t.Helper()
	var busy, capacity time.Duration
	for _, i := range numbers {
		busy += fl.Engines[i].History().BusyTime(from, to)
		capacity += 6 * to.Sub(from)
	}
	if share := float64(busy) / float64(capacity); share < 0.9 {
		t.Errorf("only %.3f of the capacity was used while requests waited", share)
	}
}

// A data centre is taken out under load and later returned with cold engines. From
// adoptionLimit after it was taken out, its engines must get no new requests. The engines in
// work must stay busy, and no stream may break.
func TestDataCentreOutAndIn(t *testing.T) {
	conf, loads := busyFleet()
	withTestFleet(t, conf, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		run := fl.Drive(ctx, loads...)
		time.Sleep(10 * time.Second)
		is.NoErr(fl.TakeOut(ctx, "dc-b", true))
		outAt := time.Now()
		time.Sleep(10 * time.Second)
		backAt := time.Now()
		for _, i := range []int{1, 4} { // Engines 1 and 4 are in dc-b.
			is.Equal(fl.Engines[i].History().StartsBetween(outAt.Add(adoptionLimit), backAt), 0)
			fl.Engines[i].Restart()
		}
		assertBusy(t, fl, outAt.Add(adoptionLimit), backAt, 0, 2, 3, 5)
		is.NoErr(fl.TakeOut(ctx, "dc-b", false))
		time.Sleep(20 * time.Second)
		assertBusy(t, fl, time.Now().Add(-8*time.Second), time.Now(), 0, 1, 2, 3, 4, 5)
		assertNone(t, fleet.Broken(run.Stop()))
		assertNone(t, fl.Excesses())
	})
}

// An endpoint leaves under load. Its running streams must finish, and it must get no new ones
// once adoptionLimit has passed.
func TestEndpointLeaves(t *testing.T) {
	conf, loads := busyFleet()
	withTestFleet(t, conf, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		run := fl.Drive(ctx, loads...)
		time.Sleep(8 * time.Second)
		doc := *fl.Document
		doc.Endpoints = append(doc.Endpoints[:0:0], doc.Endpoints...)
		doc.Endpoints[0].Leaving = true
		is.NoErr(fl.Apply(ctx, &doc))
		leftAt := time.Now()
		time.Sleep(10 * time.Second)
		is.Equal(fl.Engines[0].History().StartsBetween(leftAt.Add(adoptionLimit), time.Now()), 0)
		assertNone(t, fleet.Broken(run.Stop()))
		assertNone(t, fl.Excesses())
	})
}

// A router that can reach neither the platform nor the other routers can't learn that a data
// centre was taken out. After adoptionLimit it must send no requests there, and must refuse
// new ones with result.CutOff, marked as not run.
func TestMinorityTakesNoNewWork(t *testing.T) {
	conf, loads := busyFleet()
	withTestFleet(t, conf, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		run := fl.Drive(ctx, loads...)
		time.Sleep(8 * time.Second)
		isolated := fl.Routers[1]
		fl.CutFromPlatform(isolated)
		for _, m := range fl.Routers {
			if m != isolated {
				fl.Network.Cut(isolated.Address, m.Address)
			}
		}
		is.NoErr(fl.TakeOut(ctx, "dc-b", true))
		outAt := time.Now()
		time.Sleep(2 * adoptionLimit)
		for _, i := range []int{1, 4} {
			is.Equal(fl.Engines[i].History().StartsBetween(outAt.Add(adoptionLimit), time.Now()), 0)
		}
		reply := isolated.Chat(ctx, "kiosks", 5)
		is.Equal(reply.Code, result.CutOff)
		is.True(reply.NotRun)
		for _, m := range fl.Routers {
			fl.Network.Heal(isolated.Address, m.Address)
		}
		time.Sleep(5 * time.Second)
		is.True(isolated.Chat(ctx, "schools", 5).Whole()) // It has learned the configuration from its peers.
		is.Equal(isolated.Router().Health().Generation, uint64(2))
		run.Stop()
		assertNone(t, fl.Excesses())
	})
}
