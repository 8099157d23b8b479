package stamped

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"ryelug/io/frame"
	"ryelug/io/wire"
)

const ringFrames = 2 // frames of the largest size that may wait in a link

var encoders = sync.Pool{New: func() any { return wire.NewEncoder() }}

// Config sets up a Link.
type Config struct {
	Conn      *frame.Conn
	Heartbeat time.Duration // Heartbeat is the longest pause between two frames.
	Idle      time.Duration // Idle is the longest pause between two frames of a calm end, both ends' alike; at least Heartbeat.
	Silent    time.Duration // Silent is the pause after which the link is closed, or by which a calm end's may exceed Idle.
	MaxFrame  int           // MaxFrame bounds the bytes of a message.
	Stats     *Stats        // Stats may be those of several links.
}

// Link is one open connection to another router.
type Link struct {
	config Config
	clock  clock
	closed chan struct{} // closed is closed by Close.
	once   sync.Once

	calm  atomic.Bool   // calm tells that this end beats each Idle.
	rouse chan struct{} // rouse asks for a frame at once, when the end is calm no more.
	seen  atomic.Uint64 // seen is the newest stamp whose frame the consumer has acknowledged.
	ring  *ring         // ring keeps its messages in the order of the echoes and histories in them.
	sent  *wire.History // sent is guarded by the ring's lock.
}

// Received is a frame; Message is nil for a heartbeat.
type Received struct {
	Message wire.Message
	Echoed  time.Time // Echoed is when this router sent the newest stamp that the sender had seen.
	link    *Link
	stamp   uint64 // stamp is the sender's.
}

// New returns a Link whose clock starts now.
func New(config Config) *Link {
	return &Link{
		config: config,
		clock:  clock{start: time.Now()},
		closed: make(chan struct{}),
		rouse:  make(chan struct{}, 1),
		sent:   wire.NewHistory(),
		ring:   newRing(ringFrames * config.MaxFrame),
	}
}

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
		l.config.Stats.overflows.Add(1)
	}
	return queued
}

// make encodes a message; a link that can't send it is of no use any more, since its history would differ.
func (l *Link) make(msg wire.Message) (outgoing, bool) {
	encoder := encoders.Get().(*wire.Encoder)
	defer encoders.Put(encoder)
	kind, body, err := encoder.Encode(msg, l.sent)
	if err != nil || len(body) > l.config.MaxFrame {
		l.config.Stats.unsendable.Add(1)
		return outgoing{}, false
	}
	return outgoing{kind: kind, body: bytes.Clone(body), echo: l.seen.Load()}, true
}

// SetIdle tells whether the other end may hear of this one as seldom as Idle says while nothing is sent.
func (l *Link) SetIdle(calm bool) {
	if !l.calm.Swap(calm) || calm {
		return
	}
	select {
	case l.rouse <- struct{}{}:
	default:
	}
}

// Closed returns a channel that is closed when the link is.
func (l *Link) Closed() <-chan struct{} { return l.closed }

// Close closes the link.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.config.Conn.Close() // The link is of no use either way.
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
		seen := r.link.seen.Load()
		if r.stamp <= seen || r.link.seen.CompareAndSwap(seen, r.stamp) {
			return
		}
	}
}
