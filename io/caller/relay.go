package caller

import (
	"bytes"
	"net"
	"sync"
	"time"

	"ryelug/core/holding"
	"ryelug/io/handover"
	"ryelug/io/held"
)

const (
	relayBufferSize = 4 << 10  // relayBufferSize is the size in bytes of a copy buffer, enough for a few events of a stream.
	relaysPerConn   = 2        // relaysPerConn is the number of relayed connections that use as much memory as one connection served here.
	maxKeptRequest  = 80 << 10 // maxKeptRequest limits the bytes of a relayed request that are kept until its answer begins; more than a handover.Stream takes without a read at its other end.
)

var (
	refusedStatus = []byte("HTTP/1.1 503")                  // refusedStatus is the start of an answer that refuses a request.
	interimAnswer = []byte("HTTP/1.1 100 Continue\r\n\r\n") // interimAnswer may precede an answer.
)

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
	share := s.config.ConnMemory / relaysPerConn
	if !s.config.Budget.TakeConnection(share) {
		return false
	}
	age := requestAge(near, s.config.Late())
	to, ok := s.config.Elsewhere(age)
	if !ok {
		s.config.Budget.ReleaseConnection(share)
		return false
	}
	r := &relay{server: s, near: near, far: to.Conn, age: age, since: time.Now(), forwarded: make(chan struct{})}
	s.trackRelay(r)
	go func() {
		defer s.untrackRelay(r)
		defer s.config.Budget.ReleaseConnection(share)
		defer s.endHold(&r.request)
		defer s.endHold(&r.response)
		defer near.Close()
		r.run()
		to.Ended(r.served)
		switch {
		case !r.begun:
			r.answer()
		case hasUnread(near):
			linger(near)
		}
	}()
	return true
}

// inUse returns the number of open connections; relaysPerConn relayed connections count as one.
func (s *Server) inUse() int {
	return int(s.http.GetOpenConnectionsCount()) + int(s.relayed.Load())/relaysPerConn
}

// relay is a caller's connection that is passed on to another router.
type relay struct {
	server *Server
	near   net.Conn      // near is the caller's connection.
	far    net.Conn      // far is the connection to the other router.
	age    time.Duration // age is how long the connection had waited when it was handed over.
	since  time.Time     // since is when the relay began.

	begun  bool  // begun means that an answer has begun; only run sets it.
	served bool  // served means that the answer has begun and is not a refusal.
	err    error // err is the error that ended the answer.

	request    holding.Holder // request holds the bytes of a request that is kept or on its way to the other router.
	response   holding.Holder // response holds the bytes of an answer on its way from there.
	isLarge    bool           // isLarge means that bytes were taken for request; only forward uses it.
	mayKeep    int            // mayKeep limits the bytes that are kept; only forward uses it.
	isAnswered bool           // isAnswered means that bytes were taken for response; only run uses it.
	holdsKept  bool           // holdsKept means that request holds maxKeptRequest bytes for kept; mu guards it.

	forwarded chan struct{} // forwarded is closed when forward has returned, which owns received, sent and firstRead until then.
	received  int           // received is the number of bytes that were read from the caller.
	sent      int           // sent is the number of bytes that were written to the other router.
	firstRead time.Time     // firstRead is when the first byte was read.

	mu       sync.Mutex
	kept     []byte // kept holds the first bytes that were read, at most maxKeptRequest, until the answer begins.
	answered bool   // answered means that nothing more is kept.

	limit     *time.Timer // limit calls checkTimeout; nil if there is no Config.Timeout.
	keptSince time.Time   // keptSince is when the first byte was kept.
	dueAt     time.Time   // dueAt is when the request is answered here; zero until its timeout is known.
	isOverdue bool        // isOverdue means that the relay was ended for that.
}

// run copies bytes in both directions until one side closes, and then closes the connection to the other router.
func (r *relay) run() {
	go r.forward()
	defer r.limitAnswer()()
	r.begun, r.served, r.err = r.copyAnswer()
	r.far.Close()
	_ = r.near.SetReadDeadline(pastDeadline) // Fails only if the connection is closed, which ends forward too.
	<-r.forwarded
	_ = r.near.SetReadDeadline(time.Time{})
}

// forward copies the request to the other router. When the caller disconnects, it closes the connection to that router.
// After a failed write it does not, because an answer may remain to be read.
func (r *relay) forward() {
	defer close(r.forwarded)
	buffer := relayBuffers.Get().(*[relayBufferSize]byte)
	defer relayBuffers.Put(buffer)
	for {
		n, err := r.near.Read(buffer[:])
		if n > 0 {
			r.holdRequest(n)
			r.keep(buffer[:n])
			sent, failed := r.far.Write(buffer[:n])
			r.sent += sent
			if failed != nil {
				return
			}
		}
		if err != nil {
			r.far.Close()
			return
		}
	}
}

// freeRelay is the number of bytes in one direction that the share of a relayed connection covers.
const freeRelay = 16 << 10

// holdRequest takes bytes of the budget for a request that is larger than freeRelay, once, before n bytes of it are passed on.
// If there are none, no more of the request is kept, so that it can't be served here.
func (r *relay) holdRequest(n int) {
	if r.mayKeep == 0 {
		r.mayKeep = maxKeptRequest
	}
	if r.isLarge || r.received+n <= freeRelay {
		return
	}
	r.isLarge = true
	r.request.Kind, r.request.Client = holding.Handovers, clientOf(r.near.RemoteAddr())
	if held.Take(r.server.config.Budget, &r.request, maxKeptRequest+handover.Window, takeWait) != holding.None {
		r.mayKeep = max(freeRelay, r.server.config.MaxHeader)
		r.server.config.Budget.Force(time.Now(), &r.request, handover.Window)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holdsKept = true
	if r.answered {
		r.releaseKept()
	}
}

// releaseKept releases the bytes of the budget for kept; r.mu must be held.
func (r *relay) releaseKept() {
	if r.holdsKept {
		r.holdsKept = false
		r.server.config.Budget.Release(&r.request, maxKeptRequest)
	}
}

// holdResponse takes bytes of the budget for an answer that is larger than freeRelay, once, after so many bytes were read.
func (r *relay) holdResponse(copied int) {
	if r.isAnswered || copied <= freeRelay {
		return
	}
	r.isAnswered = true
	r.response.Kind, r.response.Client = holding.Handovers, clientOf(r.near.RemoteAddr())
	if held.Take(r.server.config.Budget, &r.response, handover.Window, takeWait) != holding.None {
		r.server.config.Budget.Force(time.Now(), &r.response, handover.Window) // The window bounds what arrives anyway.
	}
}

// keep counts bytes of the request and stores them while no answer has begun.
func (r *relay) keep(data []byte) {
	if r.received == 0 {
		r.firstRead = time.Now()
	}
	r.received += len(data)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.answered {
		if r.kept == nil {
			r.keptSince = time.Now()
		}
		r.kept = append(r.kept, data[:min(len(data), max(0, r.mayKeep-len(r.kept)))]...)
	}
}

// dropKept releases the kept bytes, because an answer has begun.
func (r *relay) dropKept() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answered, r.kept = true, nil
	r.releaseKept()
}

// copyAnswer copies the answer to the caller as it arrives, until a read or write fails with err. It reports whether an
// answer has begun, and whether the other router served the request: its answer has begun and is not a refusal.
func (r *relay) copyAnswer() (begun, served bool, err error) {
	buffer := relayBuffers.Get().(*[relayBufferSize]byte)
	defer relayBuffers.Put(buffer)
	copied := 0
	for {
		n, err := r.far.Read(buffer[:])
		copied += n
		r.holdResponse(copied)
		if start := bytes.TrimPrefix(buffer[:n], interimAnswer); len(start) > 0 && !begun {
			begun, served = true, !bytes.HasPrefix(start, refusedStatus)
			r.dropKept()
		}
		if n > 0 {
			r.server.done.shared.Add(1)
			_ = r.near.SetWriteDeadline(time.Now().Add(r.server.config.WriteTimeout))
			if _, failed := r.near.Write(buffer[:n]); failed != nil {
				return begun, served, failed
			}
		}
		if err != nil {
			return begun, served, err
		}
	}
}
