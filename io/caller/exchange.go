package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/core/result"
)

// Errors of a Writer.
var (
	ErrGone     = errors.New("the caller has gone")
	ErrAnswered = errors.New("the request has its answer already")
	errCut      = errors.New("the stream broke off")
)

// head is what the library's goroutine learns first: a whole answer, a refusal, or that a stream begins.
type head struct {
	stream  bool
	answer  *Answer
	refusal Refusal
}

// exchange carries one answer from the handler to the library's goroutine.
type exchange struct {
	head   chan head
	events chan Event
	gone   chan struct{}

	mu      sync.Mutex // mu guards the state; the handler is the only user but for misuse.
	started bool
	ended   bool
	buf     []byte // buf and rest are the library's goroutine's: the event that is written, and what is left of it.
	rest    []byte
	once    sync.Once
	written *atomic.Int64 // written counts events.
	done    func()        // done is called when the library has no more use for the stream.
	broken  bool          // broken tells that the stream must not look complete.
	cuts    bool          // cuts tells that a refusal of a begun stream closes the connection.
}

func newExchange(buffer int, written *atomic.Int64) *exchange {
	return &exchange{
		written: written,
		head:    make(chan head, 1),
		events:  make(chan Event, buffer),
		gone:    make(chan struct{}),
		done:    func() {},
	}
}

// Whole implements Writer.
func (x *exchange) Whole(answer Answer) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.started || x.ended {
		return ErrAnswered
	}
	x.ended = true
	x.head <- head{answer: &answer}
	return nil
}

// Start implements Writer.
func (x *exchange) Start(answer Answer) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.started || x.ended {
		return ErrAnswered
	}
	x.started = true
	x.head <- head{stream: true, answer: &answer}
	return nil
}

// Event implements Writer.
func (x *exchange) Event(event Event) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return ErrAnswered
	}
	if !x.started {
		x.started = true
		x.head <- head{stream: true}
	}
	select {
	case <-x.gone:
		return ErrGone
	default:
	}
	event.Data, event.Raw = bytes.Clone(event.Data), bytes.Clone(event.Raw)
	select {
	case x.events <- event:
		return nil
	case <-x.gone:
		return ErrGone
	}
}

// finish implements Writer.Close.
func (x *exchange) finish() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended || !x.started {
		return ErrAnswered
	}
	x.ended = true
	close(x.events)
	return nil
}

// Refuse implements Writer.
func (x *exchange) Refuse(refusal Refusal) error {
	x.mu.Lock()
	started, ended := x.started, x.ended
	if !started && !ended {
		x.ended = true
		x.head <- head{refusal: refusal}
	}
	x.mu.Unlock()
	if ended {
		return ErrAnswered
	}
	if !started {
		return nil
	}
	if x.cuts {
		return x.cut()
	}
	if err := x.Event(Event{Name: "error", Data: refusal.encode()}); err != nil {
		return err
	}
	return x.finish()
}

// cut ends a stream so that it looks broken off.
func (x *exchange) cut() error {
	x.mu.Lock()
	x.broken = true
	x.mu.Unlock()
	return x.finish()
}

func (x *exchange) isBroken() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.broken
}

// end makes sure that a handler that returns without an answer leaves none open.
func (x *exchange) end() {
	_ = x.Refuse(Refusal{Code: result.InternalFailure, Detail: "the router ended the request without an answer"})
}

// Read implements io.Reader for the library's goroutine, which writes the stream.
func (x *exchange) Read(p []byte) (int, error) {
	if len(x.rest) == 0 {
		event, open := <-x.events
		if !open {
			return 0, x.last()
		}
		x.written.Add(1)
		x.buf = appendEvent(x.buf[:0], &event)
		x.rest = x.buf
	}
	n := copy(p, x.rest)
	x.rest = x.rest[n:]
	return n, nil
}

// last returns how the stream ends: a cut one makes the library close the connection
// without the end of the framing.
func (x *exchange) last() error {
	if x.isBroken() {
		return errCut
	}
	return io.EOF
}

// Close implements io.Closer: the library calls it when it has no more use for the stream.
func (x *exchange) Close() error {
	x.once.Do(func() {
		close(x.gone)
		x.done()
	})
	return nil
}

func appendEvent(to []byte, event *Event) []byte {
	if event.Raw != nil {
		return append(to, event.Raw...)
	}
	if event.ID != "" {
		to = appendField(to, "id: ", event.ID)
	}
	if event.Name != "" {
		to = appendField(to, "event: ", event.Name)
	}
	for line := range bytes.SplitSeq(event.Data, []byte("\n")) {
		to = append(append(append(to, "data: "...), line...), '\n')
	}
	return append(to, '\n')
}

func appendField(to []byte, name, value string) []byte {
	return append(append(append(to, name...), value...), '\n')
}

// write puts a whole answer or a refusal into the library's response.
func (h head) write(rc *fasthttp.RequestCtx) {
	if h.answer == nil {
		h.refusal.write(rc)
		return
	}
	h.answer.writeHead(rc)
	if h.answer.Replayed {
		rc.Response.Header.Set(headerReplayed, "true")
	}
	rc.SetBody(h.answer.Body)
}

// writeHead puts the status and the header into the library's response.
func (a *Answer) writeHead(rc *fasthttp.RequestCtx) {
	rc.SetStatusCode(a.Status)
	if a.Header == nil {
		rc.SetContentType(a.ContentType)
		return
	}
	for _, field := range a.Header {
		rc.Response.Header.Add(field.Name, field.Value)
	}
}

func (r Refusal) write(rc *fasthttp.RequestCtx) {
	info, _ := result.Lookup(r.Code)
	rc.SetStatusCode(info.Status)
	rc.SetContentType("application/json")
	if r.RetryAfter > 0 {
		seconds := (r.RetryAfter + time.Second - 1) / time.Second
		rc.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(seconds), 10))
	}
	rc.SetBody(r.encode())
}

// refusalBody is the wire form of a Refusal.
type refusalBody struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Code         result.Code `json:"code"`
	Name         string      `json:"name"`
	Text         string      `json:"text"`
	Detail       string      `json:"detail,omitempty"`
	NotRun       bool        `json:"not_run"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
}

func (r Refusal) encode() []byte {
	info, _ := result.Lookup(r.Code)
	body, err := json.Marshal(refusalBody{refusalError{
		Code:         r.Code,
		Name:         info.Name,
		Text:         info.Text,
		Detail:       r.Detail,
		NotRun:       r.NotRun,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		return nil // Unreachable: the body holds only strings, numbers and booleans.
	}
	return body
}

// writer is the handler's side of an exchange.
type writer struct{ *exchange }

// Close implements Writer.
func (w writer) Close() error { return w.finish() }
