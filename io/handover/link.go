package handover

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ryelug/io/frame"
)

const (
	frameLimit   = dataBytes + 64         // frameLimit bounds a frame, in bytes.
	batchPause   = 2 * time.Millisecond   // batchPause is how long frames wait for others to be written with them, a small part of what callers notice.
	batchKeep    = 256 << 10              // batchKeep bounds the memory of a batch that is kept for the next one, in bytes.
	pingEvery    = time.Second            // pingEvery is the time between two pings of a link that has streams,
	idlePing     = 10 * time.Second       // idlePing that of a link that has none.
	silent       = 3 * time.Second        // silent is the time without an answer to a ping, or without a ping, after which the other end counts as lost.
	writeTimeout = silent                 // writeTimeout bounds a write, which a live router takes sooner.
	greetTimeout = 2 * time.Second        // greetTimeout bounds each step of a greeting.
	loadEvery    = 200 * time.Millisecond // loadEvery is the time between two words on the load, in which it changes little.
)

// link carries the streams between two routers.
type link struct {
	raw    net.Conn
	conn   *frame.Conn
	opened func(*Stream) bool // opened takes a stream that the other end has begun, and returns false if there is no room; nil lets it begin none.
	load   atomic.Int64       // load is what the other end has told, in thousandths.
	heard  atomic.Int64       // heard counts frames of the other end.

	mu      sync.Mutex
	streams map[uint64]*Stream
	last    uint64 // last is the number of the newest stream that this end has begun.
	out     []byte
	down    bool
	ready   chan struct{} // ready wakes the writer.
	closed  chan struct{}
}

func newLink(raw net.Conn, conn *frame.Conn, opened func(*Stream) bool) *link {
	conn.SetLimit(frameLimit)
	conn.SetTimeouts(0, writeTimeout)
	_ = raw.SetReadDeadline(time.Time{}) // That of the greeting; on a closed connection the next read fails as well.
	return &link{
		raw: raw, conn: conn, opened: opened, streams: make(map[uint64]*Stream),
		ready: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

// run reads and writes until the link breaks, and returns the cause.
func (l *link) run() error {
	go l.write()
	err := l.readAll()
	l.close()
	return err
}

// silence counts how long the other end of a link owes a frame.
type silence struct {
	heard int64
	owed  bool // owed tells whether a ping is not answered yet; any frame after it is an answer.
	lasts time.Duration
}

// owe begins to count, unless a frame is owed already.
func (s *silence) owe(l *link) {
	if !s.owed {
		s.heard, s.owed, s.lasts = l.heard.Load(), true, 0
	}
}

// pass lets time pass and returns how long a frame has been owed.
func (s *silence) pass(l *link, span time.Duration) time.Duration {
	if s.owed = s.owed && l.heard.Load() == s.heard; !s.owed {
		return 0
	}
	s.lasts += span
	return s.lasts
}

// close ends the link and all its streams.
func (l *link) close() {
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		return
	}
	l.down = true
	streams := l.streams
	l.streams = nil
	close(l.closed)
	l.mu.Unlock()
	_ = l.conn.Close() // The link is given up, whatever closing it says.
	for _, stream := range streams {
		stream.end(syscall.ECONNRESET)
	}
}

// open begins a stream, unless the link is down.
func (l *link) open(age time.Duration) (*Stream, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, false
	}
	l.last++
	stream := newStream(l, l.last, age)
	l.streams[stream.id] = stream
	l.append(&message{kind: kindOpen, stream: stream.id, number: uint64(age.Milliseconds())})
	return stream, true
}

// send queues a frame, and returns false if the link is down. What waits is bounded by the windows of the streams.
func (l *link) send(m *message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return false
	}
	l.append(m)
	return true
}

// append queues a frame; the caller holds the lock.
func (l *link) append(m *message) {
	l.out = m.appendTo(l.out)
	wake(l.ready)
}

// release forgets a stream that this end has closed.
func (l *link) release(s *Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, s.id)
}

// isIdle tells whether the link has no streams.
func (l *link) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams) == 0
}

// write writes what waits, in batches.
func (l *link) write() {
	var batch []byte
	for {
		select {
		case <-l.closed:
			return
		case <-l.ready:
		}
		time.Sleep(batchPause)
		l.mu.Lock()
		batch, l.out = l.out, batch[:0]
		l.mu.Unlock()
		if err := l.conn.Write(batch); err != nil {
			l.close()
			return
		}
		if cap(batch) > batchKeep {
			batch = nil
		}
	}
}

func (l *link) readAll() error {
	for {
		body, err := l.conn.Next()
		if err != nil {
			return err
		}
		m, err := parse(body)
		if err != nil {
			return err
		}
		l.heard.Add(1)
		if err := l.take(&m); err != nil {
			return err
		}
	}
}

// take carries out one frame of the other end.
func (l *link) take(m *message) error {
	switch m.kind {
	case kindOpen:
		return l.begin(m)
	case kindLoad:
		l.load.Store(int64(min(m.number, 1000*1000)))
		return nil
	case kindPing:
		l.send(&message{kind: kindPong})
		return nil
	case kindPong:
		return nil
	}
	stream := l.stream(m)
	if stream == nil {
		return nil // This end has closed it, and the other one does not know yet.
	}
	switch m.kind {
	case kindData:
		if !stream.deliver(m.data) {
			return fmt.Errorf("%w: more than %d bytes wait on stream %d", errFrame, window, m.stream)
		}
	case kindRoom:
		stream.grant(m.number)
	case kindEnd:
		stream.end(io.EOF)
	}
	return nil
}

// stream returns the stream of a frame, which is forgotten with its last one.
func (l *link) stream(m *message) *Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.streams[m.stream]
	if m.kind == kindEnd {
		delete(l.streams, m.stream)
	}
	return stream
}

// begin takes in a stream of the other end.
func (l *link) begin(m *message) error {
	if l.opened == nil {
		return fmt.Errorf("%w: a stream from the router that takes connections", errFrame)
	}
	stream := newStream(l, m.stream, m.age())
	l.mu.Lock()
	known := l.streams[m.stream] != nil
	if !known && !l.down {
		l.streams[m.stream] = stream
	}
	l.mu.Unlock()
	if known {
		return fmt.Errorf("%w: stream %d begins twice", errFrame, m.stream)
	}
	if !l.opened(stream) {
		return stream.Close()
	}
	return nil
}
