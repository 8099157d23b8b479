package fleet

import (
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

// serials numbers requests, so that each has an id of its own.
var serials atomic.Int64

// Chat asks a model for a streamed answer of so many tokens. Many goroutines may call it.
func (m *Member) Chat(ctx context.Context, team string, tokens int) *Reply {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"a plan"}]}`, Model, tokens)
	return m.serve(ctx, team, &caller.Request{
		Path: "/v1/chat/completions", Model: Model, Stream: true, Body: []byte(body), Hint: cell.Cost(tokens),
	})
}

// Call calls the service, whose calls may not be repeated. Many goroutines may call it.
func (m *Member) Call(ctx context.Context, team, idempotencyKey string) *Reply {
	return m.serve(ctx, team, &caller.Request{
		Path: CallPath, Body: []byte(`{"adults":2}`), IdempotencyKey: idempotencyKey,
	})
}

func (m *Member) serve(ctx context.Context, team string, req *caller.Request) *Reply {
	req.ID = fmt.Sprintf("%s-%d", m.Host, serials.Add(1))
	req.Key = Key(team)
	req.Method = http.MethodPost
	req.ContentType = "application/json"
	req.Received = time.Now()
	reply := &Reply{ID: req.ID, Team: team, Sent: req.Received}
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
