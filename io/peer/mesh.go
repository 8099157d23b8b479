package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"ryelug/core/cell"
	"ryelug/io/greeting"
	"ryelug/io/stamped"
)

const (
	eventQueueSize = 1024 // Events that can wait for the consumer.
	maxHandshakes  = 64   // Accepted connections that may be in their handshake at once.
)

// Mesh maintains a link to each peer and accepts the links that peers dial.
type Mesh struct {
	conf         Config
	startedAt    time.Time // When New was called; stands for the start of the process.
	events       chan Event
	stats        meshStats
	peersChanged chan struct{} // Holds a value while a change of peers is not applied yet.
	greeting     chan struct{} // Holds one value for each accepted connection in its handshake.

	mu    sync.Mutex
	peers map[cell.HostID]netip.AddrPort
	links map[linkKey]*Link
}

// linkKey identifies a link: at most one for each host and direction. A newer link replaces an older one.
type linkKey struct {
	host   cell.HostID
	dialed bool
}

// New returns a Mesh that is inactive until Run is called.
func New(conf Config) *Mesh {
	conf.setDefaults()
	return &Mesh{
		conf:         conf,
		startedAt:    time.Now(),
		events:       make(chan Event, eventQueueSize),
		peersChanged: make(chan struct{}, 1),
		greeting:     make(chan struct{}, maxHandshakes),
		peers:        make(map[cell.HostID]netip.AddrPort),
		links:        make(map[linkKey]*Link),
	}
}

// Events returns the channel of events, which is never closed. The consumer must call Acknowledge on each Received.
func (m *Mesh) Events() <-chan Event { return m.events }

// SetPeers replaces the set of peers to dial, this host excepted. Links that this router dialled to other hosts are closed.
func (m *Mesh) SetPeers(peers []Address) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.peers)
	for _, p := range peers {
		if p.Host != m.conf.Self.Host() {
			m.peers[p.Host] = p.Addr
		}
	}
	select {
	case m.peersChanged <- struct{}{}:
	default:
	}
}

// Run accepts and dials links until ctx ends, then closes all links. It returns nil if ctx was cancelled
// or the listener closed, and otherwise the error of the listener.
func (m *Mesh) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { m.conf.Listener.Close() })
	defer stop()
	group.Go(func() error { return m.acceptLoop(ctx, group) })
	group.Go(func() error { return m.dialLoop(ctx, group) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (m *Mesh) acceptLoop(ctx context.Context, group *errgroup.Group) error {
	for {
		conn, err := m.conf.Listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		select {
		case m.greeting <- struct{}{}:
			group.Go(func() error { m.accept(ctx, conn); return nil })
		default:
			m.stats.refuse(refusedTooMany)
			conn.Close()
		}
	}
}

func (m *Mesh) accept(ctx context.Context, conn net.Conn) {
	link := newLink(m, conn, false)
	hello, err := m.handshake(ctx, link, (*greeting.Greeting).Accept)
	<-m.greeting
	if err != nil {
		m.refuse(conn.RemoteAddr(), err)
		link.Close()
		return
	}
	_ = m.runLink(ctx, link, hello) // The end of the link is logged by runLink, and the peer dials again.
}

// handshake performs the handshake within DialTimeout. It rejects a router that runs on this host.
func (m *Mesh) handshake(ctx context.Context, link *Link, perform func(*greeting.Greeting) (*greeting.Hello, error)) (*greeting.Hello, error) {
	link.conn.SetTimeouts(m.conf.DialTimeout, m.conf.DialTimeout)
	ctx, cancel := context.WithTimeout(ctx, m.conf.DialTimeout) // Bounds the handshake as a whole; SetTimeouts bounds each frame.
	defer cancel()
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	hello, err := perform(&greeting.Greeting{
		Conn: link.conn, Self: m.conf.Self, DataCentre: m.conf.DataCentre, Age: time.Since(m.startedAt), Key: m.conf.Key,
	})
	if stamped.IsClosed(err) && ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err == nil && hello.Router.Host() == m.conf.Self.Host() {
		return nil, greeting.ErrHost
	}
	return hello, err
}

// runLink serves a link after its handshake, once an older link with the same key has ended.
func (m *Mesh) runLink(ctx context.Context, link *Link, hello *greeting.Hello) error {
	link.router = hello.Router
	link.dataCentre = hello.DataCentre
	link.started = time.Now().Add(-hello.Age)
	m.register(link)
	defer m.unregister(link)
	defer close(link.done)
	if err := m.emit(ctx, link, &Up{Link: link}); err != nil {
		link.Close()
		return err
	}
	err := link.frames.Serve(ctx, func(frame *stamped.Received) error {
		return m.emit(ctx, link, &Received{Link: link, Received: frame})
	})
	m.log().WithFields(logrus.Fields{"peer": link.router, "dialed": link.dialed}).WithError(err).Info("A link is down.")
	select {
	case m.events <- &Down{Link: link}:
	case <-ctx.Done():
	}
	return err
}

// register adds the link to links. It first closes an older link with the same key and waits for its last event.
func (m *Mesh) register(link *Link) {
	key := linkKey{link.router.Host(), link.dialed}
	for {
		m.mu.Lock()
		old := m.links[key]
		if old == nil {
			m.links[key] = link
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
		old.Close()
		<-old.done
		m.unregister(old)
	}
}

func (m *Mesh) unregister(link *Link) {
	key := linkKey{link.router.Host(), link.dialed}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[key] == link {
		delete(m.links, key)
	}
}

// emit queues an event; while the queue is full it blocks, and nothing is read from the link.
func (m *Mesh) emit(ctx context.Context, link *Link, ev Event) error {
	select {
	case m.events <- ev:
		return nil
	case <-link.frames.Closed():
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Mesh) log() logrus.FieldLogger { return m.conf.Log }
