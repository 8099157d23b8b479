package network

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	backlog = 1024    // backlog bounds the connections that wait for Accept.
	window  = 4 << 20 // window bounds the bytes on their way in one direction of a connection.
)

// Delay returns the one-way delay between two addresses.
type Delay func(from, to netip.Addr) time.Duration

// Config is what a Network is made of.
type Config struct {
	Delay Delay // Delay is zero everywhere when nil.
}

// Network joins hosts.
type Network struct {
	delay Delay

	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	conns     map[*conn]bool
	cut       map[pair]bool
	oneWay    map[pair]bool // oneWay has the sender first.
	alone     map[netip.Addr]bool
	frozen    map[netip.Addr]bool
	waking    map[netip.Addr]Waking
	healed    chan struct{} // healed closes when the cuts or the frozen hosts change.
	sent      map[netip.AddrPort]int64
	port      uint16

	processors map[netip.Addr]*processor
}

// pair is two addresses; in cut the lesser is first.
type pair struct {
	a, b netip.Addr
}

func pairOf(a, b netip.Addr) pair {
	if b.Less(a) {
		a, b = b, a
	}
	return pair{a, b}
}

// New returns a network without hosts.
func New(config Config) *Network {
	network := &Network{
		delay:     config.Delay,
		listeners: map[netip.AddrPort]*listener{},
		conns:     map[*conn]bool{},
		cut:       map[pair]bool{},
		oneWay:    map[pair]bool{},
		alone:     map[netip.Addr]bool{},
		frozen:    map[netip.Addr]bool{},
		waking:    map[netip.Addr]Waking{},
		healed:    make(chan struct{}),
		sent:      map[netip.AddrPort]int64{},
		port:      1 << 15,

		processors: map[netip.Addr]*processor{},
	}
	if network.delay == nil {
		network.delay = func(netip.Addr, netip.Addr) time.Duration { return 0 }
	}
	return network
}

// Listen opens a listener at an address.
func (n *Network) Listen(address netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "memory", Addr: net.TCPAddrFromAddrPort(address), Err: syscall.EADDRINUSE}
	}
	listener := &listener{network: n, address: address, conns: make(chan net.Conn, backlog), done: make(chan struct{})}
	n.listeners[address] = listener
	return listener, nil
}

// Dialer returns the function by which the host with this address dials.
func (n *Network) Dialer(from netip.Addr) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return n.dial(ctx, from, to)
	}
}

// Cut loses all that is sent between two hosts, until Heal.
func (n *Network) Cut(a, b netip.Addr) {
	n.change(func() { n.cut[pairOf(a, b)] = true })
}

// Heal ends a Cut; what connections hold arrives then.
func (n *Network) Heal(a, b netip.Addr) {
	n.change(func() { delete(n.cut, pairOf(a, b)) })
}

// CutOneWay loses all that one host sends to another, until HealOneWay.
func (n *Network) CutOneWay(from, to netip.Addr) {
	n.change(func() { n.oneWay[pair{from, to}] = true })
}

// HealOneWay ends a CutOneWay.
func (n *Network) HealOneWay(from, to netip.Addr) {
	n.change(func() { delete(n.oneWay, pair{from, to}) })
}

// Isolate loses all that a host sends and gets, until Rejoin.
func (n *Network) Isolate(host netip.Addr) {
	n.change(func() { n.alone[host] = true })
}

// Rejoin ends an Isolate.
func (n *Network) Rejoin(host netip.Addr) {
	n.change(func() { delete(n.alone, host) })
}

// Waking says what a read that was due during a Freeze returns after it.
type Waking int

// Ways of waking; a real process may wake either way.
const (
	DeadlinesFirst Waking = iota // DeadlinesFirst: that its deadline has passed.
	DataFirst                    // DataFirst: what has arrived meanwhile.
)

// Freeze holds all calls of a host's connections and listeners, as if its process
// had stopped, until Thaw. What others send to it arrives and waits, and what it
// has sent goes on its way; others can still dial it.
func (n *Network) Freeze(host netip.Addr, waking Waking) {
	n.change(func() { n.frozen[host], n.waking[host] = true, waking })
}

// Thaw ends a Freeze.
func (n *Network) Thaw(host netip.Addr) {
	n.change(func() { delete(n.frozen, host) })
}

// AwaitThaw returns when a host is not frozen.
func (n *Network) AwaitThaw(host netip.Addr) { n.awaitThaw(host) }

// awaitThaw returns true if the host was frozen and wakes with what has arrived.
func (n *Network) awaitThaw(host netip.Addr) (dataFirst bool) {
	for {
		frozen, waking, changed := n.freezeOf(host)
		if !frozen {
			return dataFirst
		}
		dataFirst = waking == DataFirst
		<-changed
	}
}

func (n *Network) freezeOf(host netip.Addr) (frozen bool, waking Waking, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[host], n.waking[host], n.healed
}

// Silence makes the open connections between two hosts silent for good; new ones work.
func (n *Network) Silence(a, b netip.Addr) {
	n.change(func() {
		for conn := range n.conns {
			if pairOf(conn.local.Addr(), conn.remote.Addr()) == pairOf(a, b) {
				conn.in.silence()
			}
		}
	})
}

// Crash resets all connections of a host.
func (n *Network) Crash(host netip.Addr) {
	n.mu.Lock()
	var broken []*conn
	for conn := range n.conns {
		if conn.local.Addr() == host || conn.remote.Addr() == host {
			broken = append(broken, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range broken {
		conn.shut()
	}
}

// Sent returns the bytes written so far from a listening address or to it, by either end.
func (n *Network) Sent(address netip.AddrPort) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[address]
}

func (n *Network) change(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply()
	close(n.healed)
	n.healed = make(chan struct{})
}

// reaches tells whether packets pass between two hosts, and returns what closes when that may have changed.
func (n *Network) reaches(a, b netip.Addr) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cut := a != b && (n.cut[pairOf(a, b)] || n.oneWay[pair{a, b}] || n.alone[a] || n.alone[b])
	return !cut, n.healed
}

func (n *Network) count(address netip.AddrPort, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[address] += int64(bytes)
}

func (n *Network) dial(ctx context.Context, from netip.Addr, to netip.AddrPort) (net.Conn, error) {
	n.spend(from, costOfConnect)
	if err := n.handshake(ctx, from, to.Addr()); err != nil {
		return nil, err
	}
	n.AwaitThaw(from)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	listener := n.listeners[to]
	if listener == nil {
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: net.TCPAddrFromAddrPort(to), Err: syscall.ECONNREFUSED}
	}
	n.port++
	ours, theirs := n.connect(netip.AddrPortFrom(from, n.port), to)
	select {
	case listener.conns <- theirs:
		n.conns[ours], n.conns[theirs] = true, true
		return ours, nil
	default:
		return nil, &net.OpError{Op: "dial", Net: "memory", Addr: net.TCPAddrFromAddrPort(to), Err: syscall.ECONNREFUSED}
	}
}

// leastWait is the shortest wait. The race detector breaks on timers in a synctest
// bubble that are due before anyone waits for them.
const leastWait = time.Nanosecond

// handshake waits for one round trip.
func (n *Network) handshake(ctx context.Context, from, to netip.Addr) error {
	timer := time.NewTimer(max(n.delay(from, to)+n.delay(to, from), leastWait))
	defer timer.Stop()
	for {
		reaches, changed := n.reaches(from, to)
		wait := timer.C
		if !reaches {
			wait = nil
		}
		select {
		case <-wait:
			return nil
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// connect returns both ends of a new connection.
func (n *Network) connect(from, to netip.AddrPort) (ours, theirs *conn) {
	there := newHalf(n, from.Addr(), to.Addr())
	back := newHalf(n, to.Addr(), from.Addr())
	ours = &conn{network: n, local: from, remote: to, served: to, in: back, out: there}
	theirs = &conn{network: n, local: to, remote: from, served: to, in: there, out: back}
	return ours, theirs
}

// listener hands out the far ends of dialled connections.
type listener struct {
	network *Network
	address netip.AddrPort
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
	turn    turn
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	if len(l.conns) == 0 {
		l.turn.end()
	}
	select {
	case conn := <-l.conns:
		l.network.AwaitThaw(l.address.Addr())
		l.network.spendInTurn(l.address.Addr(), costOfConnect, &l.turn)
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close frees the address; connections that wait are closed.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.done)
		for {
			select {
			case conn := <-l.conns:
				conn.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}
