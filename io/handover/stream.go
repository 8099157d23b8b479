package handover

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	window    = 64 << 10 // window bounds the bytes on their way in one direction of a stream; whole requests and answers are shorter, as a rule.
	dataBytes = 16 << 10 // dataBytes bounds those of one frame, so that a long body does not hold up others.
)

// Stream is a caller's connection at either router. It is a net.Conn.
type Stream struct {
	link *link
	id   uint64
	age  time.Duration

	mu      sync.Mutex
	in      []byte
	read    int   // read counts the bytes that were read since the other end was told.
	room    int   // room is how many bytes may still be sent.
	ended   error // ended is what a read returns after the last byte; nil while more may come.
	closed  bool
	due     time.Time     // due is when reads fail.
	alarm   *time.Timer   // alarm wakes a read that is due.
	late    time.Time     // late is when writes fail.
	arrived chan struct{} // arrived wakes a read,
	emptied chan struct{} // emptied a write.
}

func newStream(link *link, id uint64, age time.Duration) *Stream {
	return &Stream{link: link, id: id, age: age, room: window, arrived: make(chan struct{}, 1), emptied: make(chan struct{}, 1)}
}

// Age returns how old the connection was at the other router when it was handed over.
func (s *Stream) Age() time.Duration { return s.age }

// wake lets a goroutine go on that waits for a channel.
func wake(waiting chan struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}

// Read implements net.Conn; one goroutine at a time may call it.
func (s *Stream) Read(p []byte) (int, error) {
	for {
		n, told, err := s.take(p)
		if told > 0 {
			s.link.send(&message{kind: kindRoom, stream: s.id, number: uint64(told)})
		}
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		<-s.arrived
	}
}

// take moves bytes to p. If the other end should be told that there is room again, told is how much.
func (s *Stream) take(p []byte) (n, told int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return 0, 0, net.ErrClosed
	case !s.due.IsZero() && !time.Now().Before(s.due):
		return 0, 0, os.ErrDeadlineExceeded
	case len(s.in) == 0:
		return 0, 0, s.ended
	}
	n = copy(p, s.in)
	if s.in = s.in[n:]; len(s.in) == 0 {
		s.in = nil
	}
	if s.read += n; s.read >= window/2 {
		told, s.read = s.read, 0
	}
	return n, told, nil
}

// Write implements net.Conn; one goroutine at a time may call it.
func (s *Stream) Write(p []byte) (int, error) {
	sent := 0
	for sent < len(p) {
		n, late, err := s.claim(len(p) - sent)
		if err != nil {
			return sent, err
		}
		if n == 0 {
			s.awaitRoom(late)
			continue
		}
		if !s.link.send(&message{kind: kindData, stream: s.id, data: p[sent : sent+n]}) {
			return sent, syscall.EPIPE
		}
		sent += n
	}
	return sent, nil
}

// claim takes room for some of so many bytes; there may be none. late is when the write fails.
func (s *Stream) claim(bytes int) (n int, late time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return 0, late, net.ErrClosed
	case s.ended != nil:
		return 0, late, syscall.EPIPE
	case !s.late.IsZero() && !time.Now().Before(s.late):
		return 0, late, os.ErrDeadlineExceeded
	}
	n = min(bytes, s.room, dataBytes)
	s.room -= n
	return n, s.late, nil
}

// awaitRoom waits until there may be room, or the write is late.
func (s *Stream) awaitRoom(late time.Time) {
	if late.IsZero() {
		<-s.emptied
		return
	}
	timer := time.NewTimer(max(time.Until(late), time.Nanosecond))
	defer timer.Stop()
	select {
	case <-s.emptied:
	case <-timer.C:
	}
}

// Close implements net.Conn; it ends both directions.
func (s *Stream) Close() error {
	s.mu.Lock()
	told := s.closed || s.ended != nil
	s.closed = true
	if s.alarm != nil {
		s.alarm.Stop()
	}
	s.mu.Unlock()
	wake(s.arrived)
	wake(s.emptied)
	if !told {
		s.link.send(&message{kind: kindEnd, stream: s.id})
	}
	s.link.release(s)
	return nil
}

// deliver adds bytes of the other end, and returns false if there are more than it may send.
func (s *Stream) deliver(data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.in)+len(data) > window {
		return false
	}
	if s.ended == nil && !s.closed {
		s.in = append(s.in, data...)
		wake(s.arrived)
	}
	return true
}

// grant lets so many more bytes be sent.
func (s *Stream) grant(bytes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room = min(window, s.room+int(min(bytes, window)))
	wake(s.emptied)
}

// end notes that nothing more comes; reads return the cause after the last byte.
func (s *Stream) end(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended == nil {
		s.ended = cause
	}
	wake(s.arrived)
	wake(s.emptied)
}

// HasEnded tells whether the other end has closed the connection, or was lost.
func (s *Stream) HasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended != nil
}

// LocalAddr implements net.Conn.
func (s *Stream) LocalAddr() net.Addr { return s.link.raw.LocalAddr() }

// RemoteAddr implements net.Conn; it is that of the other router.
func (s *Stream) RemoteAddr() net.Addr { return s.link.raw.RemoteAddr() }

// SetDeadline implements net.Conn.
func (s *Stream) SetDeadline(t time.Time) error {
	_ = s.SetWriteDeadline(t)
	return s.SetReadDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (s *Stream) SetReadDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	s.due = t
	if s.alarm != nil {
		s.alarm.Stop()
		s.alarm = nil
	}
	if t.IsZero() {
		return nil
	}
	if left := time.Until(t); left > 0 {
		s.alarm = time.AfterFunc(left, func() { wake(s.arrived) })
		return nil
	}
	wake(s.arrived)
	return nil
}

// SetWriteDeadline implements net.Conn; a write that waits already is not affected.
func (s *Stream) SetWriteDeadline(t time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = t
	return nil
}

var _ net.Conn = (*Stream)(nil)
