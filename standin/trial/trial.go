package trial

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"ryelug/standin/fleet"
)

const (
	faultSettle = 2 * time.Second // load before the fault
	faultLasts  = 6 * time.Second // time from a fault to its end
	faultAfter  = 4 * time.Second // load after the end

	// longTokenGap lets a request outlast the wait for a stake.
	longTokenGap = 100 * time.Millisecond
)

// config says what a trial is made of.
type config struct {
	seed       uint64
	cold       bool // cold engines stay so, and give a new dispatcher nothing before a fresh report.
	startsOnly bool // startsOnly leaves resumed streams out of the cold limit.
	freezes    bool // freezes judges what the callers of frozen routers got.
	tokenGap   time.Duration
	services   int
	loads      []fleet.Load // loads are run beside the usual ones.
}

// trial is a fleet under load with a fault.
type trial struct {
	config
	*fleet.Fleet
	ctx    context.Context
	rng    *rand.Rand
	load   *fleet.Run
	struck map[string]bool // struck are the hosts whose callers may see the fault.
	began  time.Time       // began is when the first fault struck.
	errs   []error
}

// run runs a loaded fleet, lets strike inflict faults on it and returns what came of it.
func run(ctx context.Context, given config, strike func(*trial)) (*Outcome, error) {
	conf := fleet.Config{Routers: 5, Engines: 4, Services: given.services, Seed: given.seed}
	conf.Engine.Cold = true
	if given.cold {
		conf.Engine.WarmUp = 100_000
		conf.Engine.TokenGap = cmp.Or(given.tokenGap, longTokenGap)
	}
	fl, err := fleet.StartReady(ctx, conf)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	rng := rand.New(rand.NewPCG(given.seed, 3))
	tr := &trial{config: given, Fleet: fl, ctx: ctx, rng: rng, struck: make(map[string]bool)}
	loads := []fleet.Load{{Team: "kiosks", Callers: 60, Tokens: 20}, {Team: "schools", Callers: 30, Tokens: 20}}
	tr.load = fl.Drive(ctx, append(loads, given.loads...)...)
	time.Sleep(faultSettle)
	tr.began = time.Now()
	strike(tr)
	time.Sleep(faultAfter)
	outcome := tr.outcome(tr.load.Stop())
	return outcome, trace.NewAggregate(append(tr.errs, fl.Close())...)
}
