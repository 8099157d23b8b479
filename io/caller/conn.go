package caller

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ryelug/io/handover"
)

// listener wraps accepted connections so that the server can notice callers that leave.
type listener struct {
	net.Listener
	writeTimeout time.Duration
	handOver     func(net.Conn) bool  // handOver tells whether another router serves a new connection.
	late         func() time.Duration // late is how late this process is.
	busy         func() bool          // busy tells whether it has little room left.
	once         bool                 // once lets each connection carry one request.
	accepted     *atomic.Int64        // accepted counts the connections.
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.accepted.Add(1)
		if l.busy() && hasClosed(raw) {
			raw.Close() // Its caller has given up while it waited.
			continue
		}
		if !l.handOver(raw) {
			return &conn{Conn: raw, writeTimeout: l.writeTimeout, once: l.once, age: ageOf(raw, l.late())}, nil
		}
	}
}

// conn is a caller's connection. While a request is served it is read in the
// background, one byte ahead, since a caller's leaving shows only in a read.
type conn struct {
	net.Conn
	writeTimeout time.Duration
	once         bool          // once tells that the connection carries one request.
	heard        bool          // heard tells that the caller has sent anything; the server's goroutine alone uses it.
	age          time.Duration // age is how long the first request had waited when the connection was accepted.

	mu    sync.Mutex
	ahead []byte // ahead is a byte of the next request that the watch has read.
}

// ageOf returns how long the request of a connection has waited for this process, which is late by so much, and for the
// router that has handed it over.
func ageOf(raw net.Conn, late time.Duration) time.Duration {
	if stream, ok := raw.(*handover.Stream); ok {
		return stream.Age() + late
	}
	return max(late, unread(raw))
}

// takeAge returns the age of the first request, and nothing after that.
func (c *conn) takeAge() time.Duration {
	age := c.age
	c.age = 0
	return age
}

// past is a deadline that wakes a blocked read at once.
var past = time.Unix(1, 0)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.ahead) > 0 && len(p) > 0 {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.heard = c.heard || n > 0
	return n, err
}

// Write implements net.Conn; a caller that takes no byte for the write timeout is given up.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// watch calls gone when the caller closes the connection. The returned function
// ends the watch; nothing else may read the connection before it returns.
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
			c.ahead = append(c.ahead, one[0])
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
			_ = c.SetReadDeadline(past)
			<-ended
			_ = c.SetReadDeadline(time.Time{})
		})
	}
}
