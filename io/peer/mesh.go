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
	eventRing  = 1024 // events that wait for the consumer
	greetLimit = 64   // accepted connections that have not proved the key yet
)

// Mesh keeps a link to each peer and takes the links that peers dial.
type Mesh struct {
	conf     Config
	born     time.Time // born is when the process started, as far as the mesh knows.
	events   chan Event
	stats    meshStats
	changed  chan struct{} // changed holds a token when peers have changed.
	greeting chan struct{} // greeting holds a token for each unauthenticated connection.

	mu    sync.Mutex
	peers map[cell.HostID]netip.AddrPort
	links map[linkKey]*Link
}

// linkKey allows one link of each direction to a host; a newer one takes the place of an older one.
type linkKey struct {
	host   cell.HostID
	dialed bool
}

// New returns a Mesh that does nothing until Run.
func New(conf Config) *Mesh {
	conf.setDefaults()
	return &Mesh{
		conf:     conf,
		born:     time.Now(),
		events:   make(chan Event, eventRing),
		changed:  make(chan struct{}, 1),
		greeting: make(chan struct{}, greetLimit),
		peers:    make(map[cell.HostID]netip.AddrPort),
		links:    make(map[linkKey]*Link),
	}
}

// Events returns the channel of events. For each Received its consumer calls Acknowledge.
func (m *Mesh) Events() <-chan Event { return m.events }

// SetPeers replaces the hosts that are dialed; links to others that this router dialed are closed.
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
	case m.changed <- struct{}{}:
	default:
	}
}

// Run accepts and dials until ctx ends, then closes all links.
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
			m.stats.refuse(refusedCrowd)
			conn.Close()
		}
	}
}

func (m *Mesh) accept(ctx context.Context, conn net.Conn) {
	link := newLink(m, conn, false)
	theirs, err := m.greet(ctx, link, (*greeting.Greeting).Accept)
	<-m.greeting
	if err != nil {
		m.refuse(conn.RemoteAddr(), err)
		link.Close()
		return
	}
	_ = m.runLink(ctx, link, theirs) // Its end is logged there, and the peer dials anew.
}

// greet bounds the whole greeting by one deadline.
func (m *Mesh) greet(ctx context.Context, link *Link, how func(*greeting.Greeting) (*greeting.Hello, error)) (*greeting.Hello, error) {
	link.conn.SetTimeouts(m.conf.DialTimeout, m.conf.DialTimeout)
	ctx, cancel := context.WithTimeout(ctx, m.conf.DialTimeout) // The greeting as a whole; the frames have it each.
	defer cancel()
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	theirs, err := how(&greeting.Greeting{
		Conn: link.conn, Self: m.conf.Self, DataCentre: m.conf.DataCentre, Age: time.Since(m.born), Key: m.conf.Key,
	})
	if stamped.IsClosed(err) && ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err == nil && theirs.Router.Host() == m.conf.Self.Host() {
		return nil, greeting.ErrHost
	}
	return theirs, err
}

// runLink serves a link that has passed its greeting, after any older one of its kind is done.
func (m *Mesh) runLink(ctx context.Context, link *Link, theirs *greeting.Hello) error {
	link.router = theirs.Router
	link.dc = theirs.DataCentre
	link.started = time.Now().Add(-theirs.Age)
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

// emit waits for room in the ring of events; while it does, the link is not read.
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
