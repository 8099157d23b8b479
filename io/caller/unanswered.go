package caller

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// Cause says why a connection ended before the answer to a request on it had begun.
type Cause int

// Causes, in the order in which they are tested.
const (
	CallerClosed Cause = iota // CallerClosed: the caller closed the connection, or its sending side, before its answer.
	Stopped                   // Stopped: the connection was closed by Retire or Shutdown, or was still open when Shutdown gave up.
	RelayEnded                // RelayEnded: the router that the connection was handed over to closed it.
	WriteFailed               // WriteFailed: the answer could not be written in time.
	ReadFailed                // ReadFailed: the request did not arrive in time.
	ServerClosed              // ServerClosed: the server closed the connection for another reason.
	causes                    // causes is the number of causes.
)

// String returns the name of the cause in logs and metrics.
func (c Cause) String() string {
	return [causes]string{"caller_closed", "stopped", "relay_ended", "write_failed", "read_failed", "server_closed"}[c]
}

// Causes returns all causes.
func Causes() []Cause {
	all := make([]Cause, causes)
	for i := range all {
		all[i] = Cause(i)
	}
	return all
}

// Unanswered describes a connection that ended before the answer to a request on it had begun.
type Unanswered struct {
	Cause    Cause
	Request  string        // Request is the ID of the request, empty if it was not read completely.
	Caller   net.Addr      // Caller is the address of the other end of the connection.
	Received int           // Received is the number of bytes that were read since the last answer.
	Unread   bool          // Unread reports whether bytes waited in the socket unread.
	Age      time.Duration // Age is the time since the first of the received bytes was read; zero if there were none.
	Err      error         // Err is the last error of a read or write; nil if there was none.
}

// progress tracks whether a connection has a request that no answer has begun for. conn.mu guards it.
type progress struct {
	request  string    // request is the ID of the request that is being served.
	received int       // received is the number of bytes that were read since the last write.
	since    time.Time // since is when the first of them was read.
	readErr  error     // readErr is the error of the last read.
	writeErr error     // writeErr is the error of the last write.
	reported bool      // reported means that the end of the connection was reported.
}

// noteRead records the result of a read.
func (p *progress) noteRead(n int, err error) {
	if n > 0 && p.received == 0 {
		p.since = time.Now()
	}
	p.received += n
	p.readErr = err
}

// noteWrite records the result of a write, which begins or continues an answer.
func (p *progress) noteWrite(n int, err error) {
	if n > 0 {
		p.request, p.received = "", 0
	}
	p.writeErr = err
}

// cause returns why the connection ends. stopping means that Retire or Shutdown was called, closed that the caller has closed the
// connection.
func (p *progress) cause(stopping, closed bool) Cause {
	switch {
	case closed || isDisconnect(p.readErr) || isDisconnect(p.writeErr):
		return CallerClosed
	case stopping:
		return Stopped
	case p.writeErr != nil:
		return WriteFailed
	case isTimeout(p.readErr):
		return ReadFailed
	}
	return ServerClosed
}

// isTimeout reports whether an error of a read or write means that its deadline has passed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// isDisconnect reports whether an error of a read or write means that the other end has closed the connection.
func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// reportUnanswered calls Config.Unanswered if the connection, which is about to end, has a request without an answer. It
// reports each connection once.
func (c *conn) reportUnanswered() {
	stopping := c.server.closing.Err() != nil
	c.mu.Lock()
	received := c.progress.received + len(c.readAhead)
	c.mu.Unlock()
	if received == 0 && !stopping {
		return // Saves the system calls below for each connection of normal operation.
	}
	unread, closed := hasUnread(c.Conn), hasClosed(c.Conn)
	c.mu.Lock()
	report := !c.progress.reported && (received > 0 || unread)
	c.progress.reported = true
	end := Unanswered{
		Cause: c.progress.cause(stopping, closed), Request: c.progress.request,
		Caller: c.RemoteAddr(), Received: received, Unread: unread, Err: errors.Join(c.progress.readErr, c.progress.writeErr),
	}
	if !c.progress.since.IsZero() && c.progress.received > 0 {
		end.Age = time.Since(c.progress.since)
	}
	c.mu.Unlock()
	if report {
		c.server.config.Unanswered(end)
	}
}
