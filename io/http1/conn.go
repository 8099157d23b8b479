package http1

import (
	"cmp"
	"errors"
	"io"
	"net"
	"sync"
)

// maxHeadBytes bounds the heads of one answer on a Conn, in bytes; those of interim answers count.
const maxHeadBytes = 64 << 10

// Conn is a client's connection that checks the heads of answers before they reach a parser. It serves libraries that read
// answers from a connection themselves. A head that breaks a rule ends reading: that Read and all later ones return its *ErrHead.
//
// The operating system reports a reset once: if a write gets the error, the next read returns io.EOF as at an orderly end. A Conn
// returns the error of the failed write in place of io.EOF.
//
// Only the caller knows when the next answer begins, since a Conn doesn't follow the framing of bodies. It calls ExpectAnswer
// before each request.
type Conn struct {
	net.Conn
	onMalformed func()

	writing  chan struct{} // Holds a value during a write.
	writeErr error         // The error of the first write that failed; used only by who has put the value into writing.

	mu       sync.Mutex
	expects  bool    // Whether the bytes to come belong to heads of an answer.
	heads    scanner // Checks those heads.
	partial  []byte  // The line that is being received, as far as it has come.
	received int     // Number of bytes received since ExpectAnswer, as long as expects is set.
	err      error   // The *ErrHead that ended reading.
}

// NewConn returns a Conn over a connection that has carried nothing. It calls onMalformed for an answer whose head breaks a rule.
func NewConn(raw net.Conn, onMalformed func()) *Conn {
	return &Conn{Conn: raw, onMalformed: onMalformed, writing: make(chan struct{}, 1)}
}

// ExpectAnswer announces that the next bytes received are the head of an answer.
func (c *Conn) ExpectAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expects, c.heads, c.partial, c.received = true, scanner{}, nil, 0
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	if errors.Is(err, io.EOF) {
		err = cmp.Or(c.failedWrite(), err)
	}
	return n, err
}

// failedWrite waits for the write in progress, if there is one, and returns the error of the first write that failed.
func (c *Conn) failedWrite() error {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	return c.writeErr
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	c.writeErr = cmp.Or(c.writeErr, err)
	return n, err
}

// check checks the bytes of a read, as far as they belong to heads.
func (c *Conn) check(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || !c.expects {
		return c.err
	}
	c.received += len(data)
	c.partial = append(c.partial, data...)
	if c.err = c.checkLines(); c.err != nil {
		c.onMalformed()
	}
	return c.err
}

// checkLines checks the lines that are complete; the caller holds the mutex.
func (c *Conn) checkLines() error {
	for c.expects {
		n, hasEnded, err := c.heads.scan(c.partial)
		if err != nil {
			return err
		}
		c.partial = c.partial[n:]
		switch {
		case !hasEnded && c.received > maxHeadBytes:
			return newErrHead(RuleSize, c.partial)
		case !hasEnded:
			return nil
		case !c.heads.isInterim():
			c.expects, c.partial = false, nil
		default:
			if err := c.heads.next(); err != nil {
				return err
			}
		}
	}
	return nil
}

// HalfDuplexConn is a Conn of a client that writes each request as a whole before it reads the answer. Each write announces an
// answer, so that nobody needs to call ExpectAnswer.
type HalfDuplexConn struct{ *Conn }

// Write implements net.Conn.
func (c HalfDuplexConn) Write(p []byte) (int, error) {
	c.ExpectAnswer()
	return c.Conn.Write(p)
}
