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

// Hosts is the duty that reads the platform's list of hosts. Those that
// watch the configuration read it for their data centre; the others read it for
// themselves only while no watcher tells them.
type Hosts struct {
	config HostsConfig
	random *rand.Rand
}

// Lister reads the platform's list of hosts.
type Lister interface {
	Hosts(ctx context.Context) ([]member.Member, error)
}

// HostsConfig sets up Hosts.
type HostsConfig struct {
	List        Lister
	Coordinator *coordination.Coordinator
	Watching    func() bool // Watching tells whether this router reads the platform for its data centre.
	Timings     coordination.Timings
	Seed        uint64 // Seed sets the jitter.
	Log         logrus.FieldLogger
}

// listFresh is the number of intervals for which a list that was heard is fresh enough.
const listFresh = 2

// NewHosts returns the duty, which Run starts.
func NewHosts(config HostsConfig) *Hosts {
	return &Hosts{config: config, random: rand.New(rand.NewPCG(config.Seed, 0))}
}

// Run reads the list until ctx ends, with jitter so that routers do not ask together.
func (p *Hosts) Run(ctx context.Context) error {
	for {
		if p.isDue() {
			p.read(ctx)
		}
		if !pause.For(ctx, p.interval()) {
			return nil
		}
	}
}

// interval returns the time to the next read, half as long again at most as the setting.
func (p *Hosts) interval() time.Duration {
	interval := p.config.Timings.HostsPoll
	return interval + time.Duration(p.random.Int64N(int64(interval/2)))
}

func (p *Hosts) isDue() bool {
	last := p.config.Coordinator.ListedAt()
	fresh := !last.IsZero() && time.Since(last) < listFresh*p.config.Timings.HostsPoll
	return !fresh || p.config.Watching()
}

func (p *Hosts) read(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, p.config.Timings.PlatformTimeout)
	members, err := p.config.List.Hosts(readCtx)
	cancel()
	if err != nil {
		p.config.Log.WithError(err).Debug("The list of hosts can't be read.")
	}
	p.config.Coordinator.Listed(ctx, members, err)
}
