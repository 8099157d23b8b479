package router

import (
	"context"
	"math/rand/v2"
	"time"
)

// hostPoller is the duty that reads the platform's list of hosts. Those that
// watch the configuration read it for their data centre; the others read it for
// themselves only while no watcher tells them.
type hostPoller struct {
	config      *Config
	coordinator *coordinator
	random      *rand.Rand
}

// listFresh is the number of intervals for which a list that was heard is fresh enough.
const listFresh = 2

func newHostPoller(config *Config, coordinator *coordinator) *hostPoller {
	random := rand.New(rand.NewPCG(config.Seed, 0))
	return &hostPoller{config: config, coordinator: coordinator, random: random}
}

// run reads the list until ctx ends, with jitter so that routers do not ask together.
func (p *hostPoller) run(ctx context.Context) error {
	for {
		if p.isDue() {
			p.read(ctx)
		}
		pause := p.config.Timings.HostsPoll
		pause += time.Duration(p.random.Int64N(int64(pause / 2)))
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

func (p *hostPoller) isDue() bool {
	last := p.coordinator.listedAt.Load()
	fresh := last != nil && time.Since(*last) < listFresh*p.config.Timings.HostsPoll
	return !fresh || p.coordinator.news.Watching()
}

func (p *hostPoller) read(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, p.config.Timings.PlatformTimeout)
	members, err := p.config.Hosts.Hosts(readCtx)
	cancel()
	if err != nil {
		p.config.Log.WithField("part", "member").WithError(err).Debug("The list of hosts can't be read.")
	}
	p.coordinator.post(ctx, listed{members: members, err: err})
}
