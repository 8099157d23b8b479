package caller

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/core/holding"
	"ryelug/core/result"
	"ryelug/io/handover"
	"ryelug/io/held"
)

const (
	freeBody         = 8 << 10                // freeBody is the size up to which a body is covered by the share of its connection; fasthttp reads so many bytes with the head.
	maxSegment       = 256 << 10              // maxSegment limits the bytes that are taken from the budget and read at a time.
	wholeBody        = 64 << 10               // wholeBody is the announced length up to which the buffer for a body is allocated at once.
	takeWait         = time.Second            // takeWait is how long bytes of the budget are awaited; nothing is read from the peer meanwhile.
	progressInterval = 100 * time.Millisecond // progressInterval is the least time between two records of progress.
	refusalTimeout   = time.Second            // refusalTimeout limits the write of a refusal to a caller that may not read it.
	copiesPerBody    = 2                      // copiesPerBody is the most bytes that are held for each byte of a body, while its segments are joined.
	rawPerBody       = 8                      // rawPerBody is the number of bytes on the wire that a chunked body may take for each byte of MaxBody: chunks of one byte take six.
)

var (
	errBodyTooLarge = errors.New("the body is larger than allowed")
	errBodySlow     = errors.New("the body arrives too slowly")
)

// Eviction describes a request or response that is ended because of the memory that it takes, or because its body arrives
// too slowly.
type Eviction struct {
	Kind   holding.Kind
	Cause  holding.Cause // Cause is holding.None for a body that arrives too slowly.
	Caller net.Addr
	Bytes  int // Bytes is the number of bytes of the body that had arrived.
}

// bodyError is a body that is not read to its end; refusal is the answer to it.
type bodyError struct {
	refusal Refusal
}

// readBody reads the body of a request. Bytes beyond freeBody are taken from the budget before they are read; the returned
// holder, nil for a small body, holds them until the request ends.
func (s *Server) readBody(rc *fasthttp.RequestCtx) ([]byte, *holding.Holder, *bodyError) {
	stream := rc.RequestBodyStream()
	if stream == nil {
		return nil, nil, nil
	}
	length := rc.Request.Header.ContentLength()
	switch {
	case length > s.config.MaxBody:
		return nil, nil, &bodyError{Refusal{Code: result.TooLarge, NotRun: true}}
	case length == 0:
		return nil, nil, nil
	case length > 0 && length <= freeBody:
		body := make([]byte, length)
		_, err := io.ReadFull(stream, body)
		return body, nil, s.bodyFailure(rc, nil, err, 0)
	}
	link, _ := rc.Conn().(*conn)
	r := &bodyReader{server: s, link: link, from: stream, length: length, started: time.Now()}
	r.holder.Kind, r.holder.Client, r.holder.Evict = holding.Bodies, clientOf(rc.RemoteAddr()), r.evict
	err := r.read()
	if r.first != nil {
		relayBuffers.Put(r.first)
	}
	if err == nil && !s.config.Budget.Keep(&r.holder) {
		err = errEvicted
	}
	if err != nil {
		r.segments, r.last = nil, nil
		failure := s.bodyFailure(rc, r, err, r.arrived)
		s.config.Budget.End(&r.holder)
		return nil, nil, failure
	}
	return r.last, &r.holder, nil
}

// maxBody returns the largest body that the budget can ever cover, MaxBody at most. A larger one would wait for bytes that are never
// available, and evict all others meanwhile.
func maxBody(config *Config) int {
	if config.Budget == nil {
		return config.MaxBody
	}
	covered := (config.Budget.MaxHeld() - handover.Window) / copiesPerBody
	return min(config.MaxBody, max(freeBody, int(covered)))
}

// clientOf returns the client that the bytes of a request are held for: the address of its connection without the port.
func clientOf(address net.Addr) string {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return address.String()
}

// bodyFailure returns the refusal of a body that could not be read; nil if err is nil.
func (s *Server) bodyFailure(rc *fasthttp.RequestCtx, r *bodyReader, err error, received int) *bodyError {
	if err == nil {
		return nil
	}
	cause := holding.None
	if r != nil {
		cause = r.cause()
	}
	refusal := Refusal{Code: s.readErrorCode(err), NotRun: true}
	if r != nil && r.link != nil && r.link.hasTimedOut() && s.closing.Err() != nil {
		refusal.Code = result.ShuttingDown // The decoder of chunks may hide the cause of err.
	}
	switch {
	case errors.Is(err, errBodyTooLarge):
		refusal.Code = result.TooLarge
	case cause == holding.Stalled || cause == holding.None && errors.Is(err, errBodySlow):
		refusal.Code = result.RequestTimeout
	case cause != holding.None:
		refusal.Code, refusal.RetryAfter = result.Overloaded, unreadRetryAfter
	default:
		return &bodyError{refusal}
	}
	if refusal.Code != result.TooLarge {
		s.config.Evicted(Eviction{Kind: holding.Bodies, Cause: cause, Caller: rc.RemoteAddr(), Bytes: received})
	}
	return &bodyError{refusal}
}

// refuseBody answers a request whose body was not read to its end, and closes its connection.
func (s *Server) refuseBody(rc *fasthttp.RequestCtx, failure *bodyError) {
	if link, ok := rc.Conn().(*conn); ok {
		link.writeTimeout = min(link.writeTimeout, refusalTimeout)
		link.expect(restOfRequest)
	}
	s.config.Refused(failure.refusal.Code)
	rc.SetConnectionClose()
	s.write(rc, s.decodeRefused(rc), head{refusal: failure.refusal})
	rc.SetConnectionClose() // A refusal of the Protocol may have replaced the header.
}

// markTooLarge implements fasthttp.Server.HeaderReceived. A body that is announced over the limit is treated as one that
// expects to be continued, so that refuseTooLarge refuses it before any of it is read.
func (s *Server) markTooLarge(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if header.ContentLength() > s.config.MaxBody {
		header.Set(fasthttp.HeaderExpect, "100-continue")
	}
	return fasthttp.RequestConfig{}
}

// refuseTooLarge implements fasthttp.Server.ExpectHandler.
func (s *Server) refuseTooLarge(rc *fasthttp.RequestCtx) int {
	if rc.Request.Header.ContentLength() <= s.config.MaxBody {
		return fasthttp.StatusContinue
	}
	s.refuseBody(rc, &bodyError{Refusal{Code: result.TooLarge, NotRun: true}})
	return rc.Response.StatusCode()
}

// errEvicted means that the budget ended the reading of a body.
var errEvicted = errors.New("the memory for bodies is used up")

// bodyReader reads one body that is too large for the share of its connection. It holds at most twice the bytes that have
// arrived, plus one segment that is being read.
type bodyReader struct {
	server  *Server
	link    *conn // link is nil in tests without a connection of the server.
	from    io.Reader
	holder  holding.Holder
	length  int // length is the announced length, negative for a chunked body.
	started time.Time

	first      *[relayBufferSize]byte // first is the first segment of a chunked body, which the share of the connection covers.
	segments   [][]byte               // segments holds the bytes that have arrived, all full but the last.
	last       []byte                 // last is the whole body, or its beginning if its length is known.
	received   int                    // received is the number of bytes in segments or in last.
	arrived    int                    // arrived is the number of bytes that were read.
	progressAt time.Time              // progressAt is when progress was last recorded.
	full       bool                   // full means that the budget stayed exhausted.
}

// evict implements holding.Holder.Evict.
func (r *bodyReader) evict() {
	if r.link != nil {
		r.link.evictRead()
	}
}

// cause returns why the budget ended the reading, or holding.None.
func (r *bodyReader) cause() holding.Cause {
	if r.full {
		return holding.Full
	}
	return r.server.config.Budget.Evicted(&r.holder)
}

// take takes bytes from the budget.
func (r *bodyReader) take(bytes int) error {
	switch held.Take(r.server.config.Budget, &r.holder, int64(bytes), takeWait) {
	case holding.None:
		return nil
	case holding.Full:
		r.full = true
	}
	return errEvicted
}

// read reads the whole body into last.
func (r *bodyReader) read() error {
	if r.link != nil {
		if r.length < 0 {
			r.link.limitRaw(rawPerBody * r.server.config.MaxBody)
			defer r.link.limitRaw(0)
		}
		if _, ok := r.link.Conn.(*handover.Stream); ok {
			if err := r.take(handover.Window); err != nil {
				return err
			}
		}
	}
	if r.length >= 0 {
		return r.readAnnounced()
	}
	return r.readChunked()
}

// readAnnounced reads a body of known length. Its first half is read into segments, so that a caller that announces much
// and sends little costs little.
func (r *bodyReader) readAnnounced() error {
	for r.length > wholeBody && r.received < r.length/2 {
		if err := r.readSegment(r.length/2 - r.received); err != nil {
			return err
		}
	}
	if err := r.join(r.length); err != nil {
		return err
	}
	for r.received < r.length {
		n, err := r.readSome(r.last[r.received:])
		if err != nil && r.received+n < r.length {
			return endOfBody(err)
		}
		r.received += n
	}
	return nil
}

// readChunked reads a body of unknown length.
func (r *bodyReader) readChunked() error {
	for r.received < r.server.config.MaxBody {
		switch err := r.readSegment(r.server.config.MaxBody - r.received); {
		case err == io.EOF: //nolint:errorlint // A wrapped io.EOF means that the framing is broken.
			return r.join(r.received)
		case err != nil:
			return err
		}
	}
	var one [1]byte
	for {
		n, err := r.readSome(one[:])
		switch {
		case n > 0:
			return errBodyTooLarge
		case err == io.EOF: //nolint:errorlint // As above.
			return r.join(r.received)
		case err != nil:
			return err
		}
	}
}

// endOfBody returns the error for a body that ends early.
func endOfBody(err error) error {
	if err == io.EOF { //nolint:errorlint // Only the end itself is replaced.
		return io.ErrUnexpectedEOF
	}
	return err
}

// readSegment takes a segment of at most limit bytes from the budget and reads until it is full. It returns io.EOF at the
// end of a body.
func (r *bodyReader) readSegment(limit int) error {
	segment, err := r.newSegment(limit)
	if err != nil {
		return err
	}
	filled := 0
	for filled < len(segment) {
		n, err := r.readSome(segment[filled:])
		filled += n
		if err != nil {
			r.received += filled
			r.segments = append(r.segments, segment[:filled])
			return err
		}
	}
	r.received += filled
	r.segments = append(r.segments, segment)
	return nil
}

// newSegment returns the next segment, of at most limit bytes.
func (r *bodyReader) newSegment(limit int) ([]byte, error) {
	if r.length < 0 && r.received == 0 {
		r.first = relayBuffers.Get().(*[relayBufferSize]byte)
		return r.first[:min(relayBufferSize, limit)], nil
	}
	size := min(max(freeBody, r.received), maxSegment, limit)
	if err := r.take(size); err != nil {
		return nil, err
	}
	return make([]byte, size), nil
}

// join allocates the buffer for the whole body, moves the segments there and releases their bytes.
func (r *bodyReader) join(length int) error {
	if length > freeBody {
		if err := r.take(length); err != nil {
			return err
		}
	}
	r.last = make([]byte, length)
	moved, taken := 0, 0
	for i, segment := range r.segments {
		moved += copy(r.last[moved:], segment)
		if i > 0 || r.first == nil {
			taken += cap(segment)
		}
	}
	r.segments = nil
	if taken > 0 {
		r.server.config.Budget.Release(&r.holder, int64(taken))
	}
	return nil
}

// readSome reads some bytes of the body, within the minimum rate if there is one.
func (r *bodyReader) readSome(p []byte) (int, error) {
	pace := r.limitPace()
	n, err := r.from.Read(p)
	r.arrived += n
	if now := time.Now(); n > 0 && now.Sub(r.progressAt) >= progressInterval {
		r.progressAt = now
		r.server.config.Budget.Progress(now, &r.holder)
	}
	if err != nil && r.link != nil && r.link.hasTimedOut() && !pace.IsZero() && !time.Now().Before(pace) {
		err = errBodySlow
	}
	return n, err
}

// limitPace sets the read deadline to when the body falls below the minimum rate, or to when the request must have arrived if that is
// earlier. It returns the time in the first case, and zero in the second one or without a minimum rate.
func (r *bodyReader) limitPace() time.Time {
	config := &r.server.config
	if config.BodyRate <= 0 || r.link == nil {
		return time.Time{}
	}
	pace := r.started.Add(config.BodyGrace + time.Duration(float64(r.arrived)/float64(config.BodyRate)*float64(time.Second)))
	if due := r.started.Add(config.ReadTimeout); !pace.Before(due) {
		r.link.limitRead(due) // The deadline of an earlier part may be set.
		return time.Time{}
	}
	r.link.limitRead(pace)
	return pace
}
