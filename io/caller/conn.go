package caller

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ryelug/core/result"
	"ryelug/io/handover"
)

// acceptor wraps accepted connections in a conn, refuses those that their callers have already closed or that exceed the
// limit, and passes others to another router.
type acceptor struct {
	finisher
	writeTimeout   time.Duration
	handOver       func(net.Conn) bool  // handOver passes a new connection to another router and reports whether it did.
	processorDelay func() time.Duration // processorDelay returns how long runnable work in this process currently waits for a processor.
	busy           func() bool          // busy reports whether this process is close to its capacity.
	singleRequest  bool                 // singleRequest limits each connection to one request.
	server         *Server
	accepted       *atomic.Int64 // accepted counts the accepted connections.
	open           atomic.Int64  // open is the number of connections that are served and not closed.
}

// Accept implements net.Listener.
func (a *acceptor) Accept() (net.Conn, error) {
	for {
		raw, err := a.finisher.Accept()
		if err != nil {
			return nil, err
		}
		a.accepted.Add(1)
		if a.busy() && hasClosed(raw) {
			a.server.config.Unanswered(Unanswered{Cause: CallerClosed, Caller: raw.RemoteAddr()})
			a.server.refuseClosed(raw, a.server.unreadRefusal())
			raw.Close()
			continue
		}
		if a.handOver(raw) {
			continue
		}
		if limit := a.server.config.MaxConns; limit > 0 && a.open.Load() >= int64(limit) {
			a.server.config.Refused(result.Overloaded)
			a.server.refuseUnread(raw)
			continue
		}
		bytes := a.server.config.ConnMemory
		if !a.server.config.Budget.TakeConnection(bytes) {
			a.server.config.Refused(result.Overloaded)
			a.server.refuseUnread(raw)
			continue
		}
		a.open.Add(1)
		return a.server.track(&conn{
			Conn: raw, server: a.server, accepted: time.Now(), idle: true, writeTimeout: a.writeTimeout, singleRequest: a.singleRequest, handedOver: a.singleRequest,
			age: requestAge(raw, a.processorDelay()), release: func() {
				a.open.Add(-1)
				a.server.config.Budget.ReleaseConnection(bytes)
			},
		}), nil
	}
}

// conn is a caller's connection. While a request is served, a background goroutine reads up to one byte ahead, because
// a disconnect is only seen by a read.
type conn struct {
	net.Conn
	server        *Server
	writeTimeout  time.Duration
	singleRequest bool          // singleRequest means that the connection is closed after its first request.
	handedOver    bool          // handedOver means that another router accepted the connection and handed it over.
	accepted      time.Time     // accepted is when the connection was accepted.
	age           time.Duration // age is how long the first request had waited when the connection was accepted; takeAge resets it to zero.

	closed  atomic.Bool // closed is set by the first Close.
	release func()      // release is called by the first Close; it may be nil.

	mu          sync.Mutex
	receivedAny bool      // receivedAny is set once Read has returned data.
	idle        bool      // idle means that the connection waits for a request of which nothing has been read.
	limited     bool      // limited means that limitWait has set the read deadline.
	served      *exchange // served is the exchange of the request that is being served, nil if there is none.
	readAhead   []byte    // readAhead holds bytes of the next request that watch or a relay has read, if any.
	progress    progress
	rest        rest
	unread      bool // unread means that the caller does not read its answer, which is ended.
	evicted     bool // evicted means that the rest of the body that is being read is not awaited.
	rawLimit    int  // rawLimit is the number of bytes on the wire that the request may take; zero means no limit.
}

// requestAge returns how long the first request of a new connection has already waited. For a connection that another
// router passed on, it is the age that the router reported plus processorDelay; otherwise it is the longer of
// processorDelay and the time since the kernel received the last data. processorDelay is how long runnable work in this
// process waits for a processor.
func requestAge(raw net.Conn, processorDelay time.Duration) time.Duration {
	if stream, ok := raw.(*handover.Stream); ok {
		return stream.Age() + processorDelay
	}
	return max(processorDelay, sinceLastReceive(raw))
}

// takeAge returns the age of the first request on its first call and zero on later calls.
func (c *conn) takeAge() time.Duration {
	age := c.age
	c.age = 0
	return age
}

// pastDeadline is a read deadline that makes a blocked read return immediately.
var pastDeadline = time.Unix(1, 0)

// Read implements net.Conn. It returns the byte that watch has read ahead before it reads from the connection, and io.EOF
// instead of waiting for another request if the server is retiring.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.readAhead) > 0 && len(p) > 0 {
		n := copy(p, c.readAhead)
		c.readAhead = c.readAhead[n:]
		c.idle = false
		c.progress.noteRead(n, nil)
		return n, nil
	}
	for {
		c.limitWait()
		c.mu.Unlock()
		n, err := c.Conn.Read(p)
		c.mu.Lock()
		if c.endWait(n, err) {
			continue
		}
		if c.limited && isTimeout(err) {
			err = io.EOF
		}
		c.receivedAny = c.receivedAny || n > 0
		c.progress.noteRead(n, err)
		if c.rawLimit > 0 && c.progress.received > c.rawLimit {
			return 0, errBodyTooLarge
		}
		return n, err
	}
}

// maxWrite is the number of bytes that must be written within the write timeout: a caller that reads steadily gets a
// large answer, however long that takes.
const maxWrite = 64 << 10

// Write implements net.Conn. It fails if maxWrite bytes, or all, are not written within the write timeout.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		ex, err := c.limitWrite()
		if err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+maxWrite)])
		written += n
		c.mu.Lock()
		c.progress.noteWrite(n, err)
		c.mu.Unlock()
		if ex != nil {
			ex.outflow.progressed()
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// begin records the ID of the request that is about to be served.
func (c *conn) begin(request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress.request = request
}

// hasReceived reports whether a read has returned anything.
func (c *conn) hasReceived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedAny
}

// Close implements net.Conn. It reports a request that was not answered.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	c.reportUnanswered()
	defer c.endServing()
	defer c.server.untrack(c) // Shutdown waits for what closeAnswered still reads.
	if c.release != nil {
		c.release()
	}
	if c.mayDiscard() {
		return c.server.closeAnswered(c.Conn)
	}
	return c.Conn.Close()
}

// watch starts a goroutine that calls gone when the caller closes the connection. The returned function stops the
// goroutine and waits for it; nothing else may read from the connection until it has returned.
func (c *conn) watch(gone func()) (stop func()) {
	_ = c.SetReadDeadline(time.Time{})
	ended := make(chan struct{})
	stopping := make(chan struct{})
	go func() {
		defer close(ended)
		var one [1]byte
		n, err := c.Conn.Read(one[:])
		if n > 0 {
			c.mu.Lock()
			c.readAhead = append(c.readAhead, one[0])
			c.mu.Unlock()
			return
		}
		select {
		case <-stopping:
		default:
			if err != nil {
				gone()
			}
		}
	}()
	var once sync.Once
	return func() {
		once.Do(func() {
			close(stopping)
			_ = c.SetReadDeadline(pastDeadline)
			<-ended
			_ = c.SetReadDeadline(time.Time{})
		})
	}
}
