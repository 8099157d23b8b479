package entry

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
)

// Event is an input of a Life.
type Event interface{ event() }

// Begin starts the life.
type Begin struct{}

// Granted tells that a grant has come.
type Granted struct{}

// AskRefused tells that no grant will come.
type AskRefused struct {
	Code       result.Code
	RetryAfter time.Duration
}

// NotSent tells that not one byte went to the endpoint.
type NotSent struct {
	Endpoint cell.EndpointID
	Expired  bool // Expired tells that the grant ran out before the send.
}

// StartChanged tells that the endpoint has another start than the grant and nothing was sent.
type StartChanged struct{}

// Lapsed tells that a stream can't be resumed: the place of its attempt at the endpoint may be another's by now.
type Lapsed struct{}

// EndpointRefused tells that the endpoint refused before running.
type EndpointRefused struct {
	Endpoint   cell.EndpointID
	RetryAfter time.Duration
}

// Broken tells that bytes were sent and that the answer is missing or has stopped short.
type Broken struct {
	Endpoint cell.EndpointID
	Timeout  bool
}

// FailedAnswer tells that the endpoint itself answered that it failed; the answer is at hand.
type FailedAnswer struct{ Endpoint cell.EndpointID }

// StreamEnded tells that a stream is complete by its framing, without an event that says so.
type StreamEnded struct{}

// Whole tells that a whole answer has come.
type Whole struct{}

// Streamed tells that an event of a stream has come.
type Streamed struct {
	Endpoint cell.EndpointID
	ID       string
	Done     bool // Done marks the last event.
}

// CallerGone tells that the caller waits no more.
type CallerGone struct {
	Sent bool // Sent tells that bytes went to the endpoint under the grant at hand.
}

func (*Begin) event()           {}
func (*Granted) event()         {}
func (*AskRefused) event()      {}
func (*NotSent) event()         {}
func (*StartChanged) event()    {}
func (*Lapsed) event()          {}
func (*EndpointRefused) event() {}
func (*Broken) event()          {}
func (*FailedAnswer) event()    {}
func (*StreamEnded) event()     {}
func (*Whole) event()           {}
func (*Streamed) event()        {}
func (*CallerGone) event()      {}

// Action is an output of a Life.
type Action interface{ action() }

// Reason says why a request is tried again.
type Reason string

// Reasons of retries, as counted.
const (
	NoReason            Reason = ""
	GrantExpired        Reason = "grant_expired"
	EndpointRestarted   Reason = "endpoint_restarted"
	EndpointUnreachable Reason = "endpoint_unreachable"
	EndpointBusy        Reason = "endpoint_refused"
	AnswerMissing       Reason = "answer_missing"
	AnswerLate          Reason = "answer_late"
	EndpointFailed      Reason = "endpoint_failed"
	StreamResumed       Reason = "stream_resumed"
)

// Ask wants a grant, after a pause; the grant at hand, if any, ends with the outcome End.
type Ask struct {
	End    cell.Outcome
	Avoid  cell.EndpointID
	After  time.Duration
	Reason Reason
}

// Send wants the request sent under the grant at hand, after a pause, from LastEvent on if that is set.
type Send struct {
	LastEvent string
	After     time.Duration
	Reason    Reason
}

// Relay wants the event passed on to the caller.
type Relay struct{}

// Skip wants the event dropped: the caller has it already.
type Skip struct{}

// Deliver wants the whole answer, or the last event, passed on; the grant ends as
// completed, unless End says otherwise.
type Deliver struct{ End cell.Outcome }

// Refuse wants a final answer that is not the endpoint's; the grant at hand ends with the outcome End.
type Refuse struct {
	End        cell.Outcome
	Code       result.Code
	NotRun     bool
	RetryAfter time.Duration
}

// Abandon wants the endpoint told to stop and the grant at hand ended with the outcome End.
type Abandon struct {
	End cell.Outcome
}

func (*Ask) action()     {}
func (*Send) action()    {}
func (*Relay) action()   {}
func (*Skip) action()    {}
func (*Deliver) action() {}
func (*Refuse) action()  {}
func (*Abandon) action() {}
