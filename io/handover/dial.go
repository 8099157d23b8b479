package handover

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/neighbour"
	"ryelug/io/greeting"
)

const (
	dialTimeout = 300 * time.Millisecond // dialTimeout is the timeout of a dial; it is short compared with how long callers wait for a connection.
	avoidance   = 5 * time.Second        // avoidance is how long a router counts as unreachable after a failed dial or the loss of its link, so that another one takes its place.
	redialDelay = time.Second            // redialDelay is the minimum time from the start of a dial, or from the loss of a link, to the next dial of the same router.
)

// DialerConfig configures a Dialer; all fields are required.
type DialerConfig struct {
	Identity Identity
	// Dial opens a network connection to a router.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Log  logrus.FieldLogger
}

// Dialer maintains links to the routers that this router can hand connections over to. It is safe for concurrent use.
type Dialer struct {
	config DialerConfig

	mu sync.Mutex
	// links holds the state of each link by the address of the router.
	links map[netip.AddrPort]*outgoing
	// lost holds when a dial of each router last failed or its link was last lost.
	lost map[netip.AddrPort]time.Time
	// wanted holds the addresses of the routers that SetTargets named last.
	wanted map[netip.AddrPort]bool
	// version is that of this router's configuration; zero before SetVersion.
	version uint64
}

// outgoing is the state of the link to one router.
type outgoing struct {
	link     *link     // link is nil while there is no link.
	nextDial time.Time // nextDial is the earliest time of the next dial.
}

// NewDialer returns a Dialer without links; SetTargets sets them up.
func NewDialer(config DialerConfig) *Dialer {
	return &Dialer{config: config, links: make(map[netip.AddrPort]*outgoing), lost: make(map[netip.AddrPort]time.Time), wanted: make(map[netip.AddrPort]bool)}
}

// SetTargets sets the routers to keep links to, and dials in the background those that have no link. It must be called
// repeatedly, because only SetTargets dials again. A link to any other router is closed when it has no streams.
func (d *Dialer) SetTargets(now time.Time, routers []neighbour.Router) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.wanted)
	maps.DeleteFunc(d.lost, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= avoidance })
	for _, router := range routers {
		d.wanted[router.Address] = true
		entry := d.links[router.Address]
		if entry == nil {
			entry = &outgoing{}
			d.links[router.Address] = entry
		}
		if entry.link == nil && !now.Before(entry.nextDial) {
			entry.nextDial = now.Add(redialDelay)
			go d.connect(router.Host, router.Address)
		}
	}
	for address, entry := range d.links {
		if entry.link == nil && !d.wanted[address] {
			delete(d.links, address)
		}
	}
}

// IsReachable reports whether a router is linked, or has not been found unreachable within avoidance.
func (d *Dialer) IsReachable(now time.Time, router *neighbour.Router) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if entry := d.links[router.Address]; entry != nil && entry.link != nil && entry.link.isUsable() {
		return true
	}
	at, ok := d.lost[router.Address]
	return !ok || now.Sub(at) >= avoidance
}

// Load returns the processor utilisation that a router reported last, in thousandths, and false if there is no link to it, or
// if its configuration may be older than that of this router.
func (d *Dialer) Load(router *neighbour.Router) (load int, usable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if entry := d.links[router.Address]; entry != nil && entry.link != nil && entry.link.isUsable() && entry.link.version.Load() >= d.version {
		return int(entry.link.load.Load()), true
	}
	return 0, false
}

// SetVersion tells the other ends of all links the version of this router's configuration. What is passed on from now on is to be
// served by that version.
func (d *Dialer) SetVersion(version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version = version
	for _, entry := range d.links {
		if entry.link != nil {
			entry.link.tellState(version)
		}
	}
}

// Open opens a stream to the router at address; age is how long the caller's connection has waited. It returns false if
// there is no link to the router.
func (d *Dialer) Open(address netip.AddrPort, age time.Duration) (*Stream, bool) {
	d.mu.Lock()
	entry := d.links[address]
	d.mu.Unlock()
	if entry == nil || entry.link == nil {
		return nil, false
	}
	return entry.link.open(age)
}

// remoteEnd is the process at the other end of a link.
type remoteEnd struct {
	host    cell.HostID
	address netip.AddrPort
	router  cell.RouterID
}

// connect dials a router and serves the link until it is closed or can't be resumed.
func (d *Dialer) connect(host cell.HostID, address netip.AddrPort) {
	log := d.config.Log.WithFields(logrus.Fields{"host": string(host), "address": address.String()})
	t, hello, err := d.dial(host, address)
	if err != nil {
		d.noteLost(address)
		log.WithError(err).Warn("Failed to set up an outgoing hand-over link.")
		return
	}
	l := newLink(t, nil)
	l.session = rand.Uint64() | 1
	d.set(address, l)
	log.Info("An outgoing hand-over link is up.")
	go d.keepAlive(address, l)
	for remote := (&remoteEnd{host, address, hello.Router}); t != nil; {
		err = l.serve(t)
		if t = nil; l.mayResume() && !errors.Is(err, errMalformedFrame) {
			lost := time.Now()
			log.WithError(err).Info("An outgoing hand-over link is resumed over another connection.")
			if t, err = d.resume(l, remote); err == nil {
				log.WithFields(logrus.Fields{"took_ms": time.Since(lost).Milliseconds(), "frames_received": l.received.Load()}).Info("An outgoing hand-over link goes on.")
			}
		}
	}
	l.close()
	d.set(address, nil)
	if d.isWanted(address) {
		d.noteLost(address)
	}
	log.WithError(err).Info("An outgoing hand-over link is down.")
}

// dial connects to a router and performs the handshake, in which the router must identify itself as a process of host.
func (d *Dialer) dial(host cell.HostID, address netip.AddrPort) (*transport, *greeting.Hello, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := d.config.Dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	handshake := d.config.Identity.greeting(raw)
	hello, err := handshake.Dial(host)
	if err != nil {
		raw.Close()
		return nil, nil, err
	}
	return newTransport(raw, handshake.Conn), hello, nil
}

// ownVersion returns the version of this router's configuration.
func (d *Dialer) ownVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// noteLost records that a router can't be reached.
func (d *Dialer) noteLost(address netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lost[address] = time.Now()
}

// set records the link to a router, or nil if there is none, and delays the next dial by redialDelay.
func (d *Dialer) set(address netip.AddrPort, l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.links[address] = &outgoing{link: l, nextDial: time.Now().Add(redialDelay)}
	if l != nil {
		l.tellState(d.version)
	}
}

// Close closes all links; their streams fail with ECONNRESET.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, entry := range d.links {
		if entry.link != nil {
			entry.link.close()
		}
	}
}

// keepAlive sends pings on a link until it is closed. It closes the link if the other end is lost, or if the link is idle
// and its router is no longer wanted. A transport that is silent is given up earlier, so that the link is resumed over another one.
func (d *Dialer) keepAlive(address netip.AddrPort, l *link) {
	interval := pingInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	watch := linkWatch{link: l, patience: suspectAfter}
	for {
		select {
		case <-l.closed:
			return
		case <-l.busy: // A stream was opened, so the link is looked at more often.
			if interval > checkInterval {
				interval = checkInterval
				timer.Reset(interval)
			}
			continue
		case <-timer.C:
		}
		if watch.advance(interval) >= silenceTimeout || l.isIdle() && !d.isWanted(address) {
			l.close() // Only an idle link of an unwanted router is closed, so a router that shuts down can finish the streams it serves.
			return
		}
		if interval = pingInterval; !l.isIdle() {
			interval = checkInterval
		}
		timer.Reset(interval)
	}
}

// linkWatch decides when a link is pinged, and when its transport is given up.
type linkWatch struct {
	link      *link
	overdue   silence
	sincePing time.Duration
	isLost    bool          // isLost means that the transport was given up, and the link has not been resumed.
	sinceLoss time.Duration // sinceLoss is the time since the transport was given up.
	quiet     time.Duration // quiet is the time since the last frame.
	frames    int64         // frames is the value of link.framesReceived at the last look.
	patience  time.Duration // patience is how long a ping may stay unanswered; it grows if the router is slow to resume the link, too.
}

// advance is called at each look, with the time since the last one, and returns how long a frame has been overdue.
func (w *linkWatch) advance(span time.Duration) time.Duration {
	l := w.link
	w.sincePing += span
	w.quiet += span
	if frames := l.framesReceived.Load(); frames != w.frames {
		w.frames, w.quiet = frames, 0
	}
	w.sinceLoss += span
	switch isUsable := l.isUsable(); {
	case w.isLost && isUsable && w.sinceLoss > suspectAfter:
		w.isLost, w.patience = false, min(2*w.patience, silenceTimeout)
	case w.isLost && isUsable:
		w.isLost = false
	case w.sinceLoss >= calmSpan:
		w.patience = suspectAfter
	}
	waited := w.overdue.advance(l, span)
	if waited >= w.patience && l.isUsable() && l.sever() {
		w.isLost, w.sinceLoss = true, 0
	}
	l.acknowledgeReceived()
	busy := !l.isIdle()
	if w.sincePing >= idlePingInterval || busy && w.sincePing >= pingInterval || busy && w.quiet >= quietPing && !w.overdue.expected {
		w.sincePing = 0
		w.overdue.expect(l)
		l.send(&message{kind: kindPing})
	}
	return waited
}

// isWanted reports whether the last call of SetTargets named the router at address.
func (d *Dialer) isWanted(address netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wanted[address]
}
