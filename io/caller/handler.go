package caller

import (
	"context"
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
	"ryelug/io/header"
)

// Handler serves requests of callers.
type Handler interface {
	// Serve answers one request through w; ctx ends when the caller has gone.
	Serve(ctx context.Context, req *Request, w Writer)
}

// Panic is what is known of a handler's panic; the request ends with InternalFailure.
type Panic struct {
	Request string // Request is the request's ID.
	Cause   any    // Cause is the value of the panic.
	Stack   []byte
}

// Request is one request of a caller; the handler may keep it.
type Request struct {
	ID             string // ID is unique in the fleet and made by the server.
	Key            string // Key is the bearer key, empty when there is none.
	Method         string
	Path           string // Path holds the query too.
	ContentType    string
	Body           []byte
	Model          string // Model is the body's "model" field, empty when there is none.
	Stream         bool   // Stream is the body's "stream" field.
	Malformed      bool   // Malformed tells that the body is not a JSON object.
	IdempotencyKey string
	NonIdempotent  bool      // NonIdempotent is the caller's demand to be sent at most once.
	Hint           cell.Cost // Hint is the caller's guess of the cost, zero when there is none.
	Received       time.Time // Received is when the request arrived, also if it was read later.

	Host      string
	Header    []header.Field // Header is what passes on to the endpoint; only in a protocol that passes headers on.
	Prompt    cell.Prompt
	LastEvent string    // LastEvent is the event after which the caller wants the stream to go on.
	Deadline  time.Time // Deadline is when the caller waits no more; zero when it does not say.

	HasLeft func() bool // HasLeft tells whether the caller has closed its connection, which ctx may tell later; it may be nil.
}

// Answer is a whole answer of an endpoint.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Header      []header.Field // Header takes the place of ContentType if it is not nil.
	Replayed    bool           // Replayed tells that the answer is the recorded one of an earlier request.
}

// Event is one server-sent event.
type Event struct {
	ID   string
	Name string
	Data []byte
	Raw  []byte // Raw takes the place of the other fields if it is not nil.
}

// Refusal is a final answer that is not the endpoint's.
type Refusal struct {
	Code       result.Code
	NotRun     bool          // NotRun promises that the request has not run.
	RetryAfter time.Duration // RetryAfter says when to come back; zero leaves it out.
	Detail     string        // Detail is added to the code's text.
}

// Writer takes the answer to one request: one Whole, or one Refuse, or Events that Close or Refuse ends.
//
// Start may come before the first Event.
type Writer interface {
	// Start begins a stream with an endpoint's head.
	Start(Answer) error
	// Whole sends a whole answer.
	Whole(Answer) error
	// Event adds an event to the stream and starts it if need be. It blocks while the
	// bounded buffer is full and fails when the caller has gone or takes nothing for too long.
	Event(Event) error
	// Close ends the stream after its last event.
	Close() error
	// Refuse sends a refusal: an answer of its own, or an error event when the stream has begun.
	Refuse(Refusal) error
}
