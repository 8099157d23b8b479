package network

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a connection.
type conn struct {
	network *Network
	local   netip.AddrPort
	remote  netip.AddrPort
	served  netip.AddrPort // served is the address that was dialled.
	in, out *half
}

// Read returns what has arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.in.read(p)
	if n > 0 {
		c.network.spend(c.local.Addr(), costOfRead)
	}
	return n, err
}

// IsRemoteClosed tells whether the other end has closed the connection, also if bytes wait before that.
func (c *conn) IsRemoteClosed() bool { return c.in.hasFinished() }

// Write sends; it blocks while too much is on its way.
func (c *conn) Write(p []byte) (int, error) {
	c.network.spend(c.local.Addr(), costOfWrite)
	n, err := c.out.write(p)
	c.network.count(c.served, n)
	return n, err
}

// Close ends both directions; the other end reads what was sent before.
func (c *conn) Close() error {
	c.network.AwaitThaw(c.local.Addr())
	c.shut()
	return nil
}

func (c *conn) shut() {
	c.out.finish()
	c.in.abandon()
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
}

// LocalAddr returns the own address.
func (c *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.local) }

// RemoteAddr returns the other end's address.
func (c *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.remote) }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline sets the time at which reads fail.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline sets the time at which writes fail.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

// segment is bytes that arrive together; nil data is the end of the stream.
type segment struct {
	at   time.Time
	data []byte
}

// half is one direction of a connection.
type half struct {
	network  *Network
	from, to netip.Addr

	mu            sync.Mutex
	changed       chan struct{} // changed closes at each change.
	queue         []segment
	size          int
	finished      bool // finished: the writer has closed.
	abandoned     bool // abandoned: the reader has closed.
	silent        bool
	readDeadline  time.Time
	writeDeadline time.Time
}

func newHalf(n *Network, from, to netip.Addr) *half {
	return &half{network: n, from: from, to: to, changed: make(chan struct{})}
}

// update changes the state and wakes all that wait.
func (h *half) update(apply func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	apply()
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *half) silence()                     { h.update(func() { h.silent = true }) }
func (h *half) abandon()                     { h.update(func() { h.abandoned = true }) }
func (h *half) setReadDeadline(t time.Time)  { h.update(func() { h.readDeadline = t }) }
func (h *half) setWriteDeadline(t time.Time) { h.update(func() { h.writeDeadline = t }) }

func (h *half) finish() {
	h.update(func() {
		if h.finished {
			return
		}
		h.finished = true
		h.queue = append(h.queue, segment{at: h.arrival()})
	})
}

func (h *half) arrival() time.Time {
	return time.Now().Add(h.network.delay(h.from, h.to))
}

func (h *half) write(p []byte) (int, error) {
	for {
		h.network.AwaitThaw(h.from)
		n, wait, deadline, err := h.tryWrite(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		await(wait, nil, deadline)
	}
}

func (h *half) tryWrite(p []byte) (n int, wait <-chan struct{}, deadline time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.finished:
		return 0, nil, deadline, net.ErrClosed
	case isPast(h.writeDeadline):
		return 0, nil, deadline, os.ErrDeadlineExceeded
	case h.abandoned:
		return 0, nil, deadline, syscall.EPIPE
	case h.size >= window:
		return 0, h.changed, h.writeDeadline, nil
	case len(p) == 0:
		return 0, nil, deadline, nil
	}
	h.queue = append(h.queue, segment{at: h.arrival(), data: append([]byte(nil), p...)})
	h.size += len(p)
	close(h.changed)
	h.changed = make(chan struct{})
	return len(p), nil, deadline, nil
}

func (h *half) read(p []byte) (int, error) {
	for {
		dataFirst := h.network.awaitThaw(h.to)
		reaches, healed := h.network.reaches(h.from, h.to)
		n, wait, until, err := h.tryRead(p, reaches, dataFirst)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		await(wait, healed, until)
	}
}

// tryRead returns all bytes that have arrived and fit in, an error, or what to wait for.
func (h *half) tryRead(p []byte, reaches, dataFirst bool) (n int, wait <-chan struct{}, until time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.abandoned {
		return 0, nil, until, net.ErrClosed
	}
	if isPast(h.readDeadline) && (!dataFirst || !h.hasArrived()) {
		return 0, nil, until, os.ErrDeadlineExceeded
	}
	if !reaches || h.silent || len(h.queue) == 0 {
		return 0, h.changed, h.readDeadline, nil
	}
	first := &h.queue[0]
	if time.Now().Before(first.at) {
		return 0, h.changed, earlier(first.at, h.readDeadline), nil
	}
	if first.data == nil {
		return 0, nil, until, io.EOF
	}
	for n < len(p) && h.hasArrived() && h.queue[0].data != nil {
		part := copy(p[n:], h.queue[0].data)
		h.take(part)
		n += part
	}
	return n, nil, until, nil
}

// hasFinished tells whether the end of the stream has arrived.
func (h *half) hasFinished() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.queue) == 0 {
		return false
	}
	last := h.queue[len(h.queue)-1]
	return last.data == nil && !time.Now().Before(last.at)
}

// hasArrived tells whether there is something to read; h.mu is held.
func (h *half) hasArrived() bool {
	return len(h.queue) > 0 && !time.Now().Before(h.queue[0].at)
}

// take removes n bytes of the first segment; h.mu is held.
func (h *half) take(n int) {
	first := &h.queue[0]
	first.data = first.data[n:]
	if len(first.data) == 0 {
		h.queue = h.queue[1:]
	}
	full := h.size >= window
	h.size -= n
	if full {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

// await waits for a channel or a time; a zero time never comes.
func await(one, other <-chan struct{}, until time.Time) {
	var alarm <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(max(time.Until(until), leastWait))
		defer timer.Stop()
		alarm = timer.C
	}
	select {
	case <-one:
	case <-other:
	case <-alarm:
	}
}

func isPast(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

func earlier(a, b time.Time) time.Time {
	if b.IsZero() || a.Before(b) {
		return a
	}
	return b
}
