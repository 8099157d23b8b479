package caller

import (
	"bytes"
	"context"
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

// ErrStopping is the cause with which Shutdown cancels the contexts of requests in progress.
var ErrStopping = errors.New("the router stops")

// Errors returned by a Writer: ErrGone when the caller has disconnected or the write to it has timed out, ErrAnswered when
// the answer is already complete or the call does not fit its state.
var (
	ErrGone         = errors.New("the caller has disconnected")
	ErrAnswered     = errors.New("the request has already been answered")
	errStreamBroken = errors.New("the stream broke off")
)

// head is the first value that the handler sends to the fasthttp goroutine: a complete answer, a refusal, or the start of
// a stream, whose answer is nil if the stream has the default status and header.
type head struct {
	stream  bool
	answer  *Answer
	refusal Refusal
}

// exchange passes one answer from the handler's goroutine to the fasthttp goroutine, which writes it.
type exchange struct {
	head   chan head
	events chan Event
	gone   chan struct{} // gone is closed when fasthttp closes the stream.

	mu              sync.Mutex // mu guards started, ended and broken, and serialises the methods of Writer.
	started         bool       // started means that the handler has begun a stream.
	ended           bool       // ended means that the answer is complete.
	buf             []byte     // buf holds the encoded event that is being written; only the fasthttp goroutine uses it.
	unwritten       []byte     // unwritten is the part of buf that has not been written yet; only the fasthttp goroutine uses it.
	closeOnce       sync.Once
	written         *atomic.Int64           // written counts the events that fasthttp has taken, over all exchanges of the server.
	done            func()                  // done is called once, when fasthttp closes the stream.
	broken          bool                    // broken means that the stream must end without its final chunk, so that the caller sees it as incomplete.
	interrupted     sync.Once               // interrupted makes interrupt refuse the request once.
	cancel          context.CancelCauseFunc // cancel cancels the context of the handler.
	outflow         outflow                 // outflow counts what the caller has not read of the answer.
	closesOnRefusal bool                    // closesOnRefusal means that a refusal after the start of the stream closes the connection instead of sending an error event.
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
	x.outflow.holdWhole(len(answer.Body))
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
	if !x.outflow.holdEvent(&event, x.gone) {
		return ErrGone
	}
	event.Data, event.Raw = x.outflow.clone(event.Data), x.outflow.clone(event.Raw)
	select {
	case x.events <- event:
		return nil
	case <-x.gone:
		return ErrGone
	}
}

// finish ends a started stream after its last event; it implements Writer.Close.
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
	if x.closesOnRefusal {
		return x.abort()
	}
	if err := x.Event(Event{Name: "error", Data: refusal.encode()}); err != nil {
		return err
	}
	return x.finish()
}

// stoppedRefusal refuses a request that the handler has not answered by the end of a shutdown.
var stoppedRefusal = Refusal{Code: result.OutcomeUnknown, Detail: "the router stops"}

// interrupt refuses the request in the background, because Refuse waits for the caller of a stream to read earlier events.
// Calls after the first have no effect.
func (x *exchange) interrupt() {
	x.interrupted.Do(func() {
		go func() { _ = x.Refuse(stoppedRefusal) }() // It fails if the request was answered or its caller has gone meanwhile.
	})
}

// abort ends a started stream without its final chunk, so that the caller sees it as incomplete.
func (x *exchange) abort() error {
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

// ensureAnswered answers if the handler has returned without completing its answer: with OutcomeUnknown if ctx, the context
// of the handler, was cancelled by a stop, else with InternalFailure.
func (x *exchange) ensureAnswered(ctx context.Context) {
	refusal := Refusal{Code: result.InternalFailure, Detail: "the router ended the request without an answer"}
	if errors.Is(context.Cause(ctx), ErrStopping) {
		refusal = stoppedRefusal
	}
	_ = x.Refuse(refusal)
}

// Read implements io.Reader for the fasthttp goroutine, which writes the stream. It blocks until the next event.
func (x *exchange) Read(p []byte) (int, error) {
	if len(x.unwritten) == 0 {
		x.outflow.eventWritten()
		event, open := <-x.events
		if !open {
			return 0, x.streamEnd()
		}
		x.written.Add(1)
		x.outflow.eventTaken(&event)
		x.buf = appendEvent(x.buf[:0], &event)
		x.outflow.recycle(&event)
		x.unwritten = x.buf
	}
	n := copy(p, x.unwritten)
	x.unwritten = x.unwritten[n:]
	return n, nil
}

// streamEnd returns the error that ends Read. For a broken stream it is not io.EOF, which makes fasthttp close the
// connection without writing the final chunk.
func (x *exchange) streamEnd() error {
	if x.isBroken() {
		return errStreamBroken
	}
	return io.EOF
}

// Close implements io.Closer. fasthttp calls it when the stream has been written or the write has failed.
func (x *exchange) Close() error {
	x.closeOnce.Do(func() {
		close(x.gone)
		x.done()
	})
	return nil
}

// appendEvent appends the event in the text/event-stream format, or its Raw bytes unchanged if they are set.
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

// write copies a complete answer or a refusal to the fasthttp response.
func (h head) write(rc *fasthttp.RequestCtx) {
	if h.answer == nil {
		h.refusal.write(rc)
		return
	}
	h.answer.writeHead(rc)
	if h.answer.Replayed {
		rc.Response.Header.Set(headerReplayed, "true")
	}
	rc.Response.SetBodyRaw(h.answer.Body)
}

// writeHead copies the status and the header, or the content type if there is no header, to the fasthttp response.
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

// write sets the status, the JSON body and the Retry-After header, rounded up to whole seconds, of the fasthttp response.
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

// refusalBody is the JSON encoding of a Refusal.
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

// writer implements Writer for the handler on top of an exchange, whose own Close belongs to fasthttp.
type writer struct{ *exchange }

// Close implements Writer.
func (w writer) Close() error { return w.finish() }
