package endpoint

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Done is the data of the event that ends a complete stream, unless the dialect is verbatim.
const Done = "[DONE]"

// drainTimeout bounds the wait for the end of the HTTP framing after the last event.
const drainTimeout = 50 * time.Millisecond

// Event is one server-sent event.
type Event struct {
	ID   string // ID is the event's id field, empty if it has none.
	Name string // Name is the event's type, empty if it has none.
	Data []byte // Data is the event's data lines joined by newlines; valid until the next call of Next.
	Raw  []byte // Raw holds the event's bytes as received, with a verbatim dialect only; valid until the next call of Next.
}

// Events reads the events of one streamed answer; only one goroutine may use it.
type Events struct {
	client     *Client
	link       *conn
	call       Call
	resp       *fasthttp.Response
	detach     func() bool // Separates the connection from the context; false if the context has ended.
	reader     *bufio.Reader
	answer     Answer
	buffered   buffered
	data       []byte
	raw        []byte
	long       []byte // Buffer for lines that are longer than the reader's; reused, because the garbage of large events exceeded the memory.
	isInEvent  bool   // Whether the bytes read last belong to an event that is not complete.
	hasStarted bool   // Whether an event was read, or the stream resumes an earlier one.
	isComplete bool   // Whether the stream was read to its end.
	isClosed   bool
}

func newEvents(client *Client, link *conn, call Call, resp *fasthttp.Response, detach func() bool) *Events {
	return &Events{
		client:     client,
		link:       link,
		call:       call,
		resp:       resp,
		detach:     detach,
		reader:     bufio.NewReader(resp.BodyStream()),
		buffered:   buffered{client: client, copies: copiesPerEvent},
		answer:     Answer{RequestID: string(resp.Header.Peek(client.config.Dialect.RequestID))},
		hasStarted: call.LastEvent != "",
	}
}

func isEventStream(contentType string) bool {
	return strings.HasPrefix(contentType, eventStream)
}

// Next returns the next event, and io.EOF after the end of a complete stream: after the Done event or,
// with a verbatim dialect, at the end of the HTTP framing. It returns an ErrUnknown if the stream stops
// earlier, is silent for longer than FirstTimeout or EventTimeout if the call is not patient, or has an event over a size limit.
func (e *Events) Next() (Event, error) {
	if e.isComplete {
		return Event{}, io.EOF
	}
	e.extendWait()
	event, err := e.parse()
	if err != nil {
		if e.client.config.Dialect.Verbatim && err == io.EOF { //nolint:errorlint // A wrapped io.EOF means that the framing is broken.
			return e.finish()
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return Event{}, newErrUnknown(e.call, err)
	}
	e.hasStarted = true
	if e.client.config.Dialect.Verbatim {
		event.Raw = e.raw
		return event, nil
	}
	e.isComplete = string(event.Data) == Done
	return event, nil
}

// extendWait sets the time up to which the next event is awaited. Only events and comments extend it, so that an
// endpoint that sends parts of an event now and then counts as stalled.
func (e *Events) extendWait() {
	var until time.Time // A patient call ends with its context.
	if !e.call.Patient {
		timeout := e.client.config.EventTimeout
		if !e.hasStarted {
			timeout = e.client.config.FirstTimeout
		}
		until = time.Now().Add(timeout)
	}
	_ = e.link.raw.SetReadDeadline(until)
}

// finish ends a stream whose HTTP framing is complete, and returns any bytes after the last event as one more event. A stream
// without a length or chunks ends with its connection, whatever ended that, so it must not end inside an event or before the first.
func (e *Events) finish() (Event, error) {
	isUnframed := e.resp.Header.ContentLength() < -1
	if isUnframed && (e.isInEvent || !e.hasStarted) {
		return Event{}, newErrUnknown(e.call, io.ErrUnexpectedEOF)
	}
	e.isComplete = true
	if len(e.raw) == 0 {
		return Event{}, io.EOF
	}
	return Event{Raw: e.raw}, nil
}

// parse reads lines up to the empty line that ends an event. It skips events without data and comments.
// With a verbatim dialect their bytes go into Raw of the next event.
func (e *Events) parse() (Event, error) {
	var event Event
	e.data, e.raw, e.isInEvent = e.data[:0], e.raw[:0], false
	size, hasData := 0, false
	defer e.buffered.releaseCount()
	for {
		line, err := e.line(e.client.config.MaxEvent - size)
		if err != nil {
			e.isInEvent = e.isInEvent || len(e.raw) > 0 && e.raw[len(e.raw)-1] != '\n'
			return Event{}, err
		}
		size += len(line) + 1
		if int64(size) >= e.buffered.bytes+minCountedEventBytes {
			if err := e.buffered.add(size - int(e.buffered.bytes)); err != nil {
				return Event{}, err
			}
		}
		line = e.appendRaw(line)
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		e.isInEvent = e.isInEvent || len(field) > 0
		switch string(field) {
		case "":
			if len(line) > 0 { // A comment, which shows that the endpoint is still at work.
				e.extendWait()
				continue
			}
			if !hasData {
				continue
			}
			event.Data = e.data
			return event, nil
		case "id":
			event.ID = string(value)
		case "event":
			event.Name = string(value)
		case "data":
			if hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			hasData = true
		}
	}
}

// line reads a line of at most limit bytes, its end not counted.
func (e *Events) line(limit int) ([]byte, error) {
	line, err := e.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = e.readLongLine(limit, line)
	}
	if (err == nil || errors.Is(err, bufio.ErrBufferFull)) && len(line) > limit+len("\r\n") {
		return nil, e.client.newErrTooLong("event is longer than %d bytes", e.client.config.MaxEvent)
	}
	if err != nil {
		e.appendRaw(line)
		return nil, err
	}
	return line, nil
}

// appendRaw records a line as received if the dialect is verbatim, and returns the line without its end.
func (e *Events) appendRaw(line []byte) []byte {
	if e.client.config.Dialect.Verbatim {
		e.raw = append(e.raw, line...)
	}
	return bytes.TrimRight(line, "\r\n")
}

// readLongLine reads the rest of a line that is longer than the reader's buffer.
func (e *Events) readLongLine(limit int, start []byte) ([]byte, error) {
	line := append(e.long[:0], start...)
	defer func() { e.long = line }()
	err := bufio.ErrBufferFull
	for errors.Is(err, bufio.ErrBufferFull) && len(line) <= limit {
		var more []byte
		more, err = e.reader.ReadSlice('\n')
		line = append(line, more...)
		if full := e.buffered.add(len(more)); full != nil {
			return line, full
		}
	}
	return line, err
}

// Close ends reading; later calls do nothing. The connection of a stream that was read to its end returns
// to the pool; any other is closed, which makes the endpoint stop.
func (e *Events) Close() {
	if e.isClosed {
		return
	}
	e.isClosed = true
	e.buffered.release()
	if !e.isComplete || !e.endsHere() {
		e.detach()
		e.link.close()
		return
	}
	e.client.release(e.link, &e.answer, e.resp, e.detach)
}

// endsHere reports whether the framing ends within drainTimeout and nothing comes before its end.
func (e *Events) endsHere() bool {
	_ = e.link.raw.SetReadDeadline(time.Now().Add(drainTimeout))
	_, err := e.reader.ReadByte()
	return errors.Is(err, io.EOF)
}
