package caller

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/core/result"
)

// rejectDetector is implemented by connections to other routers that know whether the other end closed them unread.
type rejectDetector interface{ IsRejected() bool }

// answer answers the caller of a relay that ended before an answer began. A request that the other router cannot have
// served is served here; one whose outcome is not known is refused.
func (r *relay) answer() {
	s := r.server
	switch {
	case hasClosed(r.near):
		r.report(CallerClosed)
		if r.received > 0 {
			s.refuseClosed(r.near, s.unknownRefusal())
		}
		return
	case r.received == 0 && s.closing.Err() != nil && !hasUnread(r.near):
		return // There is no request to answer.
	}
	var from fasthttp.Request
	length, err := r.readHeader(&from)
	refusal := Refusal{Code: result.OutcomeUnknown}
	if r.hasTimedOut() {
		refusal.Code = result.AnswerTimeout
	}
	if r.isUnserved(&from, length, err) {
		if r.received == len(r.kept) && s.inUse() < s.config.MaxConns {
			r.serveHere()
			return
		}
		refusal = Refusal{Code: result.Overloaded, NotRun: true, RetryAfter: unreadRetryAfter}
	}
	if err != nil {
		from.Reset()
	}
	if failed := r.refuse(&from, err == nil, refusal); failed != nil {
		r.err = failed
		r.report(RelayEnded)
	}
}

// readHeader reads the header of the request from the bytes that were passed on, and returns its length in bytes.
func (r *relay) readHeader(from *fasthttp.Request) (length int, err error) {
	sent := bytes.NewReader(r.kept[:min(r.sent, len(r.kept))])
	buffer := bufio.NewReaderSize(sent, r.server.config.MaxHeader)
	err = from.Header.Read(buffer)
	return int(sent.Size()) - sent.Len() - buffer.Buffered(), err
}

// isUnserved reports whether the other router cannot have served the request: it closed the connection unread, or the
// request was not passed on completely. length and err are the results of readHeader.
func (r *relay) isUnserved(from *fasthttp.Request, length int, err error) bool {
	if far, ok := r.far.(rejectDetector); ok && far.IsRejected() {
		return true
	}
	if err != nil {
		return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	}
	return r.sent < length+max(0, from.Header.ContentLength()) // The length is negative if there is no body or it is chunked.
}

// serveHere serves one request on the caller's connection, beginning with the bytes that were passed on.
func (r *relay) serveHere() {
	s := r.server
	age := r.age
	if r.received > 0 {
		age += time.Since(r.firstRead)
	}
	own := s.track(&conn{
		Conn: r.near, server: s, accepted: time.Now(), idle: r.received == 0, writeTimeout: s.config.WriteTimeout,
		singleRequest: true, receivedAny: r.received > 0, age: age, readAhead: r.kept,
	})
	_ = s.http.ServeConn(own) // The errors are those of the connection, which reports an unanswered request itself.
	_ = own.Close()           // ServeConn does not close a connection beyond the limit.
}

// refuse writes a refusal to the caller; hasHeader means that from holds the header of the request.
func (r *relay) refuse(from *fasthttp.Request, hasHeader bool, refusal Refusal) error {
	s := r.server
	s.config.Refused(refusal.Code)
	var rc fasthttp.RequestCtx
	rc.Init(from, r.near.RemoteAddr(), discardLogger{})
	var req *Request
	if hasHeader {
		req = s.decodeRefused(&rc)
		rc.Response.SkipBody = rc.IsHead()
	}
	if req != nil && s.config.Protocol == nil {
		rc.Response.Header.Set(headerRequestID, req.ID)
	}
	s.write(&rc, req, head{refusal: refusal})
	rc.SetConnectionClose()
	_ = r.near.SetWriteDeadline(time.Now().Add(s.config.WriteTimeout))
	if _, err := rc.Response.WriteTo(r.near); err != nil {
		return err
	}
	linger(r.near)
	return nil
}

// report reports that the relay ended without an answer.
func (r *relay) report(cause Cause) {
	r.server.config.Unanswered(Unanswered{
		Cause: cause, Caller: r.near.RemoteAddr(), Received: r.received, Unread: hasUnread(r.near), Age: time.Since(r.since), Err: r.err,
	})
}
