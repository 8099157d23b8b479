package handover

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Window is the maximum number of bytes that one end of a stream holds unread.
const Window = window

const (
	window       = 64 << 10 // window is the maximum number of sent but unread bytes in each direction of a stream; most requests and answers are shorter.
	maxDataFrame = 16 << 10 // maxDataFrame is the maximum payload of a frame in bytes, so that a long body does not delay other streams.
)

// Stream is one end of a handed-over connection of a caller. It implements net.Conn.
type Stream struct {
	link *link
	id   uint64        // id is unique on the link.
	age  time.Duration // age is how long the connection had waited at the other router when it was handed over.

	mu             sync.Mutex
	in             []byte        // in holds the bytes that were received and not read yet, at most window.
	unacknowledged int           // unacknowledged is the number of bytes read since the last kindWindow frame was sent.
	sendWindow     int           // sendWindow is how many more bytes may be sent.
	ended          error         // ended is the error that Read returns after the last byte; nil while more may arrive.
	closed         bool          // closed is set by Close.
	readAny        bool          // readAny is set when Read returns bytes.
	version        uint64        // version is that of the other router's configuration when the first bytes were read.
	rejected       bool          // rejected means that the other end closed the stream before it read any byte.
	readDeadline   time.Time     // readDeadline is the read deadline; zero means none.
	readTimer      *time.Timer   // readTimer wakes a blocked read at its deadline.
	writeDeadline  time.Time     // writeDeadline is the write deadline; zero means none.
	readable       chan struct{} // readable wakes a blocked read.
	writable       chan struct{} // writable wakes a blocked write.
}

func newStream(link *link, id uint64, age time.Duration) *Stream {
	return &Stream{link: link, id: id, age: age, sendWindow: window, readable: make(chan struct{}, 1), writable: make(chan struct{}, 1)}
}

// Age returns how long the connection had waited at the other router when it was handed over, at most one minute at the
// accepting end.
func (s *Stream) Age() time.Duration { return s.age }

// Version returns the version of the configuration that the router which handed the connection over had when its request
// arrived; zero if it told none, or at the dialing end.
func (s *Stream) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// wake wakes the goroutine that waits on the channel, or the next one that does; the channel must have capacity 1.
func wake(waiting chan struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}

// Read implements net.Conn. It must not be called concurrently.
func (s *Stream) Read(p []byte) (int, error) {
	for {
		n, credit, err := s.take(p)
		if credit > 0 {
			s.link.send(&message{kind: kindWindow, stream: s.id, number: uint64(credit)})
		}
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		<-s.readable
	}
}

// take moves received bytes to p and returns their number n. If credit is positive, the caller must send a kindWindow
// frame with that number.
func (s *Stream) take(p []byte) (n, credit int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return 0, 0, net.ErrClosed
	case !s.readDeadline.IsZero() && !time.Now().Before(s.readDeadline):
		return 0, 0, os.ErrDeadlineExceeded
	case len(s.in) == 0:
		return 0, 0, s.ended
	}
	if !s.readAny && s.link.serves != nil {
		if s.version = s.link.version.Load(); !s.link.serves(s.version) {
			return 0, 0, io.EOF // The request stays unread, so the other router serves it.
		}
	}
	n = copy(p, s.in)
	s.readAny = s.readAny || n > 0
	if s.in = s.in[n:]; len(s.in) == 0 {
		s.in = nil
	}
	if s.unacknowledged += n; s.unacknowledged >= window/2 {
		credit, s.unacknowledged = s.unacknowledged, 0
	}
	return n, credit, nil
}

// Write implements net.Conn. It blocks while the send window is used up and must not be called concurrently.
func (s *Stream) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		n, deadline, err := s.reserve(len(p) - sent)
		if err != nil {
			return sent, err
		}
		if n == 0 {
			s.awaitWindow(deadline)
			continue
		}
		if !s.link.send(&message{kind: kindData, stream: s.id, data: p[sent : sent+n]}) {
			return sent, syscall.EPIPE
		}
		sent += n
	}
	return sent, nil
}

// reserve reserves up to the given number of bytes of the send window and returns how many; zero if the window is used up.
// The returned time is the write deadline; zero means none.
func (s *Stream) reserve(bytes int) (n int, writeDeadline time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return 0, writeDeadline, net.ErrClosed
	case s.ended != nil:
		return 0, writeDeadline, syscall.EPIPE
	case !s.writeDeadline.IsZero() && !time.Now().Before(s.writeDeadline):
		return 0, writeDeadline, os.ErrDeadlineExceeded
	}
	n = min(bytes, s.sendWindow, maxDataFrame)
	s.sendWindow -= n
	return n, s.writeDeadline, nil
}

// awaitWindow waits until there may be space in the send window again or the deadline has passed. A zero
// deadline never passes.
func (s *Stream) awaitWindow(deadline time.Time) {
	if deadline.IsZero() {
		<-s.writable
		return
	}
	timer := time.NewTimer(max(time.Until(deadline), time.Nanosecond))
	defer timer.Stop()
	select {
	case <-s.writable:
	case <-timer.C:
	}
}

// Close implements net.Conn. It closes both directions and always returns nil. The accepting end also reports to the other
// one if no byte was read before.
func (s *Stream) Close() error {
	s.mu.Lock()
	notified := s.closed || s.ended != nil
	s.closed = true
	end := &message{kind: kindEnd, stream: s.id}
	if s.link.accept != nil && !s.readAny {
		end.data = endUnread
	}
	if s.readTimer != nil {
		s.readTimer.Stop()
	}
	s.mu.Unlock()
	wake(s.readable)
	wake(s.writable)
	if !notified {
		s.link.send(end)
	}
	s.link.forget(s)
	return nil
}

// deliver appends received bytes to the read buffer. It returns false if the other end has exceeded the window.
func (s *Stream) deliver(data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.in)+len(data) > window {
		return false
	}
	if s.ended == nil && !s.closed {
		s.in = append(s.in, data...)
		wake(s.readable)
	}
	return true
}

// grant adds bytes to the send window, up to its maximum.
func (s *Stream) grant(bytes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendWindow = min(window, s.sendWindow+int(min(bytes, window)))
	wake(s.writable)
}

// end records that no more bytes arrive; Read returns cause after the last byte. Later calls keep the first cause.
func (s *Stream) end(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended == nil {
		s.ended = cause
	}
	wake(s.readable)
	wake(s.writable)
}

// reject records that the other end has read nothing and will not.
func (s *Stream) reject() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected = true
}

// IsRejected reports whether the accepting router closed the stream before it read any byte, so it served no request of it.
func (s *Stream) IsRejected() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// IsRemoteClosed reports whether the other end has closed the stream or the link has failed.
func (s *Stream) IsRemoteClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended != nil
}

// IsReadable reports whether Read would return at once, with received bytes or the end of the stream.
func (s *Stream) IsReadable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.in) > 0 || s.ended != nil
}

// LocalAddr implements net.Conn; it returns the local address of the link.
func (s *Stream) LocalAddr() net.Addr { return s.link.lastTransport().raw.LocalAddr() }

// RemoteAddr implements net.Conn; it returns the address of the other router.
func (s *Stream) RemoteAddr() net.Addr { return s.link.lastTransport().raw.RemoteAddr() }

// SetDeadline implements net.Conn; it returns net.ErrClosed after Close.
func (s *Stream) SetDeadline(t time.Time) error {
	_ = s.SetWriteDeadline(t)
	return s.SetReadDeadline(t)
}

// SetReadDeadline implements net.Conn; it also applies to a read that is already blocked. It returns net.ErrClosed after
// Close.
func (s *Stream) SetReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	s.readDeadline = t
	if s.readTimer != nil {
		s.readTimer.Stop()
		s.readTimer = nil
	}
	if t.IsZero() {
		return nil
	}
	if left := time.Until(t); left > 0 {
		s.readTimer = time.AfterFunc(left, func() { wake(s.readable) })
		return nil
	}
	wake(s.readable)
	return nil
}

// SetWriteDeadline implements net.Conn, but does not affect a write that is already blocked. It always returns nil.
func (s *Stream) SetWriteDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeDeadline = t
	return nil
}

var _ net.Conn = (*Stream)(nil)
