package trial

import (
	"context"
	"net/netip"
	"time"

	"ryelug/standin/fleet"
	"ryelug/standin/platform"
)

// Fault is what goes wrong.
type Fault struct {
	Name   string
	strike func(*trial) (heal func()) // heal, if any, ends the fault.
}

// Faults are all single faults.
var Faults = []Fault{
	{"dispatcher killed", func(tr *trial) func() { tr.kill(tr.dispatcher()); return nil }},
	{"dispatcher cut off and back", func(tr *trial) func() { return tr.isolate(tr.dispatcher()) }},
	{"entry killed", func(tr *trial) func() { tr.kill(tr.other(tr.dispatcher())); return nil }},
	{"restarted empty", func(tr *trial) func() {
		m := tr.other(nil)
		tr.kill(m)
		return func() { tr.restart(m) }
	}},
	{"two halves", func(tr *trial) func() { return tr.part(tr.Network.Cut, tr.Network.Heal) }},
	{"one way", func(tr *trial) func() { return tr.part(tr.Network.CutOneWay, tr.Network.HealOneWay) }},
	{"silent links", func(tr *trial) func() {
		for _, a := range tr.Routers {
			for _, b := range tr.Routers {
				tr.Network.Silence(a.Address, b.Address)
			}
		}
		return nil
	}},
	{"wrong list", func(tr *trial) func() {
		m := tr.other(nil)
		tr.Platform.RemoveHost(m.Host)
		return func() { tr.Platform.SetHost(m.Listing()) }
	}},
	{"platform down", func(tr *trial) func() {
		tr.Platform.SetFaults(platform.Faults{Down: true})
		return func() { tr.Platform.SetFaults(platform.Faults{}) }
	}},
	{"cold again", func(tr *trial) func() { tr.Engines[tr.rng.IntN(len(tr.Engines))].TurnCold(); return nil }},
	{"flood", func(tr *trial) func() {
		flood := tr.Drive(tr.ctx, fleet.Load{Team: "kiosks", Callers: 300, Tokens: 20})
		return func() { flood.Stop() }
	}},
}

// WithFaults runs a loaded fleet through faults, one starting a moment after the
// other. Cold engines stay so, and give a new dispatcher nothing before a fresh report.
func WithFaults(ctx context.Context, seed uint64, cold bool, faults ...Fault) (*Outcome, error) {
	return run(ctx, config{seed: seed, cold: cold}, func(tr *trial) {
		var heals []func()
		for _, f := range faults {
			if heal := f.strike(tr); heal != nil {
				heals = append(heals, heal)
			}
			time.Sleep(time.Duration(tr.rng.Int64N(int64(time.Second))))
		}
		time.Sleep(faultLasts)
		for _, heal := range heals {
			heal()
		}
	})
}

func (tr *trial) dispatcher() *fleet.Member { return tr.Dispatcher(tr.ctx, fleet.EnginePool) }

// other returns some running router that is not the given one.
func (tr *trial) other(than *fleet.Member) *fleet.Member {
	for {
		if m := tr.Routers[tr.rng.IntN(len(tr.Routers))]; m != than && !m.Stopped() {
			return m
		}
	}
}

func (tr *trial) kill(m *fleet.Member) {
	tr.struck[m.Host] = true
	m.Kill()
}

// restart starts an empty router in the place of one that was killed.
func (tr *trial) restart(m *fleet.Member) {
	if _, err := tr.AddRouter(m.Host, m.DataCentre); err != nil {
		tr.errs = append(tr.errs, err)
	}
	tr.load.Refresh()
}

func (tr *trial) isolate(m *fleet.Member) func() {
	tr.struck[m.Host] = true
	tr.Network.Isolate(m.Address)
	return func() { tr.Network.Rejoin(m.Address) }
}

// part cuts the routers in two halves; all of them reach the endpoints and the platform.
func (tr *trial) part(cut, heal func(a, b netip.Addr)) func() {
	var even, odd []int
	for i := range tr.Routers {
		if i%2 == 0 {
			even = append(even, i)
		} else {
			odd = append(odd, i)
		}
	}
	EachPair(tr.Fleet, even, odd, cut)
	return func() { EachPair(tr.Fleet, even, odd, heal) }
}
