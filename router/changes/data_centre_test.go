package changes_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/result"
	"ryelug/standin/fleet"
)

// noNewWork is the users' limit for a configuration to be in force everywhere.
const noNewWork = 3 * time.Second

// busyFleet returns a fleet of two data centres with more demand than capacity.
func busyFleet() (fleet.Config, []fleet.Load) {
	conf := fleet.Config{Routers: 6, Engines: 6, DataCentres: []string{"dc-a", "dc-b", "dc-c"}, QueueTimeout: time.Minute}
	conf.Engine.WarmLimit, conf.Engine.ColdLimit, conf.Engine.WarmUp = 6, 1, 10
	conf.Engine.TokenGap = 20 * time.Millisecond
	return conf, []fleet.Load{
		{Team: "kiosks", Callers: 40, Tokens: 25, Routers: []int{0, 1}},
		{Team: "schools", Callers: 20, Tokens: 25},
	}
}

// assertBusy checks that the engines with these numbers used nearly all of their capacity.
func assertBusy(t *testing.T, fl *fleet.Fleet, from, to time.Time, numbers ...int) {
	t.Helper()
	var busy, capacity time.Duration
	for _, i := range numbers {
		busy += fl.Engines[i].History().BusyTime(from, to)
		capacity += 6 * to.Sub(from)
	}
	if share := float64(busy) / float64(capacity); share < 0.9 {
		t.Errorf("%.3f of the capacity was used while requests waited", share)
	}
}

// A data centre is taken out under load and returned with cold engines.
func TestDataCentreOutAndIn(t *testing.T) {
	conf, loads := busyFleet()
	withTestFleet(t, conf, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		run := fl.Drive(ctx, loads...)
		time.Sleep(10 * time.Second)
		is.NoErr(fl.TakeOut(ctx, "dc-b", true))
		out := time.Now()
		time.Sleep(10 * time.Second)
		back := time.Now()
		for _, i := range []int{1, 4} { // The engines of dc-b.
			is.Equal(fl.Engines[i].History().StartsBetween(out.Add(noNewWork), back), 0)
			fl.Engines[i].Restart()
		}
		assertBusy(t, fl, out.Add(noNewWork), back, 0, 2, 3, 5)
		is.NoErr(fl.TakeOut(ctx, "dc-b", false))
		time.Sleep(20 * time.Second)
		assertBusy(t, fl, time.Now().Add(-8*time.Second), time.Now(), 0, 1, 2, 3, 4, 5)
		assertNone(t, fleet.Broken(run.Stop()))
		assertNone(t, fl.Excesses())
	})
}

// An endpoint leaves under load: its running streams finish and no new one comes.
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
		left := time.Now()
		time.Sleep(10 * time.Second)
		is.Equal(fl.Engines[0].History().StartsBetween(left.Add(noNewWork), time.Now()), 0)
		assertNone(t, fleet.Broken(run.Stop()))
		assertNone(t, fl.Excesses())
	})
}

// A router that reaches neither the platform nor most others can't learn that a
// data centre is out. It sends nothing there after a few seconds and says so truly.
func TestMinorityTakesNoNewWork(t *testing.T) {
	conf, loads := busyFleet()
	withTestFleet(t, conf, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		run := fl.Drive(ctx, loads...)
		time.Sleep(8 * time.Second)
		lone := fl.Routers[1]
		fl.CutFromPlatform(lone)
		for _, m := range fl.Routers {
			if m != lone {
				fl.Network.Cut(lone.Address, m.Address)
			}
		}
		is.NoErr(fl.TakeOut(ctx, "dc-b", true))
		out := time.Now()
		time.Sleep(2 * noNewWork)
		for _, i := range []int{1, 4} {
			is.Equal(fl.Engines[i].History().StartsBetween(out.Add(noNewWork), time.Now()), 0)
		}
		reply := lone.Chat(ctx, "kiosks", 5)
		is.Equal(reply.Code, result.CutOff)
		is.True(reply.NotRun)
		for _, m := range fl.Routers {
			fl.Network.Heal(lone.Address, m.Address)
		}
		time.Sleep(5 * time.Second)
		is.True(lone.Chat(ctx, "schools", 5).Whole()) // Its peers have told it.
		is.Equal(lone.Router().Health().Generation, uint64(2))
		run.Stop()
		assertNone(t, fl.Excesses())
	})
}
