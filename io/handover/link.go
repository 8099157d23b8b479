package handover

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	maxFrame         = maxDataFrame + 64      // maxFrame is the maximum size of a frame, in bytes.
	batchDelay       = 2 * time.Millisecond   // batchDelay is how long frames are delayed to be written together with later ones; callers do not notice it.
	maxKeptBatch     = 256 << 10              // maxKeptBatch is the largest write buffer that is kept for the next batch, in bytes.
	pingInterval     = time.Second            // pingInterval is the time between pings on a link with open streams.
	checkInterval    = 100 * time.Millisecond // checkInterval is the time between two looks at a link with open streams.
	quietPing        = 200 * time.Millisecond // quietPing is the time without a frame after which a link with open streams sends a ping.
	idlePingInterval = 10 * time.Second       // idlePingInterval is the time between pings on a link without open streams.
	silenceTimeout   = 3 * time.Second        // silenceTimeout is how long a ping may stay unanswered, or an expected ping may be overdue, before the other end is considered lost.
	writeTimeout     = silenceTimeout         // writeTimeout is the timeout of a write; a router that works accepts the data sooner.
	handshakeTimeout = 2 * time.Second        // handshakeTimeout is the timeout of each read and write of the handshake.
	loadInterval     = 200 * time.Millisecond // loadInterval is the time between checks whether the utilisation has to be reported; it changes little in that time.
)

// link carries many streams between two routers. Only the dialing end opens streams. A link outlives its network connection if both
// ends can resume it.
type link struct {
	accept         func(*Stream) bool // accept is called with each stream that the other end opens and returns false to reject it; nil means that the other end may not open streams.
	serves         func(uint64) bool  // serves reports whether this end can serve requests by a version of the configuration; nil at the dialing end.
	opened         func(uint64)       // opened is called when the other end names the session; nil at the dialing end.
	load           atomic.Int64       // load is the processor utilisation that the other end reported last, in thousandths.
	framesReceived atomic.Int64       // framesReceived is the number of frames received so far.
	version        atomic.Uint64      // version is that of the configuration at the other end, as it told last; zero if it has told none.
	received       atomic.Uint64      // received is the number of reliable frames received so far.
	resumes        atomic.Int64       // resumes is how often the link was resumed.
	resuming       sync.Mutex         // resuming is held while the accepting end resumes the link.

	mu      sync.Mutex         // mu guards all that follows.
	current *transport         // current carries the frames; nil while there is none.
	last    *transport         // last is the latest transport.
	streams map[uint64]*Stream // streams holds the open streams by ID.
	lastID  uint64             // lastID is the ID of the newest stream that this end has opened.
	out     []byte             // out holds the encoded frames that are queued for writing.
	down    bool               // down is set when the link is closed.
	ready   chan struct{}      // ready wakes the writer when frames are queued.
	busy    chan struct{}      // busy wakes keepAlive when a stream is opened.
	closed  chan struct{}      // closed is closed together with the link.

	session        uint64 // session names the link at the accepting end; zero until the dialing end has told it.
	canResume      bool   // canResume means that the other end can resume links.
	unacknowledged []byte // unacknowledged holds the encoded reliable frames that the other end may lack.
	acknowledged   uint64 // acknowledged is the number of reliable frames that the other end has acknowledged.
	toldReceived   uint64 // toldReceived is the value of received that the other end was told last.
	isLossy        bool   // isLossy means that not all of these frames are kept, so the link can't be resumed.
}

// newLink returns a link that has a transport, from which serve is to read.
func newLink(t *transport, accept func(*Stream) bool) *link {
	return &link{
		accept: accept, current: t, last: t, streams: make(map[uint64]*Stream),
		ready: make(chan struct{}, 1), busy: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

// serve reads and writes frames until the transport fails or is replaced, or the link is closed. It closes the transport, unless the
// other end resumes another link over it, and returns the error of the read.
func (l *link) serve(t *transport) error {
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.write(t)
	}()
	err := l.readAll(t)
	l.mu.Lock()
	if l.current == t {
		l.current = nil
	}
	l.mu.Unlock()
	var resumes *resumption
	if errors.As(err, &resumes) {
		t.stopWriter()
		<-written
		return err
	}
	t.close()
	<-written
	close(t.served)
	return err
}

// silence measures how long the other end of a link has sent no frame although one is expected.
type silence struct {
	framesReceived int64         // framesReceived is the value of link.framesReceived when the wait for a frame began.
	expected       bool          // expected means that a frame is expected; any frame ends the wait, not only a pong.
	waited         time.Duration // waited is how long the frame has been expected.
}

// expect starts to wait for a frame, unless one is expected already.
func (s *silence) expect(l *link) {
	if !s.expected {
		s.framesReceived, s.expected, s.waited = l.framesReceived.Load(), true, 0
	}
}

// advance adds span to the waiting time and returns the total; it returns zero if no frame is expected or one has arrived.
func (s *silence) advance(l *link, span time.Duration) time.Duration {
	if s.expected = s.expected && l.framesReceived.Load() == s.framesReceived; !s.expected {
		return 0
	}
	s.waited += span
	return s.waited
}

// close closes the link and all its streams, whose reads then return ECONNRESET. Later calls have no effect.
func (l *link) close() {
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		return
	}
	l.down = true
	streams, t := l.streams, l.current
	l.streams, l.current, l.unacknowledged = nil, nil, nil
	close(l.closed)
	l.mu.Unlock()
	if t != nil {
		t.close()
	}
	for _, stream := range streams {
		stream.end(syscall.ECONNRESET)
	}
}

// open opens a stream for a connection of the given age; it returns false if the link has no transport.
func (l *link) open(age time.Duration) (*Stream, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.current == nil {
		return nil, false
	}
	l.lastID++
	stream := newStream(l, l.lastID, age)
	l.streams[stream.id] = stream
	l.append(&message{kind: kindOpen, stream: stream.id, number: uint64(age.Milliseconds())})
	wake(l.busy)
	return stream, true
}

// send queues a frame and returns false if the link is closed. The windows of the streams limit the size of the queue.
func (l *link) send(m *message) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return false
	}
	l.append(m)
	return true
}

// append queues a frame; the caller must hold mu. Without a transport, reliable frames are only kept.
func (l *link) append(m *message) {
	from := len(l.out)
	l.out = m.appendTo(l.out)
	if m.kind.isReliable() {
		l.keep(l.out[from:])
	}
	if l.current == nil {
		l.out = l.out[:from]
		return
	}
	wake(l.ready)
}

// forget removes a stream that this end has closed.
func (l *link) forget(s *Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, s.id)
}

// isIdle reports whether the link has no open streams.
func (l *link) isIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams) == 0
}

// write writes the queued frames in batches to a transport until that is replaced; it closes the transport if a write fails.
func (l *link) write(t *transport) {
	var batch []byte
	for {
		select {
		case <-t.stop:
			return
		case <-l.ready:
		}
		time.Sleep(batchDelay)
		l.mu.Lock()
		if l.current != t {
			l.mu.Unlock()
			wake(l.ready) // For the writer of the next transport.
			return
		}
		batch, l.out = l.out, batch[:0]
		l.mu.Unlock()
		if err := t.conn.Write(batch); err != nil {
			t.close()
			return
		}
		if cap(batch) > maxKeptBatch {
			batch = nil
		}
	}
}

// readAll reads and handles the frames of a transport until an error occurs, and returns the error.
func (l *link) readAll(t *transport) error {
	for {
		body, err := t.conn.Next()
		if err != nil {
			return err
		}
		m, err := parse(body)
		if err != nil {
			return err
		}
		l.framesReceived.Add(1)
		if err := l.handle(&m); err != nil {
			return err
		}
		if m.kind.isReliable() {
			l.received.Add(1)
		}
	}
}

// handle handles one received frame. Its errors wrap errMalformedFrame and end the link.
func (l *link) handle(m *message) error {
	switch m.kind {
	case kindOpen:
		return l.handleOpen(m)
	case kindLoad:
		l.load.Store(int64(min(m.number, 1000*1000)))
		return nil
	case kindPing:
		l.send(&message{kind: kindPong})
		return nil
	case kindPong:
		return l.noteState(m)
	case kindResume:
		return l.handleResume(m)
	}
	stream := l.stream(m)
	if stream == nil {
		return nil // This end has closed the stream, which the other end does not know yet.
	}
	switch m.kind {
	case kindData:
		if !stream.deliver(m.data) {
			return fmt.Errorf("%w: more than %d unread bytes on stream %d", errMalformedFrame, window, m.stream)
		}
	case kindWindow:
		stream.grant(m.number)
	case kindEnd:
		if bytes.Equal(m.data, endUnread) {
			stream.reject()
		}
		stream.end(io.EOF)
	}
	return nil
}

// handleResume ends the reading of the transport if the other end resumes another link over it.
func (l *link) handleResume(m *message) error {
	if l.accept == nil || l.received.Load() > 0 {
		return fmt.Errorf("%w: a resumption of link %d", errMalformedFrame, m.stream)
	}
	return &resumption{session: m.stream, received: m.number}
}

// stream returns the stream that a frame belongs to, nil if it is not open. A kindEnd frame also removes the stream.
func (l *link) stream(m *message) *Stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	stream := l.streams[m.stream]
	if m.kind == kindEnd {
		delete(l.streams, m.stream)
	}
	return stream
}

// handleOpen registers a stream that the other end has opened and passes it to accept. If accept rejects it, the stream is
// closed. It returns an error if this end accepts no streams or the ID is in use.
func (l *link) handleOpen(m *message) error {
	if l.accept == nil {
		return fmt.Errorf("%w: the accepting router opened a stream", errMalformedFrame)
	}
	stream := newStream(l, m.stream, m.age())
	l.mu.Lock()
	known := l.streams[m.stream] != nil
	if !known && !l.down {
		l.streams[m.stream] = stream
	}
	l.mu.Unlock()
	if known {
		return fmt.Errorf("%w: stream %d is already open", errMalformedFrame, m.stream)
	}
	if !l.accept(stream) {
		return stream.Close()
	}
	return nil
}
