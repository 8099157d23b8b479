package peer

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ryelug/core/cell"
	"ryelug/io/frame"
	"ryelug/io/greeting"
	"ryelug/io/wire"
)

const ringFrames = 2 // frames of the largest size that may wait in a link

var encoders = sync.Pool{New: func() any { return wire.NewEncoder() }}

// Link is one authenticated connection to another router. A link that this
// router dialed carries the traffic of its entries; one that the other router
// dialed carries the traffic of the other's entries to the dispatchers here.
type Link struct {
	mesh    *Mesh
	router  cell.RouterID
	dc      string
	started time.Time // started is when the other process started, on this clock.
	dialed  bool
	conn    *frame.Conn
	clock   clock
	closed  chan struct{} // closed is closed by Close.
	done    chan struct{} // done is closed when no event of the link follows.
	once    sync.Once

	seen atomic.Uint64 // seen is the newest stamp whose frame the consumer has acknowledged.
	ring *ring         // ring keeps its messages in the order of the echoes and histories in them.
	sent *wire.History // sent is guarded by the ring's lock.
}

// Router returns the router at the other end.
func (l *Link) Router() cell.RouterID { return l.router }

// DataCentre returns the data centre that the other end has named.
func (l *Link) DataCentre() string { return l.dc }

// Started returns when the process at the other end started, on this router's clock.
func (l *Link) Started() time.Time { return l.started }

// Dialed tells whether this router opened the link.
func (l *Link) Dialed() bool { return l.dialed }

// Send queues a message and never blocks; the message is not kept. It returns
// false if the link is closed, or is closed now because its ring is full.
func (l *Link) Send(msg wire.Message) bool {
	if l.isClosed() {
		return false
	}
	if l.enqueue(msg) {
		return true
	}
	l.Close()
	return false
}

func (l *Link) enqueue(msg wire.Message) bool {
	made := false
	queued := l.ring.add(func() (out outgoing, ok bool) {
		out, made = l.make(msg)
		return out, made
	})
	if made && !queued {
		l.mesh.stats.overflows.Add(1)
	}
	return queued
}

// make encodes a message; a link that can't send it is of no use any more, since its history would differ.
func (l *Link) make(msg wire.Message) (outgoing, bool) {
	encoder := encoders.Get().(*wire.Encoder)
	defer encoders.Put(encoder)
	kind, body, err := encoder.Encode(msg, l.sent)
	if err != nil || len(body) > l.mesh.conf.MaxFrame {
		l.mesh.stats.unsendable.Add(1)
		return outgoing{}, false
	}
	return outgoing{kind: kind, body: bytes.Clone(body), echo: l.seen.Load()}, true
}

// Close closes the link; Down follows.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.conn.Close() // The link is of no use either way.
	})
}

func (l *Link) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

// Acknowledge marks the frame as processed: what is sent from now on echoes
// its stamp. The goroutine that decides calls it first, then reads the clock,
// then decides and sends, so that an echo never claims more than the decision knew.
func (r *Received) Acknowledge() {
	for {
		seen := r.Link.seen.Load()
		if r.stamp <= seen || r.Link.seen.CompareAndSwap(seen, r.stamp) {
			return
		}
	}
}

// stampUnit is the unit of stamps, so coarse that their growth between two heartbeats needs four bits.
const stampUnit = 20 * time.Millisecond

// clock counts stamps: whole units since the greeting. A stamp is never later than its time.
type clock struct{ start time.Time }

func (c clock) stamp() uint64 { return uint64(time.Since(c.start) / stampUnit) }

func (c clock) at(stamp uint64) time.Time {
	return c.start.Add(time.Duration(stamp) * stampUnit)
}

func newLink(m *Mesh, conn net.Conn, dialed bool) *Link {
	return &Link{
		mesh:   m,
		dialed: dialed,
		conn:   frame.New(frame.Config{Conn: conn, Limit: greeting.MaxFrame}),
		clock:  clock{start: time.Now()},
		closed: make(chan struct{}),
		done:   make(chan struct{}),
		sent:   wire.NewHistory(),
		ring:   newRing(ringFrames * m.conf.MaxFrame),
	}
}
