package poll

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/member"
	"ryelug/io/pause"
	"ryelug/router/coordination"
)

// Hosts is the background task that reads the platform's list of hosts. A router that
// watches the configuration for its data centre reads the list on behalf of the other routers
// there, which read it themselves only while no watching router sends it to them.
type Hosts struct {
	config HostsConfig
	random *rand.Rand
}

// Lister reads the platform's list of hosts. Hosts returns an error if the list can't be read.
type Lister interface {
	Hosts(ctx context.Context) ([]member.Member, error)
}

// HostsConfig holds the settings of Hosts and what it works with.
type HostsConfig struct {
	List        Lister
	Coordinator *coordination.Coordinator // Coordinator receives each list, or the error.
	Watching    func() bool               // Watching reports whether this router reads the platform for its data centre.
	Timings     coordination.Timings
	Seed        uint64 // Seed initializes the random jitter between reads.
	Log         logrus.FieldLogger
}

// freshIntervals is the age, in multiples of Timings.HostsPoll, up to which the last list is fresh enough.
const freshIntervals = 2

// NewHosts returns a task that does nothing until Run is called.
func NewHosts(config HostsConfig) *Hosts {
	return &Hosts{config: config, random: rand.New(rand.NewPCG(config.Seed, 0))}
}

// Run reads the list periodically until ctx ends, and then returns nil. Random jitter keeps the routers from
// reading at the same time.
func (h *Hosts) Run(ctx context.Context) error {
	for {
		if h.isDue() {
			h.read(ctx)
		}
		if !pause.For(ctx, h.interval()) {
			return nil
		}
	}
}

// interval returns the time to the next read: Timings.HostsPoll, extended at random by up to half of it.
func (h *Hosts) interval() time.Duration {
	interval := h.config.Timings.HostsPoll
	return interval + time.Duration(h.random.Int64N(int64(interval/2)))
}

// isDue reports whether this router must read the list: it does so for its data centre, or its last list is too old.
func (h *Hosts) isDue() bool {
	last := h.config.Coordinator.ListedAt()
	fresh := !last.IsZero() && time.Since(last) < freshIntervals*h.config.Timings.HostsPoll
	return !fresh || h.config.Watching()
}

func (h *Hosts) read(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, h.config.Timings.PlatformTimeout)
	members, err := h.config.List.Hosts(readCtx)
	cancel()
	if err != nil {
		h.config.Log.WithError(err).Debug("The list of hosts can't be read.")
	}
	h.config.Coordinator.Listed(ctx, members, err)
}
