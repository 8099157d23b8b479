package trial

import (
	"context"
	"time"

	"ryelug/standin/fleet"
	"ryelug/standin/network"
)

// freezeLasts is longer than every timeout of a router but those of whole requests.
const freezeLasts = 15 * time.Second

// Role says which router a fault strikes.
type Role string

// Roles of routers.
const (
	Dispatcher Role = "dispatcher" // Dispatcher is the router that holds most stakes of the engines.
	Entry      Role = "entry"      // Entry is some other router.
)

// Freeze says which routers freeze, and before which engines.
type Freeze struct {
	Role    Role
	Cold    bool          // Cold engines stay so.
	Gap     time.Duration // Gap is the time between tokens of cold engines; zero for a request that outlasts the wait for a stake.
	Resumes bool          // Resumes counts resumed streams towards the cold limit; otherwise only new requests count.
	Waking  network.Waking
	Times   int // Times is the number of routers that freeze, one after another.
	Seed    uint64
}

// WithFreezes runs a loaded fleet in which a router of a role freezes and wakes,
// and then, as often as wanted, the router that has the role by then.
func WithFreezes(ctx context.Context, given Freeze) (*Outcome, error) {
	conf := config{seed: given.Seed, cold: given.Cold, tokenGap: given.Gap, startsOnly: !given.Resumes, freezes: true, services: 2}
	conf.loads = []fleet.Load{{Team: "kiosks", Callers: 10, Service: true}}
	return run(ctx, conf, func(tr *trial) {
		for range given.Times {
			tr.freeze(given)
			time.Sleep(faultAfter)
		}
	})
}

func (tr *trial) freeze(given Freeze) {
	m := tr.dispatcher()
	if given.Role == Entry {
		m = tr.other(m)
	}
	tr.struck[m.Host] = true
	m.Freeze(given.Waking)
	time.Sleep(freezeLasts)
	m.Thaw()
}
