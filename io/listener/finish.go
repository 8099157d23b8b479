package listener

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptWait is how long Accept waits for a connection that was seen in the queue, in case it is reset meanwhile.
const acceptWait = 100 * time.Millisecond

// queue is a listener of the operating system, whose queue of connections that wait to be accepted can be looked at.
type queue interface {
	net.Listener
	syscall.Conn
	SetDeadline(time.Time) error
}

// Graceful is a net.Listener that can stop accepting without dropping connections that wait to be accepted. Create it with
// NewGraceful.
type Graceful struct {
	net.Listener
	finishing atomic.Bool // finishing is set by Finish.
	closed    atomic.Bool
}

// NewGraceful returns a Graceful that wraps ln.
func NewGraceful(ln net.Listener) *Graceful { return &Graceful{Listener: ln} }

// Finish makes Accept return the connections that wait in the queue, and then close the listener and return
// net.ErrClosed. A listener whose queue can't be looked at is closed at once.
func (g *Graceful) Finish() {
	g.finishing.Store(true)
	if waiting, ok := g.Listener.(queue); !ok || waiting.SetDeadline(time.Now()) != nil {
		_ = g.Close() // The listener was closed before.
	}
}

// Accept implements net.Listener; only one goroutine may call it.
func (g *Graceful) Accept() (net.Conn, error) {
	for {
		if g.finishing.Load() && !g.extend() {
			if err := g.Close(); err != nil {
				return nil, err
			}
			return nil, net.ErrClosed
		}
		conn, err := g.Listener.Accept()
		if g.finishing.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		return conn, err
	}
}

// Close implements net.Listener. Calls after the first, which may be that of Accept, return nil.
func (g *Graceful) Close() error {
	if g.closed.Swap(true) {
		return nil
	}
	return g.Listener.Close()
}

// extend reports whether a connection waits to be accepted. If so, Accept may wait for it.
func (g *Graceful) extend() bool {
	waiting, ok := g.Listener.(queue)
	return ok && hasWaiting(waiting) && waiting.SetDeadline(time.Now().Add(acceptWait)) == nil
}

// hasWaiting reports whether a connection waits to be accepted.
func hasWaiting(from queue) bool {
	raw, err := from.SyscallConn()
	if err != nil {
		return false // The listener is closed.
	}
	waiting := false
	err = raw.Control(func(socket uintptr) {
		state := []unix.PollFd{{Fd: int32(socket), Events: unix.POLLIN}}
		n, err := unix.Poll(state, 0)
		waiting = err == nil && n > 0 && state[0].Revents&unix.POLLIN != 0
	})
	return err == nil && waiting
}
