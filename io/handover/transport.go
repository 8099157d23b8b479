package handover

import (
	"net"
	"sync"
	"time"

	"ryelug/io/frame"
)

// transport is a network connection that carries the frames of a link. A link that loses its transport goes on over another one.
type transport struct {
	raw      net.Conn
	conn     *frame.Conn
	stop     chan struct{} // stop is closed to end the writer.
	stopOnce sync.Once
	served   chan struct{} // served is closed when nothing reads or writes any more.
}

// newTransport returns a transport over a connection whose handshake is complete. raw is the network connection below conn.
func newTransport(raw net.Conn, conn *frame.Conn) *transport {
	conn.SetLimit(maxFrame)
	conn.SetTimeouts(0, writeTimeout)
	_ = raw.SetDeadline(time.Time{}) // Clears the deadline of the handshake. If the connection is closed, the next read fails too.
	return &transport{raw: raw, conn: conn, stop: make(chan struct{}), served: make(chan struct{})}
}

// close closes the connection and ends the writer. Later calls have no effect.
func (t *transport) close() {
	t.stopWriter()
	_ = t.conn.Close() // The error is irrelevant, the connection is not used any more.
}

func (t *transport) stopWriter() { t.stopOnce.Do(func() { close(t.stop) }) }

// handOn returns a transport over the same connection for another link, once nothing reads or writes for the present one.
func (t *transport) handOn() *transport {
	return &transport{raw: t.raw, conn: t.conn, stop: make(chan struct{}), served: make(chan struct{})}
}
