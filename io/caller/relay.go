package caller

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	relayBufferSize = 4 << 10 // relayBufferSize is the size in bytes of a copy buffer, enough for a few events of a stream.
	relaysPerConn   = 2       // relaysPerConn is the number of relayed connections that use as much memory as one connection served here.
)

// refusedStatus is the start of an answer that refuses a request.
var refusedStatus = []byte("HTTP/1.1 503")

// Relay is a connection to another router that serves a new connection of a caller in place of this router.
type Relay struct {
	Conn  net.Conn          // Conn is the connection to the other router; the server closes it.
	Ended func(served bool) // Ended is called once, when the relay ends; served is false if the other router refused the request or its connection failed before an answer.
}

// relayBuffers is a pool of the copy buffers of relayed connections.
var relayBuffers = sync.Pool{New: func() any { return new([relayBufferSize]byte) }}

// handOver relays a new connection, from which nothing has been read yet, to another router in the background. It returns
// false if this router must serve the connection itself.
func (s *Server) handOver(near net.Conn) bool {
	if s.config.Elsewhere == nil || s.inUse() >= s.config.MaxConns {
		return false
	}
	to, ok := s.config.Elsewhere(requestAge(near, s.config.Late()))
	if !ok {
		return false
	}
	s.relayed.Add(1)
	go func() {
		defer s.relayed.Add(-1)
		defer near.Close()
		to.Ended(s.relay(near, to.Conn, time.Now()))
	}()
	return true
}

// inUse returns the number of open connections; relaysPerConn relayed connections count as one.
func (s *Server) inUse() int {
	return int(s.http.GetOpenConnectionsCount()) + int(s.relayed.Load())/relaysPerConn
}

// relay copies bytes in both directions until one side closes, and reports whether the other router served the request.
// near is the caller's connection, far the one to the other router, and since when the relay began.
func (s *Server) relay(near, far net.Conn, since time.Time) (served bool) {
	defer far.Close()
	var received atomic.Int64
	go func() {
		buffer := relayBuffers.Get().(*[relayBufferSize]byte)
		defer relayBuffers.Put(buffer)
		// The struct types hide WriteTo and ReadFrom, with which io.CopyBuffer would bypass the buffer. When the caller
		// disconnects or the write to the other router fails, closing far ends the other direction too.
		_, _ = io.CopyBuffer(struct{ io.Writer }{far}, countingReader{near, &received}, buffer[:])
		far.Close()
	}()
	begun, served, err := s.relayAnswer(near, far)
	if !begun {
		end := Unanswered{Cause: RelayEnded, Caller: near.RemoteAddr(), Received: int(received.Load()), Unread: hasUnread(near), Age: time.Since(since), Err: err}
		if hasClosed(near) {
			end.Cause = CallerClosed
		}
		s.config.Unanswered(end)
	}
	return served
}

// countingReader adds the number of bytes that are read to a counter.
type countingReader struct {
	io.Reader
	read *atomic.Int64
}

// Read implements io.Reader.
func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.read.Add(int64(n))
	return n, err
}

// relayAnswer copies the answer from far to near as it arrives, until a read or write fails with err. It reports whether
// an answer has begun, and whether the other router served the request: its answer has begun and is not a refusal.
func (s *Server) relayAnswer(near, far net.Conn) (begun, served bool, err error) {
	buffer := relayBuffers.Get().(*[relayBufferSize]byte)
	defer relayBuffers.Put(buffer)
	for {
		n, err := far.Read(buffer[:])
		if n > 0 && !begun {
			begun, served = true, !bytes.HasPrefix(buffer[:n], refusedStatus)
		}
		if n > 0 {
			s.done.shared.Add(1)
			_ = near.SetWriteDeadline(time.Now().Add(s.config.WriteTimeout))
			if _, failed := near.Write(buffer[:n]); failed != nil {
				return begun, served, failed
			}
		}
		if err != nil {
			return begun, served, err
		}
	}
}
