package fleettest

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"ryelug/core/fair"
	"ryelug/core/result"
	"ryelug/standin/fleet"
	"ryelug/standin/platform"
)

const (
	faultSettle = 2 * time.Second // load before the fault
	faultLasts  = 6 * time.Second // time from a fault to its end
	faultAfter  = 4 * time.Second // load after the end

	// HandOver bounds the pause of the fleet after a fault.
	HandOver = 2 * time.Second

	// longestQueue bounds a request's wait: after a hand-over, all 30 callers of the team of the
	// smaller share may queue at a router that a partition has left with its own stake, which is
	// one slot of each of the 4 engines, of which the team gets a fifth for requests of 200 ms.
	longestQueue = HandOver + 30*5*200*time.Millisecond/4

	// longTokenGap lets a request outlast the wait for a stake.
	longTokenGap = 100 * time.Millisecond

	// longestNotice is how long an engine's turn to cold may go unseen: a poll, the
	// report's lag, and grants that are valid and on their way.
	longestNotice = 250*time.Millisecond + 500*time.Millisecond + 400*time.Millisecond + 200*time.Millisecond
)

// trial is a fleet under load with a fault.
type trial struct {
	*testing.T
	trialConfig
	*fleet.Fleet
	ctx    context.Context
	rng    *rand.Rand
	run    *fleet.Run
	struck map[string]bool // struck are the hosts whose callers may see the fault.
	began  time.Time
	ran    map[string]int       // ran counts the runs of each request.
	after  func([]*fleet.Reply) // after, if any, checks more than what must hold whatever fails.
}

// Fault is what goes wrong; the function that it returns, if any, ends it.
type Fault struct {
	Name   string
	strike func(*trial) (heal func())
}

// Faults are all single faults.
var Faults = []Fault{
	{"dispatcher killed", func(tr *trial) func() { tr.kill(tr.dispatcher()); return nil }},
	{"dispatcher cut off and back", func(tr *trial) func() { return tr.isolate(tr.dispatcher()) }},
	{"entry killed", func(tr *trial) func() { tr.kill(tr.other(tr.dispatcher())); return nil }},
	{"restarted empty", func(tr *trial) func() {
		m := tr.other(nil)
		tr.kill(m)
		return func() {
			if _, err := tr.AddRouter(m.Host, m.DataCentre); err != nil {
				tr.Error(err)
			}
			tr.run.Refresh()
		}
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
		return func() { tr.list(m) }
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

func (tr *trial) isolate(m *fleet.Member) func() {
	tr.struck[m.Host] = true
	tr.Network.Isolate(m.Address)
	return func() { tr.Network.Rejoin(m.Address) }
}

// part cuts the routers in two halves; all of them reach the endpoints and the platform.
func (tr *trial) part(cut, heal func(a, b netip.Addr)) func() {
	each := func(do func(a, b netip.Addr)) {
		for i, a := range tr.Routers {
			for j, b := range tr.Routers {
				if i%2 == 0 && j%2 == 1 {
					do(a.Address, b.Address)
				}
			}
		}
	}
	each(cut)
	return func() { each(heal) }
}

func (tr *trial) list(m *fleet.Member) {
	address := netip.AddrPortFrom(m.Address, 7000)
	tr.Platform.SetHost(platform.Host{Host: m.Host, PeerAddress: address, DataCentre: m.DataCentre})
}

// WithFaults runs a loaded fleet through faults, one starting a moment after the other, and checks what must hold.
func WithFaults(t *testing.T, seed uint64, cold bool, strikes ...Fault) {
	withTrial(t, trialConfig{seed: seed, cold: cold}, func(tr *trial) {
		var heals []func()
		for _, f := range strikes {
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

// trialConfig says what a trial is made of.
type trialConfig struct {
	seed       uint64
	cold       bool // cold engines stay so, and give a new dispatcher nothing before a fresh report.
	startsOnly bool // startsOnly leaves resumed streams out of the cold limit.
	tokenGap   time.Duration
	services   int
	loads      []fleet.Load // loads are run beside the usual ones.
}

// withTrial runs a loaded fleet, lets strike inflict faults on it and checks what must hold.
func withTrial(t *testing.T, given trialConfig, strike func(*trial)) {
	conf := fleet.Config{Routers: 5, Engines: 4, Services: given.services, Seed: given.seed}
	conf.Engine.Cold = true
	if given.cold {
		conf.Engine.WarmUp = 100_000
		conf.Engine.TokenGap = cmp.Or(given.tokenGap, longTokenGap)
	}
	Run(t, conf, func(ctx context.Context, t *testing.T, fl *fleet.Fleet) {
		rng := rand.New(rand.NewPCG(given.seed, 3))
		tr := &trial{T: t, Fleet: fl, ctx: ctx, rng: rng, struck: make(map[string]bool), trialConfig: given}
		loads := []fleet.Load{{Team: "kiosks", Callers: 60, Tokens: 20}, {Team: "schools", Callers: 30, Tokens: 20}}
		tr.run = fl.Drive(ctx, append(loads, given.loads...)...)
		time.Sleep(faultSettle)
		tr.began = time.Now()
		strike(tr)
		time.Sleep(faultAfter)
		tr.check(tr.run.Stop())
	})
}

// check asserts what must hold whatever fails.
func (tr *trial) check(replies []*fleet.Reply) {
	if tr.startsOnly {
		tr.checkStarts()
	} else {
		tr.checkLimits()
	}
	tr.checkReplies(replies)
	tr.checkPauses(replies)
	tr.checkGap(replies)
	if tr.after != nil {
		tr.after(replies)
	}
}

// checkLimits asserts that no cold engine was sent more than it bore, but for the time in which
// a turn to cold can't be known. The warm limit may be passed while stakes change hands.
func (tr *trial) checkLimits() {
	warm := 0
	for _, e := range tr.Engines {
		for _, excess := range e.History().Excesses(longestNotice) {
			if !excess.Cold {
				warm = max(warm, excess.InFlight-excess.Limit)
				continue
			}
			tr.Errorf("%s: %d in flight, limit %d, in force for %v", e.Name(), excess.InFlight, excess.Limit, excess.Since)
		}
	}
	tr.Logf("most over a warm limit: %d", warm)
}

// checkReplies asserts that callers of unstruck routers got whole answers or true refusals.
func (tr *trial) checkReplies(replies []*fleet.Reply) {
	for _, r := range replies {
		if tr.isStruck(r) || r.Whole() || r.NotRun && r.Code != result.OK {
			continue
		}
		tr.Errorf("request %s at %v: code %d, %d events, closed %t", r.ID, r.Sent.Sub(tr.began), r.Code, len(r.Events), r.Closed)
	}
}

func (tr *trial) isStruck(r *fleet.Reply) bool {
	for host := range tr.struck {
		if len(r.ID) > len(host) && r.ID[:len(host)] == host {
			return true
		}
	}
	return false
}

// checkPauses asserts that work goes on within 2 s of a fault, and that no team waits for long at unstruck routers.
func (tr *trial) checkPauses(replies []*fleet.Reply) {
	starts := make([]time.Duration, 0, len(replies))
	longest := make(map[string]time.Duration)
	for _, r := range replies {
		if !r.Whole() {
			continue
		}
		starts = append(starts, r.Sent.Add(r.First).Sub(tr.began))
		if !tr.isStruck(r) {
			longest[r.Team] = max(longest[r.Team], r.First)
		}
	}
	pause, since := LongestPause(starts)
	tr.Logf("%d answers, longest pause of the fleet %v from %v on, longest waits %v", len(starts), pause, since, longest)
	if tr.cold {
		return // A part of the fleet may hold too few stakes for a slot of a cold engine.
	}
	if pause >= HandOver {
		tr.Errorf("the whole fleet paused for %v", pause)
	}
	for team, wait := range longest {
		if wait >= longestQueue {
			tr.Errorf("a request of %s waited %v", team, wait)
		}
	}
}

// checkGap asserts the bound on the gap between the two teams, both backlogged throughout.
func (tr *trial) checkGap(replies []*fleet.Reply) {
	service := make(map[string]float64)
	for _, r := range replies {
		service[r.Team] += float64(len(r.Events))
	}
	bound := fair.Bound{LargestCost: 40, Slots: 32, ShareA: 4, ShareB: 1, LeastShare: 1, HandOvers: 4, Unreported: 200}
	gap := service["kiosks"]/4 - service["schools"]
	tr.Logf("gap of service by share %.0f, bound %.0f", gap, fair.GapBound(bound))
	if gap > fair.GapBound(bound) || -gap > fair.GapBound(bound) {
		tr.Errorf("the gap is %.0f, over its bound", gap)
	}
}
