package caller

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"ryelug/core/result"
)

const (
	unreadRetryAfter  = time.Second // unreadRetryAfter is the Retry-After of a refusal without a request to estimate it for.
	discardTimeout    = time.Second // discardTimeout limits how long a caller may take to send the rest of a refused request.
	maxDiscarding     = 64          // maxDiscarding is the maximum number of connections whose rest is awaited at the same time.
	maxDiscard        = 1 << 20     // maxDiscard limits the bytes that are discarded of a connection.
	maxClosedRefusals = 100         // maxClosedRefusals limits the refusals a second to callers that have closed the connection, whose cost adds to an overload.
	maxDiscardReads   = 16          // maxDiscardReads limits the reads of bytes that have already arrived, each of relayBufferSize.
)

// refuseUnread refuses the request on a new connection, from which nothing has been read, and closes the connection.
func (s *Server) refuseUnread(raw net.Conn) {
	if !s.writeUnreadRefusal(raw) {
		raw.Close() // The caller has disconnected.
		return
	}
	_ = s.closeAnswered(raw)
}

// writeUnreadRefusal writes the refusal of a request that is not read, and reports whether it was written.
func (s *Server) writeUnreadRefusal(raw net.Conn) bool {
	_ = raw.SetWriteDeadline(time.Now().Add(s.config.WriteTimeout))
	_, err := raw.Write(s.unreadRefusal())
	return err == nil
}

// refuseClosed writes a refusal to a caller that has closed the connection, in case it has closed only its sending side and
// still waits for an answer. Most have closed both sides, so no more than maxClosedRefusals a second are written.
func (s *Server) refuseClosed(raw net.Conn, refusal []byte) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok || !s.closedRefusals.Allow() || isReset(raw) {
		return
	}
	_ = raw.SetWriteDeadline(time.Now().Add(s.config.WriteTimeout))
	if _, err := raw.Write(refusal); err == nil {
		discardArrived(tcp) // Nothing more arrives, and unread bytes would reset the connection.
	}
}

// encodeUnreadRefusal returns the complete response that refuses a request which is not read.
func (s *Server) encodeUnreadRefusal() []byte {
	return s.encode(Refusal{Code: result.Overloaded, NotRun: true, RetryAfter: unreadRetryAfter})
}

// encodeUnknownRefusal returns the complete response to a request that another router may have run.
func (s *Server) encodeUnknownRefusal() []byte { return s.encode(Refusal{Code: result.OutcomeUnknown}) }

// encode returns the complete response to a request that is refused outside of fasthttp.
func (s *Server) encode(refusal Refusal) []byte {
	var rc fasthttp.RequestCtx
	s.write(&rc, nil, head{refusal: refusal})
	response := &rc.Response
	response.SetConnectionClose()
	response.Header.SetContentLength(len(response.Body()))
	var to bytes.Buffer
	to.WriteString("HTTP/1.1 " + strconv.Itoa(response.StatusCode()) + " " + fasthttp.StatusMessage(response.StatusCode()) + "\r\n")
	for name, value := range response.Header.All() {
		to.Write(name)
		to.WriteString(": ")
		to.Write(value)
		to.WriteString("\r\n")
	}
	to.WriteString("\r\n")
	to.Write(response.Body())
	return to.Bytes()
}

// closeAnswered closes a connection whose last answer has been written while the caller may still send. Bytes that are
// unread at the close would reset the connection, which can destroy the answer, so they are read and discarded first. If
// maxDiscarding connections are being read already, only bytes that have arrived are discarded.
func (s *Server) closeAnswered(raw net.Conn) error {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return raw.Close()
	}
	select {
	case s.discarding <- struct{}{}:
		go func() {
			defer func() { <-s.discarding }()
			linger(tcp)
			_ = tcp.Close()
		}()
		return nil
	default:
	}
	if tcp.CloseWrite() == nil {
		discardArrived(tcp)
	}
	return tcp.Close()
}

// linger closes the sending side of a connection, and reads and discards what still arrives until the other end closes it or
// a limit is reached. It does nothing to a connection that has no sending side of its own.
func linger(conn net.Conn) {
	half, ok := conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, conn, maxDiscard) // The connection is closed next, whatever the error.
}

// discardArrived reads and discards bytes that have already arrived, and does not block.
func discardArrived(tcp *net.TCPConn) {
	buffer := relayBuffers.Get().(*[relayBufferSize]byte)
	defer relayBuffers.Put(buffer)
	withSocket(tcp, func(socket int) {
		for range maxDiscardReads {
			if n, err := unix.Read(socket, buffer[:]); err != nil || n < len(buffer) {
				return
			}
		}
	})
}

// isReset reports whether a TCP connection was reset. Otherwise the other end may have closed the whole connection or
// only its sending side; the two look the same until something is sent to it.
func isReset(conn net.Conn) bool {
	return poll(conn, 0)&(unix.POLLHUP|unix.POLLERR) != 0
}

// rest says what the caller may still send on a connection that is closed after its last answer.
type rest int

const (
	restUnknown   rest = iota // restUnknown: the answer is not the last one, or was not written.
	restOfRequest             // restOfRequest: the answer refuses a request that was not read completely.
	nextRequests              // nextRequests: requests behind the last one, which are not served.
)

// expect records what may still arrive when the connection is closed.
func (c *conn) expect(rest rest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rest = rest
}

// expectAfter records that further requests may still arrive if the answer in rc closes the connection.
func (c *conn) expectAfter(rc *fasthttp.RequestCtx) {
	if rc.Response.ConnectionClose() || rc.Request.ConnectionClose() {
		c.expect(nextRequests)
	}
}

// mayDiscard reports whether bytes that the caller still sends may be discarded, because its last answer was written.
func (c *conn) mayDiscard() bool {
	c.mu.Lock()
	rest, answered := c.rest, c.progress.received == 0 && c.progress.writeErr == nil
	c.mu.Unlock()
	switch rest {
	case restOfRequest:
		return answered
	case nextRequests:
		return answered && poll(c.Conn, unix.POLLIN)&unix.POLLIN != 0
	}
	return false
}

// readErrorCode returns the code of a request that could not be read.
func (s *Server) readErrorCode(err error) result.Code {
	var headerTooLarge *fasthttp.ErrSmallBuffer
	switch {
	case isTimeout(err) && s.closing.Err() != nil:
		return result.ShuttingDown // The rest of the request can't be awaited.
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.As(err, &headerTooLarge):
		return result.TooLarge
	}
	return result.BadRequest
}

// handleReadError refuses a request that fasthttp could not read; the handler has not seen it.
func (s *Server) handleReadError(rc *fasthttp.RequestCtx, err error) {
	if link, ok := rc.Conn().(*conn); ok && !link.hasReceived() {
		_ = link.Close() // The caller sent nothing, so there is no request to answer.
		return
	}
	code := s.readErrorCode(err)
	if link, ok := rc.Conn().(*conn); ok {
		link.expect(restOfRequest)
	}
	s.config.Refused(code)
	s.write(rc, nil, head{refusal: Refusal{Code: code, NotRun: true}})
}
