package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"ryelug/core/cell"
	"ryelug/io/greeting"
	"ryelug/io/pause"
)

const (
	redialJitter = 0.5
	redialGrowth = 2
)

// dialing is the duty that keeps a link to one peer.
type dialing struct {
	addr   netip.AddrPort
	cancel context.CancelFunc
}

// dialLoop starts and stops the dialing of peers as SetPeers says.
func (m *Mesh) dialLoop(ctx context.Context, group *errgroup.Group) error {
	running := make(map[cell.HostID]dialing)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.changed:
			m.adjust(ctx, group, running)
		}
	}
}

func (m *Mesh) adjust(ctx context.Context, group *errgroup.Group, running map[cell.HostID]dialing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for host, d := range running {
		if m.peers[host] != d.addr {
			d.cancel()
			delete(running, host)
		}
	}
	for host, addr := range m.peers {
		if _, ok := running[host]; ok {
			continue
		}
		dialCtx, cancel := context.WithCancel(ctx)
		running[host] = dialing{addr: addr, cancel: cancel}
		group.Go(func() error { m.keepLink(dialCtx, host, addr); return nil })
	}
}

// keepLink dials a peer again whenever its link is down, with growing pauses and jitter.
func (m *Mesh) keepLink(ctx context.Context, host cell.HostID, addr netip.AddrPort) {
	pauses := &backoff.ExponentialBackOff{
		InitialInterval:     m.conf.Redial,
		RandomizationFactor: redialJitter,
		Multiplier:          redialGrowth,
		MaxInterval:         m.conf.RedialMax,
	}
	pauses.Reset()
	for ctx.Err() == nil {
		began := time.Now()
		m.dialOnce(ctx, host, addr)
		if time.Since(began) > m.conf.RedialMax {
			pauses.Reset()
		}
		if !pause.For(ctx, pauses.NextBackOff()) {
			return
		}
	}
}

func (m *Mesh) dialOnce(ctx context.Context, host cell.HostID, addr netip.AddrPort) {
	dialCtx, cancel := context.WithTimeout(ctx, m.conf.DialTimeout)
	conn, err := m.conf.Dial(dialCtx, addr)
	cancel()
	if err != nil {
		m.stats.dialFailures.Add(1)
		return
	}
	link := newLink(m, conn, true)
	theirs, err := m.greet(ctx, link, func(g *greeting.Greeting) (*greeting.Hello, error) { return g.Dial(host) })
	if err != nil {
		m.refuse(conn.RemoteAddr(), err)
		link.Close()
		return
	}
	_ = m.runLink(ctx, link, theirs) // Its end is logged there, and the link is dialed anew.
}
