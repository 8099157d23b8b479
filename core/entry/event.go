package entry

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
)

// Event is an input of Lifecycle.Step.
type Event interface{ event() }

// Begin starts the request; it is the first event.
type Begin struct{}

// Granted reports that a grant has arrived.
type Granted struct{}

// AskRefused reports that no grant will come, with the result code and the retry delay for the caller.
type AskRefused struct {
	Code       result.Code
	RetryAfter time.Duration
}

// NotSent reports that no byte of the request went to the endpoint.
type NotSent struct {
	Endpoint cell.EndpointID
	Expired  bool // Whether the grant expired before the send.
}

// StartChanged reports that the endpoint has restarted since the grant was made, so that it did not run the request.
type StartChanged struct {
	Endpoint cell.EndpointID
	Answered bool // Answered means that the request was sent, and the endpoint answered so.
}

// NotOpen reports that the endpoint of the grant is closed for new work by this router's own configuration, or wants nothing
// from this router by its own word. Nothing was sent.
type NotOpen struct{ Endpoint cell.EndpointID }

// Lapsed reports that a stream can't be resumed, since the slot of its attempt at the endpoint may have been given to another request.
type Lapsed struct{}

// EndpointRefused reports that the endpoint rejected the request before running it.
type EndpointRefused struct {
	Endpoint   cell.EndpointID
	RetryAfter time.Duration
}

// Broken reports that bytes were sent and that the answer is missing or incomplete.
type Broken struct {
	Endpoint cell.EndpointID
	Timeout  bool // Whether a timeout ended the attempt.
}

// FailedAnswer reports that the endpoint answered with a failure of its own; that answer is available for Deliver.
type FailedAnswer struct{ Endpoint cell.EndpointID }

// StreamEnded reports that the response framing has ended a stream that had no final event.
type StreamEnded struct{}

// Whole reports that a complete answer that is not a stream has arrived.
type Whole struct{}

// Streamed reports that an event of a stream has arrived.
type Streamed struct {
	Endpoint cell.EndpointID
	ID       string // ID of the event; empty if it has none.
	Done     bool   // Whether it is the last event.
}

// CallerGone reports that the caller no longer waits for the answer.
type CallerGone struct {
	Sent bool // Whether bytes went to the endpoint under the current grant.
}

func (*Begin) event()           {}
func (*Granted) event()         {}
func (*AskRefused) event()      {}
func (*NotSent) event()         {}
func (*StartChanged) event()    {}
func (*NotOpen) event()         {}
func (*Lapsed) event()          {}
func (*EndpointRefused) event() {}
func (*Broken) event()          {}
func (*FailedAnswer) event()    {}
func (*StreamEnded) event()     {}
func (*Whole) event()           {}
func (*Streamed) event()        {}
func (*CallerGone) event()      {}

// Action is an output of Lifecycle.Step.
type Action interface{ action() }

// Reason is why a request is retried.
type Reason string

// Reasons of retries, used as labels of the retry counters.
const (
	NoReason            Reason = ""
	GrantExpired        Reason = "grant_expired"
	EndpointRestarted   Reason = "endpoint_restarted"
	EndpointClosed      Reason = "endpoint_closed"
	EndpointUnreachable Reason = "endpoint_unreachable"
	EndpointBusy        Reason = "endpoint_refused"
	AnswerMissing       Reason = "answer_missing"
	AnswerLate          Reason = "answer_late"
	EndpointFailed      Reason = "endpoint_failed"
	StreamResumed       Reason = "stream_resumed"
)

// Obstacle is why a failure is not followed by a retry.
type Obstacle string

// Obstacles to a retry, as they are logged.
const (
	NoObstacle       Obstacle = ""
	NotIdempotent    Obstacle = "not_idempotent"
	AttemptsUsed     Obstacle = "attempts_used"
	SendsUsed        Obstacle = "sends_used"
	NoTimeLeft       Obstacle = "no_time_left"
	RetryBudgetEmpty Obstacle = "retry_budget_empty"
)

// Ask requests a grant after a pause. The current grant, if any, ends with the outcome End.
type Ask struct {
	End    cell.Outcome    // Zero if there is no current grant.
	Avoid  cell.EndpointID // Endpoint that has just failed this request; empty if none.
	After  time.Duration   // Pause before the grant is requested; zero for none.
	Reason Reason
}

// Send sends the request under the current grant, after a pause.
type Send struct {
	LastEvent string        // ID of the last event that the caller has, after which the stream continues; empty to send the request from the start.
	After     time.Duration // Pause before the send; zero for none.
	Reason    Reason
}

// Relay forwards the event to the caller.
type Relay struct{}

// Skip drops the event, which the caller already has.
type Skip struct{}

// Deliver forwards the complete answer or the last event to the caller and ends the request.
// The current grant ends as completed if End is zero.
type Deliver struct{ End cell.Outcome }

// Refuse gives the caller a final answer made by the router. The current grant ends with the outcome End.
type Refuse struct {
	End        cell.Outcome
	Code       result.Code   // Result code of the answer.
	NotRun     bool          // Whether the answer promises that no endpoint has run the request.
	RetryAfter time.Duration // How long the caller should wait before it tries again.
}

// Abandon ends the request without an answer: the endpoint is told to stop, and the current grant ends with the outcome End.
type Abandon struct {
	End cell.Outcome // Zero if there is no current grant.
}

func (*Ask) action()     {}
func (*Send) action()    {}
func (*Relay) action()   {}
func (*Skip) action()    {}
func (*Deliver) action() {}
func (*Refuse) action()  {}
func (*Abandon) action() {}
