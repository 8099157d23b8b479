package configuration_test

import (
	"fmt"
	"testing"
	"time"

	"ryelug/core/config"
	"ryelug/core/spread"
	"ryelug/io/platform"
	"ryelug/router/publish"
	standin "ryelug/standin/platform"
)

const settleTime = 5 * time.Second // settleTime is enough for a new fleet to choose its watchers.

// Each change must be in force at all routers within adoptionLimit, under faults of watches, the platform or single routers.
func TestInForceEverywhere(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(f *fleet)
	}{
		{"no fault", func(*fleet) {}},
		{"silent watches", func(f *fleet) { f.server.SilenceWatches() }},
		{"all watches silent for good", func(f *fleet) { f.server.SetFaults(standin.Faults{SilentWatch: true}) }},
		{"slow platform", func(f *fleet) { f.server.SetFaults(standin.Faults{Slow: 100 * time.Millisecond}) }},
		{"watchers of a data centre cut from the platform", func(f *fleet) {
			for _, r := range f.watchers() {
				f.cutPlatform(r, r.dc == "dc-1")
			}
		}},
		{"a watcher of each data centre cut from its peers", func(f *fleet) {
			done := map[string]bool{}
			for _, r := range f.watchers() {
				if !done[r.dc] {
					f.isolate(r, true)
				}
				done[r.dc] = true
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 12, spread.Config{}, func(f *fleet) {
				f.expectAdopted(f.publishShare(1))
				time.Sleep(settleTime)
				f.Equal(len(f.watchers()), 6)
				c.fault(f)
				for share := 2; share < 5; share++ {
					f.expectAdopted(f.publishShare(share))
				}
			})
		})
	}
}

// While the platform is down, a restarted router must get the configuration from its peers. Changes
// must reach all routers again once the platform is back.
func TestOutage(t *testing.T) {
	withFleet(t, 9, spread.Config{}, func(f *fleet) {
		root := f.publishShare(1)
		f.expectAdopted(root)
		f.server.SetFaults(standin.Faults{Down: true})
		time.Sleep(10 * time.Minute)

		f.Log("a router that restarts without a configuration gets it from its peers")
		f.routers[4].stop()
		f.unlink(f.routers[4])
		f.start(f.routers[4])
		f.expectAdopted(root, f.routers[4])

		f.Log("the platform answers again")
		f.server.SetFaults(standin.Faults{})
		f.expectAdopted(f.publishShare(2))
	})
}

// A platform that takes 5 s for each call must still deliver a change, without being flooded with calls.
func TestVerySlowPlatform(t *testing.T) {
	withFleet(t, 6, spread.Config{}, func(f *fleet) {
		f.expectAdopted(f.publishShare(1))
		f.server.SetFaults(standin.Faults{Slow: 5 * time.Second})
		before := f.server.Calls().Total()
		root := f.publishShare(2)
		time.Sleep(time.Minute)
		f.expectAdopted(root)
		f.Logf("%d calls in %v", f.server.Calls().Total()-before, time.Minute)
		f.True(f.server.Calls().Total()-before < 300) // A slow platform must not be flooded with calls.
	})
}

// A router that was cut off from the platform and its peers during many changes must catch up when it is linked to its peers again.
func TestCutOffDuringChange(t *testing.T) {
	withFleet(t, 7, spread.Config{}, func(f *fleet) {
		f.expectAdopted(f.publishShare(1))
		f.isolate(f.routers[3], true)
		f.cutPlatform(f.routers[3], true)
		var root config.Root
		for share := 2; share < 30; share++ {
			root = f.publishShare(share)
		}
		time.Sleep(time.Minute)
		f.Equal(f.routers[3].adopted, []uint64{1})
		f.isolate(f.routers[3], false)
		f.expectAdopted(root)
	})
}

// firstLeaf returns the hash of the first leaf part of a generation, which is not a valid index part.
func (f *fleet) firstLeaf(root config.Root) string {
	index, err := f.operator.Get(f.Context(), platform.Parts, root.Parts[0])
	f.NoErr(err)
	return config.Leaves(platform.PartText(index))[0]
}

// Routers must reject a root that can't be parsed, names a missing part, belongs to
// another environment or lists a part that is no index, and keep the generation in force.
func TestBadRoot(t *testing.T) {
	withFleet(t, 7, spread.Config{}, func(f *fleet) {
		good := f.publishShare(1)
		f.expectAdopted(good)
		for i, data := range []string{
			`{"generation":"x"}`,
			`{"generation":50,"environment":"trial","parts":["00000000000000000000000000000000"]}`,
			`{"generation":51,"environment":"other","parts":["` + good.Parts[0] + `"]}`,
			`{"generation":52,"environment":"trial","parts":["` + f.firstLeaf(good) + `"]}`,
		} {
			current, err := f.operator.Get(f.Context(), platform.Roots, platform.CurrentRoot)
			f.NoErr(err)
			current.Data = []byte(data)
			_, err = f.operator.Update(f.Context(), platform.Roots, current)
			f.NoErr(err)
			time.Sleep(settleTime)
			rejected := int64(0)
			for _, r := range f.routers {
				f.Equal(r.adopted, []uint64{1})
				rejected += r.syncer.Stats().Rejected
			}
			f.True(rejected > int64(i)) // At least one router reports the bad root.
			f.True(rejected < 200)      // No router reports it over and over.
		}
		f.Log("a router that restarts without a configuration adopts that of its peers")
		f.routers[2].stop()
		f.unlink(f.routers[2])
		f.start(f.routers[2])
		f.expectAdopted(good, f.routers[2])
	})
}

// When the platform's root goes back to an older generation, routers keep the newer one
// and report it, until an operator publishes a generation above both.
func TestPlatformRestoredToOlderRoot(t *testing.T) {
	withFleet(t, 6, spread.Config{}, func(f *fleet) {
		f.expectAdopted(f.publishShare(1))
		old, err := f.operator.Get(f.Context(), platform.Roots, platform.CurrentRoot)
		f.NoErr(err)
		f.expectAdopted(f.publishShare(2))
		current, err := f.operator.Get(f.Context(), platform.Roots, platform.CurrentRoot)
		f.NoErr(err)
		current.Data = old.Data
		_, err = f.operator.Update(f.Context(), platform.Roots, current)
		f.NoErr(err)
		time.Sleep(settleTime)
		rejected := int64(0)
		for _, r := range f.routers {
			f.Equal(r.adopted, []uint64{1, 2})
			rejected += r.syncer.Stats().Rejected
		}
		f.True(rejected > 0 && rejected < 20)
		base, err := f.publisher().Read(f.Context())
		f.NoErr(err)
		root, err := f.publisher().Put(f.Context(), publish.Change{Base: base, Document: base.Document, Description: "test", Above: 2})
		f.NoErr(err)
		f.Equal(root.Generation, uint64(3))
		f.expectAdopted(root)
	})
}

// A document of 12,000 teams, and a change of it, must reach all routers within adoptionLimit.
func TestManyTeams(t *testing.T) {
	withFleet(t, 6, spread.Config{}, func(f *fleet) {
		doc := &config.Document{Environment: environment}
		for i := range 12_000 {
			hash := fmt.Sprintf("%064x", i+1)
			doc.Teams = append(doc.Teams, config.Team{Name: fmt.Sprintf("team-%05d", i), Share: 1, KeyHashes: []string{hash}})
		}
		root, err := f.publisher().Put(f.Context(), publish.Change{Document: doc, Description: "test"})
		f.NoErr(err)
		f.expectAdopted(root)
		f.expectAdopted(f.publishShare(7))
		f.Equal(len(f.routers[0].doc.Teams), 12_000)
		f.Equal(f.routers[0].doc.Teams[0].Share, 7)
	})
}

// callsPerMinute returns the calls that the routers make to the platform in a minute with four changes.
func callsPerMinute(t *testing.T, size int, settings spread.Config) int64 {
	var calls int64
	withFleet(t, size, settings, func(f *fleet) {
		f.expectAdopted(f.publishShare(1))
		time.Sleep(settleTime)
		before, operatorBefore := f.server.Calls().Total(), f.operator.Calls()
		for share := 2; share < 6; share++ {
			f.expectAdopted(f.publishShare(share))
			time.Sleep(15*time.Second - adoptionLimit)
		}
		calls = f.server.Calls().Total() - before - (f.operator.Calls() - operatorBefore)
	})
	return calls
}

// Most routers get changes from peers, so the calls to the platform must not grow with the number of routers.
func TestPlatformCalls(t *testing.T) {
	calls := map[int]int64{}
	for _, size := range []int{3, 7, 50} {
		calls[size] = callsPerMinute(t, size, spread.Config{})
	}
	t.Logf("calls a minute at 3, 7 and 50 routers: %v", calls)
	if calls[7] > 2*calls[3]+calls[3]/4 || calls[50] > calls[7]+calls[7]/4 {
		t.Errorf("the platform's calls grow too fast with the number of routers: %v", calls)
	}
}

// The first read of the root, just after a watch was opened, must not count as a change that the watch missed.
func TestFirstReadIsNoMissedChange(t *testing.T) {
	withFleet(t, 3, spread.Config{}, func(f *fleet) {
		f.expectAdopted(f.publishShare(1))
		for _, r := range f.routers {
			f.isolate(r, true) // Each router must read the platform itself.
			r.stop()
			f.start(r)
		}
		time.Sleep(settleTime)
		for _, r := range f.routers {
			f.Equal(r.syncer.Stats().SilentWatches, int64(0))
		}
	})
}
