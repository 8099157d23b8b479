package handover

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/neighbour"
)

const (
	dialTimeout = 300 * time.Millisecond // dialTimeout bounds a dial, a small part of what callers wait for a connection.
	dialPause   = time.Second            // dialPause is the time after a link was lost or a dial failed in which no other is made.
)

// DialerConfig sets up a Dialer.
type DialerConfig struct {
	Identity Identity
	Dial     func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Log      logrus.FieldLogger
}

// Dialer keeps links to the routers that take connections of this one. It may be used by many goroutines.
type Dialer struct {
	config DialerConfig

	mu    sync.Mutex
	links map[netip.AddrPort]*outgoing
	// wanted holds the routers that are to be linked.
	wanted map[netip.AddrPort]bool
}

// outgoing is the link to one router, or the time at which the next one may be dialed.
type outgoing struct {
	link  *link // link is nil while there is none.
	again time.Time
}

// NewDialer returns a Dialer without links.
func NewDialer(config DialerConfig) *Dialer {
	return &Dialer{config: config, links: make(map[netip.AddrPort]*outgoing), wanted: make(map[netip.AddrPort]bool)}
}

// Want keeps links to these routers. The link to another one ends once it carries nothing.
func (d *Dialer) Want(now time.Time, routers []neighbour.Router) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.wanted)
	for _, one := range routers {
		d.wanted[one.Address] = true
		at := d.links[one.Address]
		if at == nil {
			at = &outgoing{}
			d.links[one.Address] = at
		}
		if at.link == nil && !now.Before(at.again) {
			at.again = now.Add(dialPause)
			go d.connect(one.Host, one.Address)
		}
	}
	for address, at := range d.links {
		if at.link == nil && !d.wanted[address] {
			delete(d.links, address)
		}
	}
}

// Load returns how much of its processor a router uses, in thousandths, and false while there is no link to it.
func (d *Dialer) Load(one *neighbour.Router) (load int, linked bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := d.links[one.Address]; at != nil && at.link != nil {
		return int(at.link.load.Load()), true
	}
	return 0, false
}

// Open begins a stream to a router that is linked; age is that of the caller's connection.
func (d *Dialer) Open(address netip.AddrPort, age time.Duration) (*Stream, bool) {
	d.mu.Lock()
	at := d.links[address]
	d.mu.Unlock()
	if at == nil || at.link == nil {
		return nil, false
	}
	return at.link.open(age)
}

// connect dials a router and serves the link until it breaks.
func (d *Dialer) connect(host cell.HostID, address netip.AddrPort) {
	log := d.config.Log.WithFields(logrus.Fields{"host": string(host), "address": address.String()})
	one, err := d.dial(host, address)
	if err != nil {
		log.WithError(err).Warn("No link by which connections could be handed over.")
		return
	}
	d.set(address, one)
	log.Info("Connections may be handed over to a router.")
	go d.keep(address, one)
	err = one.run()
	d.set(address, nil)
	log.WithError(err).Info("The link by which connections were handed over is down.")
}

func (d *Dialer) dial(host cell.HostID, address netip.AddrPort) (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	raw, err := d.config.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	hello := d.config.Identity.greeting(raw)
	if _, err := hello.Dial(host); err != nil {
		raw.Close()
		return nil, err
	}
	return newLink(raw, hello.Conn, nil), nil
}

// set notes the link to a router, or that there is none.
func (d *Dialer) set(address netip.AddrPort, one *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.links[address] = &outgoing{link: one, again: time.Now().Add(dialPause)}
}

// Close ends all links; streams break off.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, at := range d.links {
		if at.link != nil {
			at.link.close()
		}
	}
}

// keep ends a link whose other end is lost, or that is idle and not wanted any more.
func (d *Dialer) keep(address netip.AddrPort, l *link) {
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	var (
		quiet silence
		idle  time.Duration // idle is the time since the last ping.
	)
	for {
		select {
		case <-l.closed:
			return
		case <-ticker.C:
		}
		idle += pingEvery
		if quiet.pass(l, pingEvery) >= silent || l.isIdle() && !d.isWanted(address) {
			l.close() // What a router that leaves serves for this one goes on to its end.
			return
		}
		if idle >= idlePing || !l.isIdle() {
			idle = 0
			quiet.owe(l)
			l.send(&message{kind: kindPing})
		}
	}
}

func (d *Dialer) isWanted(address netip.AddrPort) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wanted[address]
}
