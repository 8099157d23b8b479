package endpoint

import (
	"fmt"
	"net/netip"
	"time"

	"ryelug/core/cell"
	"ryelug/io/header"
)

// Call is one attempt at one endpoint.
type Call struct {
	Endpoint    cell.EndpointID
	Address     netip.AddrPort
	Start       cell.StartID // Start is the start that the grant holds for; empty accepts any.
	RequestID   string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	LastEvent   string         // LastEvent resumes a stream after the event of this id.
	Fresh       bool           // Fresh demands a connection that is new or was used a short time ago.
	Fetch       netip.AddrPort // Fetch is an engine to copy kept parts of the prompt from; invalid for none.
	Header      []header.Field // Header is passed on as it is.
	Deadline    time.Time      // Deadline is told to endpoints that stop by themselves; zero is none.
	Expires     time.Time      // Expires is checked right before the first byte; zero never expires.
}

// Answer is an endpoint's answer: whole in Body, or a stream in Events.
type Answer struct {
	Status      int
	ContentType string
	RequestID   string // RequestID is the id that the endpoint echoed, empty when it echoed none.
	RetryAfter  time.Duration
	Header      []header.Field // Header is what the endpoint wrote, but for fields of one connection; only in a dialect that keeps it.
	Body        []byte
	Events      *Events // Events is nil for a whole answer; the reader must close it.
}

// Load is an endpoint's own report.
type Load struct {
	Start     cell.StartID
	Cold      bool
	InFlight  int
	Completed int64
}

// ErrNotSent tells that not one byte of the call was sent.
type ErrNotSent struct {
	Endpoint cell.EndpointID
	Expired  bool // Expired tells that the grant ran out before the first byte.
	Err      error
}

// Error implements error.
func (e *ErrNotSent) Error() string {
	return fmt.Sprintf("call to endpoint %s not sent: %v", e.Endpoint, e.Err)
}

// Unwrap returns the cause.
func (e *ErrNotSent) Unwrap() error { return e.Err }

// ErrStartChanged tells that the endpoint has another start than the grant; nothing was sent.
type ErrStartChanged struct {
	Endpoint   cell.EndpointID
	Want, Have cell.StartID
}

// Error implements error.
func (e *ErrStartChanged) Error() string {
	return fmt.Sprintf("endpoint %s has start %q, the grant is for start %q", e.Endpoint, e.Have, e.Want)
}

// ErrRefused tells that the endpoint refused before running.
type ErrRefused struct {
	Endpoint   cell.EndpointID
	Status     int
	RetryAfter time.Duration
}

// Error implements error.
func (e *ErrRefused) Error() string {
	return fmt.Sprintf("endpoint %s refused before running with status %d", e.Endpoint, e.Status)
}

// ErrUnknown tells that bytes were sent and the whole answer did not come.
type ErrUnknown struct {
	Endpoint cell.EndpointID
	Timeout  bool // Timeout tells that the endpoint did not answer in time.
	Err      error
}

// Error implements error.
func (e *ErrUnknown) Error() string {
	return fmt.Sprintf("answer of endpoint %s is missing: %v", e.Endpoint, e.Err)
}

// Unwrap returns the cause.
func (e *ErrUnknown) Unwrap() error { return e.Err }
