package peer

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/io/stamped"
)

// Defaults of Config.
const (
	DefaultHeartbeat   = 250 * time.Millisecond
	DefaultSilent      = 750 * time.Millisecond
	DefaultDialTimeout = 500 * time.Millisecond
	DefaultRedial      = 50 * time.Millisecond
	DefaultRedialMax   = time.Second
	DefaultMaxFrame    = 2 << 20 // bytes
)

// Config configures a Mesh; zero fields but Self, DataCentre, Key and Listener get defaults.
type Config struct {
	Self        cell.RouterID // Self identifies this router.
	DataCentre  string        // DataCentre is the data centre of this host, sent to every peer.
	Key         []byte        // Key is the secret shared by all routers.
	Heartbeat   time.Duration // Heartbeat is the longest pause between two frames sent on a link.
	Idle        time.Duration // Idle takes the place of Heartbeat at an end of a link that is calm (see Link.SetIdle); at least Heartbeat.
	Silent      time.Duration // Silent is how long a link may receive nothing before it is closed; Idle is added after a frame sent by a calm end.
	DialTimeout time.Duration // DialTimeout bounds connecting, and then the handshake.
	Redial      time.Duration // Redial is the first delay before a peer is dialled again; later delays grow up to RedialMax.
	RedialMax   time.Duration
	Listener    net.Listener // Listener accepts the links that peers dial; Run closes it.
	Dial        func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	MaxFrame    int                // MaxFrame limits the body of a frame, in bytes.
	Log         logrus.FieldLogger // Log gets refused connections and closed links; nil discards them.
}

func (c *Config) setDefaults() {
	c.Heartbeat = cmp.Or(c.Heartbeat, DefaultHeartbeat)
	c.Idle = max(c.Idle, c.Heartbeat)
	c.Silent = cmp.Or(c.Silent, DefaultSilent)
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.Redial = cmp.Or(c.Redial, DefaultRedial)
	c.RedialMax = cmp.Or(c.RedialMax, DefaultRedialMax)
	if c.MaxFrame <= 0 {
		c.MaxFrame = DefaultMaxFrame
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		c.Log = discard
	}
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", addr.String())
}

// Address is the address on which the router of a host listens for peers.
type Address struct {
	Host cell.HostID
	Addr netip.AddrPort
}

// Event is an event of a link: *Up, *Down or *Received.
type Event interface{ event() }

// Up reports that a link has completed its handshake.
type Up struct{ Link *Link }

// Down reports that a link has closed; it is the link's last event.
type Down struct{ Link *Link }

// Received delivers a frame received on a link.
type Received struct {
	Link *Link
	*stamped.Received
}

func (*Up) event()       {}
func (*Down) event()     {}
func (*Received) event() {}
