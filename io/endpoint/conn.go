package endpoint

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/core/cell"
	"ryelug/io/http1"
)

const (
	headerRequestID = "X-Request-Id"
	headerLastEvent = "Last-Event-ID"
	headerNotRun    = "X-Not-Run"
	loadPath        = "/load"
	cancelPath      = "/v1/requests/"
	eventStream     = "text/event-stream"
	userAgent       = "ryelug"
	maxReportBytes  = 4 << 10
)

// pastDeadline is a deadline in the past; setting it makes a blocked read return at once.
var pastDeadline = time.Unix(1, 0)

// conn is one connection to one start of an endpoint. It carries one call at a time and is used
// by one goroutine, apart from close and the read that watches it while it is idle.
type conn struct {
	raw           net.Conn
	address       netip.AddrPort
	reader        *bufio.Reader
	sentBytes     int           // Bytes of the current call that the operating system accepted.
	keepAliveTime time.Duration // How long the endpoint keeps the connection open while idle; zero if not known.
	served        bool          // Whether the connection has carried a call already.
	load          Load          // Last load report on this connection.
	idleSince     time.Time     // When the connection last became idle.
	watchResult   chan error    // Receives the error that ended the read in Client.watch.
	malformed     *atomic.Int64 // Counts the answers of all connections whose head broke a rule.
}

func (c *Client) newConn(raw net.Conn, address netip.AddrPort) *conn {
	return &conn{raw: raw, address: address, reader: bufio.NewReaderSize(raw, c.config.MaxHeader), malformed: &c.malformedCount}
}

// Write implements io.Writer and counts the bytes sent, so that a failed call can tell whether any were.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.raw.Write(p)
	c.sentBytes += n
	return n, err
}

// key returns the key of the pool that the connection belongs to.
func (c *conn) key() poolKey { return poolKey{c.address, c.load.Start} }

func (c *conn) close() { c.raw.Close() }

// setDeadline sets the deadline of reads and writes. It ignores the error: setting a deadline fails only on a
// closed connection, and the next read or write then fails too.
func (c *conn) setDeadline(t time.Time) { _ = c.raw.SetDeadline(t) }

// stopWatch stops the idle watch and reports whether the connection stayed open and received nothing.
func (c *conn) stopWatch() bool {
	c.setDeadline(pastDeadline)
	err := <-c.watchResult
	c.setDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded) && c.reader.Buffered() == 0
}

// send writes one request; the body is not copied into the request first.
func (c *conn) send(req *fasthttp.Request) error {
	c.sentBytes = 0
	writer := bufio.NewWriter(c)
	if err := req.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// read reads an answer into resp, and counts it if its head breaks a rule.
func (c *conn) read(resp *fasthttp.Response, maxBody int) error {
	err := http1.ReadResponse(c.reader, resp, maxBody)
	if http1.IsMalformed(err) {
		c.malformed.Add(1)
	}
	return err
}

func (c *conn) newRequest(method, path string) *fasthttp.Request {
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	req.Header.SetRequestURI(path)
	req.Header.SetHost(c.address.String())
	return req
}

// loadReport is the JSON form of a Load.
type loadReport struct {
	Start     string `json:"start"`
	Cold      bool   `json:"cold"`
	InFlight  int    `json:"in_flight"`
	Completed int64  `json:"completed"`
}

// fetchLoad fetches the endpoint's load report on this connection and stores it in load.
func (c *conn) fetchLoad() error {
	if err := c.send(c.newRequest(fasthttp.MethodGet, loadPath)); err != nil {
		return err
	}
	resp := &fasthttp.Response{}
	if err := c.read(resp, maxReportBytes); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("load report has status %d", resp.StatusCode())
	}
	if resp.ConnectionClose() || c.reader.Buffered() > 0 {
		return errors.New("the endpoint closes the connection after its load report or sends bytes beyond it")
	}
	var report loadReport
	if err := json.Unmarshal(resp.Body(), &report); err != nil {
		return err
	}
	if report.Start == "" {
		return errors.New("load report names no start")
	}
	c.load = Load{cell.StartID(report.Start), report.Cold, report.InFlight, report.Completed}
	return nil
}

// cancel asks the endpoint to stop a request and waits for the answer, whatever its status is.
func (c *conn) cancel(requestID string) error {
	if err := c.send(c.newRequest(fasthttp.MethodDelete, cancelPath+requestID)); err != nil {
		return err
	}
	return c.read(&fasthttp.Response{}, maxReportBytes)
}

// exchange sends the call and reads the header of the answer, and the body too unless it is an event stream.
// detach separates the connection from the context and returns false if the context has ended.
func (c *Client) exchange(link *conn, call Call, detach func() bool) (*Answer, error) {
	_ = link.raw.SetWriteDeadline(time.Now().Add(c.config.WriteTimeout))
	if err := link.send(link.callRequest(call, &c.config.Dialect)); err != nil {
		if link.sentBytes == 0 {
			return nil, &ErrNotSent{Endpoint: call.Endpoint, Err: err}
		}
		return nil, newErrUnknown(call, err)
	}
	if c.config.AnswerTimeout > 0 {
		_ = link.raw.SetReadDeadline(time.Now().Add(c.config.AnswerTimeout))
	}
	resp, answer, err := c.readHeader(link, call)
	if err != nil {
		return nil, err
	}
	if isEventStream(answer.ContentType) && resp.BodyStream() != nil {
		answer.Events = newEvents(c, link, call, resp, detach)
		return answer, nil
	}
	return answer, c.readBody(link, call, resp, answer, detach)
}

// maxStrayAnswers is the largest number of late answers to earlier calls that are skipped on a connection.
const maxStrayAnswers = 3

// readHeader reads the header of the call's answer. With a verbatim dialect it skips late answers to earlier calls
// that come first, as long as each is framed so that its end can be found.
func (c *Client) readHeader(link *conn, call Call) (*fasthttp.Response, *Answer, error) {
	for skipped := 0; ; skipped++ {
		resp := &fasthttp.Response{StreamBody: true}
		if err := link.read(resp, c.config.MaxBody); err != nil {
			return nil, nil, newErrUnknown(call, err)
		}
		answer, err := link.checkHeader(call, resp, &c.config.Dialect)
		if err == nil {
			c.holds.note(time.Now(), &call, resp, &c.config.Dialect)
			return resp, answer, nil
		}
		isFramed := resp.Header.ContentLength() >= -1
		if !c.config.Dialect.Verbatim || !isFramed || skipped >= maxStrayAnswers || answer == nil {
			return nil, nil, err
		}
		if stream := resp.BodyStream(); stream != nil {
			if _, copyErr := io.Copy(io.Discard, io.LimitReader(stream, int64(c.config.MaxBody))); copyErr != nil {
				return nil, nil, newErrUnknown(call, copyErr)
			}
		}
	}
}

func (c *conn) callRequest(call Call, dialect *Dialect) *fasthttp.Request {
	req := c.newRequest(call.Method, call.Path)
	if dialect.Verbatim {
		req.Header.SetNoDefaultContentType(true)
		for _, field := range call.Header {
			req.Header.Add(field.Name, field.Value)
		}
	} else {
		req.Header.SetUserAgent(userAgent)
	}
	req.Header.Set(dialect.RequestID, call.RequestID)
	if dialect.Start != "" {
		req.Header.Set(dialect.Start, string(call.Endpoint))
	}
	if dialect.Fetch != "" && call.Fetch.IsValid() {
		req.Header.Set(dialect.Fetch, call.Fetch.String())
	}
	if dialect.Deadline != "" && !call.Deadline.IsZero() {
		millisLeft := max(1, time.Until(call.Deadline).Milliseconds())
		req.Header.Set(dialect.Deadline, strconv.FormatInt(millisLeft, 10))
	}
	if call.ContentType != "" {
		req.Header.SetContentType(call.ContentType)
	}
	if call.LastEvent != "" {
		req.Header.Set(dialect.LastEvent, call.LastEvent)
	}
	if len(call.Body) > 0 {
		req.SetBodyRaw(call.Body)
	}
	return req
}

// checkHeader checks the header of an answer and that the answer belongs to the call. A connection that has carried
// calls before could deliver a late answer to one of them, so there the endpoint must echo the request id.
//
// An answer to another call is returned together with an error; an invalid answer is returned as nil.
func (c *conn) checkHeader(call Call, resp *fasthttp.Response, dialect *Dialect) (*Answer, error) {
	echoed := string(resp.Header.Peek(dialect.RequestID))
	answer := &Answer{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		RequestID:   echoed,
		RetryAfter:  retryAfter(resp),
		Load:        dialect.load(resp),
	}
	isOther := echoed != "" && echoed != call.RequestID
	if isOther || (echoed == "" && c.served) {
		return answer, newErrUnknown(call, fmt.Errorf("answer is for request %q, not %q", echoed, call.RequestID))
	}
	if !dialect.Verbatim {
		return answer, nil
	}
	if encoding := resp.Header.Peek(fasthttp.HeaderContentEncoding); len(encoding) > 0 {
		return nil, newErrUnknown(call, fmt.Errorf("answer has content encoding %q, which was not requested", encoding))
	}
	if answer.Status < 300 && len(resp.Header.Peek(dialect.Seal)) == 0 {
		return nil, newErrUnknown(call, fmt.Errorf("answer with status %d lacks %s", answer.Status, dialect.Seal))
	}
	answer.Header = forwardedFields(resp)
	return answer, nil
}

// readBody reads the body of an answer that is no event stream, and turns answers with which the endpoint
// refused the call into errors.
func (c *Client) readBody(link *conn, call Call, resp *fasthttp.Response, answer *Answer, detach func() bool) error {
	if stream := resp.BodyStream(); stream != nil {
		buffered := &buffered{client: c}
		defer buffered.release()
		body, err := io.ReadAll(countingReader{io.LimitReader(stream, int64(c.config.MaxBody)+1), buffered})
		if err != nil {
			return newErrUnknown(call, err)
		}
		if resp.Header.ContentLength() < -1 && !c.config.Dialect.Verbatim {
			return newErrUnknown(call, errors.New("answer has no length, so its end can't be told"))
		}
		if len(body) > c.config.MaxBody {
			return newErrUnknown(call, c.newErrTooLong("answer is longer than %d bytes", c.config.MaxBody))
		}
		answer.Body = body
	}
	c.release(link, answer, resp, detach)
	if c.config.Dialect.Start != "" && answer.Status == fasthttp.StatusMisdirectedRequest {
		return &ErrStartChanged{Endpoint: call.Endpoint, Want: call.Start, Answered: true}
	}
	if c.config.Dialect.refused(resp) {
		return &ErrRefused{Endpoint: call.Endpoint, Status: answer.Status, RetryAfter: answer.RetryAfter, Load: answer.Load}
	}
	return nil
}

// release returns a connection to its pool after its answer was read to the end. It closes the connection if a late
// answer on it could not be recognised, if the end of the answer was marked by closing, or if bytes are left over.
func (c *Client) release(link *conn, answer *Answer, resp *fasthttp.Response, detach func() bool) {
	isDetached := detach()
	link.keepAliveTime = keepAlive(resp)
	isUnframed := resp.Header.ContentLength() < -1
	if !isDetached || isUnframed || answer.RequestID == "" || resp.ConnectionClose() || link.reader.Buffered() > 0 {
		link.close()
		return
	}
	link.served = true
	c.putIdle(link.key(), link)
}

func newErrUnknown(call Call, err error) *ErrUnknown {
	return &ErrUnknown{Endpoint: call.Endpoint, Timeout: isTimeout(err), Err: err}
}

// isTimeout reports whether err is a timeout. It checks for the Timeout method, since fasthttp has its own timeout errors.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

func retryAfter(resp *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
