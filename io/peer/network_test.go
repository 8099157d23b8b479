package peer_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"ryelug/core/cell"
	"ryelug/io/peer"
	"ryelug/io/wire"
)

var errNoRoute = errors.New("no route")

// network connects meshes by net.Pipe, so that they can run in a synctest bubble.
type network struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	conns     []pipe
	dials     int
	blocked   bool
}

// pipe is one end of a connection that can be silenced: it stays open, but what is written to it is lost.
type pipe struct {
	net.Conn
	silent *atomic.Bool
}

func (p pipe) Write(b []byte) (int, error) {
	if p.silent.Load() {
		return len(b), nil
	}
	return p.Conn.Write(b)
}

type listener struct {
	addr  netip.AddrPort
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

func newNetwork() *network { return &network{listeners: make(map[netip.AddrPort]*listener)} }

func (n *network) listen(port uint16) *listener {
	addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
	l := &listener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

func (n *network) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	blocked := n.blocked
	n.dials++
	n.mu.Unlock()
	if l == nil || blocked {
		return nil, errNoRoute
	}
	near, far := net.Pipe()
	ours := pipe{near, new(atomic.Bool)}
	theirs := pipe{far, ours.silent}
	select {
	case l.conns <- theirs:
	case <-l.done:
		return nil, errNoRoute
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, ours, theirs)
	return ours, nil
}

// setBlocked closes all connections, and refuses new ones if blocked is true.
func (n *network) setBlocked(blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
	for _, c := range n.conns {
		c.Close()
	}
	n.conns = nil
}

// setSilent silences the open connections or lets them deliver again; later connections are not affected.
func (n *network) setSilent(silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.silent.Store(silent)
	}
}

func (n *network) dialCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// dialOnlyOnce lets a mesh dial successfully only once.
func (n *network) dialOnlyOnce(c *peer.Config) {
	var once sync.Once
	c.Dial = func(ctx context.Context, addr netip.AddrPort) (conn net.Conn, err error) {
		err = errNoRoute
		once.Do(func() { conn, err = n.dial(ctx, addr) })
		return conn, err
	}
}

// node is a running mesh under test.
type node struct {
	*peer.Mesh
	addr   netip.AddrPort
	cancel context.CancelFunc
	done   chan struct{}
}

func (n *network) start(t *testing.T, router cell.RouterID, port uint16, change func(*peer.Config)) *node {
	t.Helper()
	l := n.listen(port)
	conf := peer.Config{Self: router, DataCentre: "north", Key: []byte("secret"), Listener: l, Dial: n.dial}
	if change != nil {
		change(&conf)
	}
	ctx, cancel := context.WithCancel(t.Context())
	nd := &node{Mesh: peer.New(conf), addr: l.addr, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(nd.done)
		if err := nd.Run(ctx); err != nil {
			t.Errorf("mesh %s: %v", router, err)
		}
	}()
	return nd
}

func (nd *node) stop() {
	nd.cancel()
	<-nd.done
}

// next returns the next event of type T. It skips other events, and acknowledges all frames.
func next[T peer.Event](t *testing.T, nd *node) T {
	t.Helper()
	for ev := range nd.Events() {
		if r, ok := ev.(*peer.Received); ok {
			r.Acknowledge()
		}
		if want, ok := ev.(T); ok {
			return want
		}
	}
	panic("the channel of events never closes")
}

// nextMessage returns the next message and skips heartbeats.
func nextMessage(t *testing.T, nd *node) (wire.Message, *peer.Received) {
	t.Helper()
	for {
		r := next[*peer.Received](t, nd)
		if r.Message != nil {
			return r.Message, r
		}
	}
}

// drain acknowledges all frames that are queued for the consumer.
func drain(nd *node) {
	for {
		select {
		case ev := <-nd.Events():
			if r, ok := ev.(*peer.Received); ok {
				r.Acknowledge()
			}
		default:
			return
		}
	}
}
