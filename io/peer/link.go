package peer

import (
	"net"
	"time"

	"ryelug/core/cell"
	"ryelug/io/frame"
	"ryelug/io/greeting"
	"ryelug/io/stamped"
	"ryelug/io/wire"
)

// Link is one authenticated connection to another router. The router that dialled it uses it for requests
// that it accepted from its own callers; the other router uses it to dispatch those requests.
type Link struct {
	router     cell.RouterID
	dataCentre string
	started    time.Time // When the other process started, on this host's clock.
	dialed     bool
	conn       *frame.Conn
	frames     *stamped.Link
	done       chan struct{} // Closed once no event of the link follows.
}

// Router returns the id of the router at the other end.
func (l *Link) Router() cell.RouterID { return l.router }

// DataCentre returns the data centre that the other router sent in the handshake.
func (l *Link) DataCentre() string { return l.dataCentre }

// Started returns when the other router's process started, on this host's clock.
func (l *Link) Started() time.Time { return l.started }

// Dialed reports whether this router dialled the link.
func (l *Link) Dialed() bool { return l.dialed }

// Send queues a message without blocking; the message is not retained. It returns
// false if the link is closed, or if the send queue is full, which closes the link.
func (l *Link) Send(msg wire.Message) bool { return l.frames.Send(msg) }

// SetIdle sets whether this end is calm: no work depends on the link, so this end sends a frame only every Config.Idle,
// and the peer detects the loss of the link later.
func (l *Link) SetIdle(calm bool) { l.frames.SetIdle(calm) }

// Close closes the link; a Down event follows if the link had completed its handshake.
func (l *Link) Close() { l.frames.Close() }

func newLink(m *Mesh, raw net.Conn, dialed bool) *Link {
	conn := frame.New(frame.Config{Conn: raw, Limit: greeting.MaxFrame})
	return &Link{
		dialed: dialed,
		conn:   conn,
		done:   make(chan struct{}),
		frames: stamped.New(stamped.Config{
			Conn: conn, Heartbeat: m.conf.Heartbeat, Idle: m.conf.Idle, Silent: m.conf.Silent, MaxFrame: m.conf.MaxFrame, Stats: &m.stats.links,
		}),
	}
}
