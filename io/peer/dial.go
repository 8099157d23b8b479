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

// Parameters of the exponential backoff between dials.
const (
	redialJitter = 0.5
	redialGrowth = 2
)

// dialer is a running goroutine that maintains the link to one peer; cancel ends it and the link.
type dialer struct {
	addr   netip.AddrPort
	cancel context.CancelFunc
}

// dialLoop starts and stops dialers whenever SetPeers has changed the peers.
func (m *Mesh) dialLoop(ctx context.Context, group *errgroup.Group) error {
	dialers := make(map[cell.HostID]dialer)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.peersChanged:
			m.updateDialers(ctx, group, dialers)
		}
	}
}

// updateDialers cancels the dialers of peers that are gone or have a new address, and starts those that are missing.
func (m *Mesh) updateDialers(ctx context.Context, group *errgroup.Group, dialers map[cell.HostID]dialer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for host, d := range dialers {
		if m.peers[host] != d.addr {
			d.cancel()
			delete(dialers, host)
		}
	}
	for host, addr := range m.peers {
		if _, ok := dialers[host]; ok {
			continue
		}
		dialCtx, cancel := context.WithCancel(ctx)
		dialers[host] = dialer{addr: addr, cancel: cancel}
		group.Go(func() error { m.maintainLink(dialCtx, host, addr); return nil })
	}
}

// maintainLink dials a peer whenever its link is down, with exponential backoff and jitter.
// A link that lasted for longer than RedialMax resets the backoff.
func (m *Mesh) maintainLink(ctx context.Context, host cell.HostID, addr netip.AddrPort) {
	delays := &backoff.ExponentialBackOff{
		InitialInterval:     m.conf.Redial,
		RandomizationFactor: redialJitter,
		Multiplier:          redialGrowth,
		MaxInterval:         m.conf.RedialMax,
	}
	delays.Reset()
	for ctx.Err() == nil {
		began := time.Now()
		m.dialOnce(ctx, host, addr)
		if time.Since(began) > m.conf.RedialMax {
			delays.Reset()
		}
		if !pause.For(ctx, delays.NextBackOff()) {
			return
		}
	}
}

// dialOnce dials a peer and serves the link until it closes.
func (m *Mesh) dialOnce(ctx context.Context, host cell.HostID, addr netip.AddrPort) {
	dialCtx, cancel := context.WithTimeout(ctx, m.conf.DialTimeout)
	conn, err := m.conf.Dial(dialCtx, addr)
	cancel()
	if err != nil {
		m.stats.dialFailures.Add(1)
		return
	}
	link := newLink(m, conn, true)
	hello, err := m.handshake(ctx, link, func(g *greeting.Greeting) (*greeting.Hello, error) { return g.Dial(host) })
	if err != nil {
		m.refuse(conn.RemoteAddr(), err)
		link.Close()
		return
	}
	_ = m.runLink(ctx, link, hello) // The end of the link is logged by runLink, and maintainLink dials again.
}
