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

const settle = 5 * time.Second // settle lets the roles of a new fleet come to rest.

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
				f.everywhere(f.change(1))
				time.Sleep(settle)
				f.Equal(len(f.watchers()), 6)
				c.fault(f)
				for share := 2; share < 5; share++ {
					f.everywhere(f.change(share))
				}
			})
		})
	}
}

func TestOutage(t *testing.T) {
	withFleet(t, 9, spread.Config{}, func(f *fleet) {
		root := f.change(1)
		f.everywhere(root)
		f.server.SetFaults(standin.Faults{Down: true})
		time.Sleep(10 * time.Minute)

		f.Log("a router restarted empty learns from its peers")
		f.routers[4].stop()
		f.unlink(f.routers[4])
		f.start(f.routers[4])
		f.everywhere(root, f.routers[4])

		f.Log("the platform answers again")
		f.server.SetFaults(standin.Faults{})
		f.everywhere(f.change(2))
	})
}

func TestVerySlowPlatform(t *testing.T) {
	withFleet(t, 6, spread.Config{}, func(f *fleet) {
		f.everywhere(f.change(1))
		f.server.SetFaults(standin.Faults{Slow: 5 * time.Second})
		before := f.server.Calls().Total()
		root := f.change(2)
		time.Sleep(time.Minute)
		f.everywhere(root)
		f.Logf("%d calls in %v", f.server.Calls().Total()-before, time.Minute)
		f.True(f.server.Calls().Total()-before < 300) // Slowness leads to no flood of calls.
	})
}

func TestCutOffDuringChange(t *testing.T) {
	withFleet(t, 7, spread.Config{}, func(f *fleet) {
		f.everywhere(f.change(1))
		f.isolate(f.routers[3], true)
		f.cutPlatform(f.routers[3], true)
		var root config.Root
		for share := 2; share < 30; share++ {
			root = f.change(share)
		}
		time.Sleep(time.Minute)
		f.Equal(f.routers[3].adopted, []uint64{1})
		f.isolate(f.routers[3], false)
		f.everywhere(root)
	})
}

// leaf returns the name of a leaf of a generation.
func (f *fleet) leaf(root config.Root) string {
	index, err := f.operator.Get(f.Context(), platform.Parts, root.Parts[0])
	f.NoErr(err)
	return config.Leaves(platform.PartText(index))[0]
}

func TestBadRoot(t *testing.T) {
	withFleet(t, 7, spread.Config{}, func(f *fleet) {
		good := f.change(1)
		f.everywhere(good)
		for i, data := range []string{
			`{"generation":"x"}`,
			`{"generation":50,"environment":"trial","parts":["00000000000000000000000000000000"]}`,
			`{"generation":51,"environment":"other","parts":["` + good.Parts[0] + `"]}`,
			`{"generation":52,"environment":"trial","parts":["` + f.leaf(good) + `"]}`,
		} {
			now, err := f.operator.Get(f.Context(), platform.Roots, platform.CurrentRoot)
			f.NoErr(err)
			now.Data = []byte(data)
			_, err = f.operator.Update(f.Context(), platform.Roots, now)
			f.NoErr(err)
			time.Sleep(settle)
			rejected := int64(0)
			for _, r := range f.routers {
				f.Equal(r.adopted, []uint64{1})
				rejected += r.duty.Stats().Rejected
			}
			f.True(rejected > int64(i)) // Somebody reports it.
			f.True(rejected < 200)      // Nobody reports it again and again.
		}
		f.Log("a router restarted empty adopts what its peers have")
		f.routers[2].stop()
		f.unlink(f.routers[2])
		f.start(f.routers[2])
		f.everywhere(good, f.routers[2])
	})
}

func TestPlatformSetBack(t *testing.T) {
	withFleet(t, 6, spread.Config{}, func(f *fleet) {
		f.everywhere(f.change(1))
		old, err := f.operator.Get(f.Context(), platform.Roots, platform.CurrentRoot)
		f.NoErr(err)
		f.everywhere(f.change(2))
		now, err := f.operator.Get(f.Context(), platform.Roots, platform.CurrentRoot)
		f.NoErr(err)
		now.Data = old.Data
		_, err = f.operator.Update(f.Context(), platform.Roots, now)
		f.NoErr(err)
		time.Sleep(settle)
		reports := int64(0)
		for _, r := range f.routers {
			f.Equal(r.adopted, []uint64{1, 2})
			reports += r.duty.Stats().Rejected
		}
		f.True(reports > 0 && reports < 20)
		base, err := f.publisher().Read(f.Context())
		f.NoErr(err)
		root, err := f.publisher().Put(f.Context(), publish.Change{Base: base, Document: base.Document, Text: "test", Above: 2})
		f.NoErr(err)
		f.Equal(root.Generation, uint64(3))
		f.everywhere(root)
	})
}

func TestManyTeams(t *testing.T) {
	withFleet(t, 6, spread.Config{}, func(f *fleet) {
		doc := &config.Document{Environment: environment}
		for i := range 12_000 {
			hash := fmt.Sprintf("%064x", i+1)
			doc.Teams = append(doc.Teams, config.Team{Name: fmt.Sprintf("team-%05d", i), Share: 1, KeyHashes: []string{hash}})
		}
		root, err := f.publisher().Put(f.Context(), publish.Change{Document: doc, Text: "test"})
		f.NoErr(err)
		f.everywhere(root)
		f.everywhere(f.change(7))
		f.Equal(len(f.routers[0].doc.Teams), 12_000)
		f.Equal(f.routers[0].doc.Teams[0].Share, 7)
	})
}

// callsPerMinute returns the platform's calls in a minute with four changes, without those of the operator.
func callsPerMinute(t *testing.T, size int, settings spread.Config) int64 {
	var calls int64
	withFleet(t, size, settings, func(f *fleet) {
		f.everywhere(f.change(1))
		time.Sleep(settle)
		before, operators := f.server.Calls().Total(), f.operator.Calls()
		for share := 2; share < 6; share++ {
			f.everywhere(f.change(share))
			time.Sleep(15*time.Second - inForce)
		}
		calls = f.server.Calls().Total() - before - (f.operator.Calls() - operators)
	})
	return calls
}

func TestPlatformCalls(t *testing.T) {
	calls := map[int]int64{}
	for _, size := range []int{3, 7, 50} {
		calls[size] = callsPerMinute(t, size, spread.Config{})
	}
	t.Logf("calls a minute at 3, 7 and 50 routers: %v", calls)
	if calls[7] > 2*calls[3]+calls[3]/4 || calls[50] > calls[7]+calls[7]/4 {
		t.Errorf("the calls grow as fast as the routers: %v", calls)
	}
}

// The first read of a root says nothing of a watch that has just been opened.
func TestStartIsNoSilentWatch(t *testing.T) {
	withFleet(t, 3, spread.Config{}, func(f *fleet) {
		f.everywhere(f.change(1))
		for _, r := range f.routers {
			f.isolate(r, true) // So that each learns from the platform.
			r.stop()
			f.start(r)
		}
		time.Sleep(settle)
		for _, r := range f.routers {
			f.Equal(r.duty.Stats().SilentWatches, int64(0))
		}
	})
}
