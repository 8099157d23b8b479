package caller

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

const (
	relayPoll   = 10 * time.Millisecond // relayPoll is the interval in which a shutdown looks whether any is left.
	relayBuffer = 4 << 10               // relayBuffer holds a few events of a stream.
	relayPart   = 2                     // relayPart is the number of connections that are handed over for the memory of one that is served here.
)

// refusedStatus begins an answer that refuses a request.
var refusedStatus = []byte("HTTP/1.1 503")

// Relay is another router that serves a new connection in this one's place.
type Relay struct {
	Conn  net.Conn          // Conn is what the other router serves.
	Ended func(served bool) // Ended is told at the end; served is false if the router refused or was lost before its answer.
}

// relayBuffers holds buffers of connections that are handed over.
var relayBuffers = sync.Pool{New: func() any { return new([relayBuffer]byte) }}

// handOver lets another router serve a new connection, of which nothing was read yet, and returns false if this router
// is to serve it.
func (s *Server) handOver(near net.Conn) bool {
	if s.config.Elsewhere == nil || s.inUse() >= s.config.MaxConns {
		return false
	}
	to, ok := s.config.Elsewhere(ageOf(near, s.config.Late()))
	if !ok {
		return false
	}
	s.relayed.Add(1)
	go func() {
		defer s.relayed.Add(-1)
		defer near.Close()
		to.Ended(s.relay(near, to.Conn))
	}()
	return true
}

// inUse returns the number of open connections, of which those that are handed over count by their memory.
func (s *Server) inUse() int {
	return int(s.http.GetOpenConnectionsCount()) + int(s.relayed.Load())/relayPart
}

// relay copies bytes both ways until one side closes, and tells whether the other router served the connection.
func (s *Server) relay(near, far net.Conn) (served bool) {
	defer far.Close()
	go func() {
		buffer := relayBuffers.Get().(*[relayBuffer]byte)
		defer relayBuffers.Put(buffer)
		// The plain types keep the copy from taking ways of its own that leave the buffer unused. A caller that has
		// gone, or a router that takes nothing, ends both ways.
		_, _ = io.CopyBuffer(struct{ io.Writer }{far}, struct{ io.Reader }{near}, buffer[:])
		far.Close()
	}()
	return s.relayAnswer(near, far)
}

// relayAnswer copies the answer as it comes.
func (s *Server) relayAnswer(near, far net.Conn) (served bool) {
	buffer := relayBuffers.Get().(*[relayBuffer]byte)
	defer relayBuffers.Put(buffer)
	for begun := false; ; {
		n, err := far.Read(buffer[:])
		if n > 0 && !begun {
			begun, served = true, !bytes.HasPrefix(buffer[:n], refusedStatus)
		}
		if n > 0 {
			s.done.shared.Add(1)
			_ = near.SetWriteDeadline(time.Now().Add(s.config.WriteTimeout))
			if _, failed := near.Write(buffer[:n]); failed != nil {
				return served
			}
		}
		if err != nil {
			return served
		}
	}
}
