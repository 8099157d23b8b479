package fleet

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
	"ryelug/io/caller"
)

// Reply is all that a caller got for one request.
type Reply struct {
	ID         string
	Team       string
	Code       result.Code // Code is OK for an answer of the endpoint.
	NotRun     bool
	RetryAfter time.Duration
	Status     int
	Body       string
	Events     []caller.Event
	Tokens     int  // Tokens is the number of tokens that were asked for.
	Closed     bool // Closed tells that the stream ended as it should.
	Sent       time.Time
	First      time.Duration // First is the time to the first event or the whole answer.
	Took       time.Duration
}

// Whole tells whether the caller got its whole answer.
func (r *Reply) Whole() bool {
	if r.Code != result.OK {
		return false
	}
	return r.Closed || len(r.Events) == 0
}

// IsOwn tells whether the tokens of a stream are those of its request, each once
// and in order, and all of them if the answer is whole.
func (r *Reply) IsOwn() bool {
	tokens := 0
	for _, event := range r.Events {
		_, text, has := bytes.Cut(event.Data, contentField)
		if !has || bytes.HasPrefix(text, []byte(`"`)) {
			continue // The end of the stream.
		}
		tokens++
		if !bytes.HasPrefix(text, fmt.Appendf(nil, "%s:%d ", r.ID, tokens)) {
			return false
		}
	}
	return !r.Whole() || tokens == r.Tokens
}

// contentField begins the part of an event that carries a token.
var contentField = []byte(`"content":"`)

// serials numbers requests, so that each has an id of its own.
var serials atomic.Int64

// Chat asks a model for a streamed answer of so many tokens. Many goroutines may call it.
func (m *Member) Chat(ctx context.Context, team string, tokens int) *Reply {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"a plan"}]}`, Model, tokens)
	return m.serve(ctx, &Reply{Team: team, Tokens: tokens}, &caller.Request{
		Path: "/v1/chat/completions", Model: Model, Stream: true, Body: []byte(body), Hint: cell.Cost(tokens),
	})
}

// Call calls the service, whose calls may not be repeated. Many goroutines may call it.
func (m *Member) Call(ctx context.Context, team, idempotencyKey string) *Reply {
	return m.serve(ctx, &Reply{Team: team}, &caller.Request{
		Path: CallPath, Body: []byte(`{"adults":2}`), IdempotencyKey: idempotencyKey,
	})
}

// serve fills in the reply of a request.
func (m *Member) serve(ctx context.Context, reply *Reply, req *caller.Request) *Reply {
	req.ID = fmt.Sprintf("%s-%d", m.Host, serials.Add(1))
	req.Key = Key(reply.Team)
	req.Method = http.MethodPost
	req.ContentType = "application/json"
	req.Received = time.Now()
	reply.ID, reply.Sent = req.ID, req.Received
	m.fleet.Network.AwaitThaw(m.Address)
	m.Router().Serve(ctx, req, &writer{reply: reply})
	reply.Took = time.Since(reply.Sent)
	return reply
}

// writer collects a Reply.
type writer struct{ reply *Reply }

func (w *writer) first() {
	if w.reply.First == 0 {
		w.reply.First = time.Since(w.reply.Sent)
	}
}

// Whole implements caller.Writer.
func (w *writer) Whole(answer caller.Answer) error {
	w.first()
	w.reply.Status = answer.Status
	w.reply.Body = string(answer.Body)
	return nil
}

// Start implements caller.Writer.
func (w *writer) Start(answer caller.Answer) error {
	w.first()
	w.reply.Status = answer.Status
	return nil
}

// Event implements caller.Writer.
func (w *writer) Event(event caller.Event) error {
	w.first()
	event.Data = append([]byte(nil), event.Data...)
	w.reply.Events = append(w.reply.Events, event)
	return nil
}

// Close implements caller.Writer.
func (w *writer) Close() error {
	w.reply.Closed = true
	return nil
}

// Refuse implements caller.Writer.
func (w *writer) Refuse(refusal caller.Refusal) error {
	w.reply.Code = refusal.Code
	w.reply.NotRun = refusal.NotRun
	w.reply.RetryAfter = refusal.RetryAfter
	return nil
}
