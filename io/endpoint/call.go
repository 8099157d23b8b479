package endpoint

import (
	"fmt"
	"net/netip"
	"time"

	"ryelug/core/cell"
	"ryelug/io/header"
)

// Call describes one attempt to run a request at one endpoint.
type Call struct {
	Endpoint    cell.EndpointID
	Address     netip.AddrPort
	Start       cell.StartID // Start is the process start that the grant is valid for; empty accepts any start.
	RequestID   string
	Method      string
	Path        string
	ContentType string
	Body        []byte
	LastEvent   string         // LastEvent is the id of the event after which a stream resumes; empty starts from the beginning.
	Fresh       bool           // Fresh demands a connection that is new or has idled for at most Config.IdleReuse.
	Patient     bool           // Patient awaits the events of a stream for as long as the context allows, in place of Config.FirstTimeout and Config.EventTimeout.
	Fetch       netip.AddrPort // Fetch is the address of an engine to copy cached parts of the prompt from; invalid if there is none.
	Header      []header.Field // Header holds the header fields that are forwarded unchanged; only a verbatim Dialect sends them.
	Deadline    time.Time      // Deadline is sent to endpoints whose Dialect has a deadline field, as the time left; zero sends none.
	Expires     time.Time      // Expires is when the grant ends, checked right before the first byte is sent; zero never expires.
}

// Answer is the answer of an endpoint: complete in Body, or a stream in Events.
type Answer struct {
	Status      int
	ContentType string
	RequestID   string            // RequestID is the request id that the endpoint echoed; empty if it echoed none.
	RetryAfter  time.Duration     // RetryAfter is the value of the Retry-After header, in whole seconds; zero if it is absent or not a number.
	Load        cell.EndpointLoad // Load is the load that the endpoint reported; zero if it reported none or no pace.
	Header      []header.Field    // Header holds the answer's fields without hop-by-hop ones; nil unless the Dialect is verbatim.
	Body        []byte
	Events      *Events // Events is nil for an answer that is no stream; otherwise the reader must close it.
}

// Load is an endpoint's load report.
type Load struct {
	Start     cell.StartID // Start identifies the current start of the endpoint's process.
	Cold      bool         // Cold is the endpoint's own statement that it is cold.
	InFlight  int          // InFlight is the number of requests that the endpoint is running.
	Completed int64        // Completed is the endpoint's own count of completed requests.
}

// ErrNotSent reports that not a single byte of the call was sent.
type ErrNotSent struct {
	Endpoint cell.EndpointID
	Expired  bool // Expired is set if the grant expired before the first byte was sent.
	Err      error
}

// Error implements error.
func (e *ErrNotSent) Error() string {
	return fmt.Sprintf("call to endpoint %s not sent: %v", e.Endpoint, e.Err)
}

// Unwrap returns the underlying error.
func (e *ErrNotSent) Unwrap() error { return e.Err }

// ErrStartChanged reports that the endpoint has restarted since the grant was given, or that another
// endpoint answers at its address; the endpoint did not run the call.
type ErrStartChanged struct {
	Endpoint   cell.EndpointID
	Want, Have cell.StartID
	Answered   bool // Answered means that the call was sent, and its answer said so.
}

// Error implements error.
func (e *ErrStartChanged) Error() string {
	return fmt.Sprintf("endpoint %s has start %q, the grant is for start %q", e.Endpoint, e.Have, e.Want)
}

// ErrRefused reports that the endpoint refused the call before running it.
type ErrRefused struct {
	Endpoint   cell.EndpointID
	Status     int
	RetryAfter time.Duration // RetryAfter is the wait that the endpoint asked for; zero if it gave none.

	Load cell.EndpointLoad // Load is the load that the endpoint reported; zero if it reported none or no pace.
}

// Error implements error.
func (e *ErrRefused) Error() string {
	return fmt.Sprintf("endpoint %s refused before running with status %d", e.Endpoint, e.Status)
}

// ErrUnknown reports that part of the call was sent but no complete, valid answer arrived: the call may have run.
type ErrUnknown struct {
	Endpoint cell.EndpointID
	Timeout  bool // Timeout is set if the endpoint did not answer in time.
	Err      error
}

// Error implements error.
func (e *ErrUnknown) Error() string {
	return fmt.Sprintf("answer of endpoint %s is missing: %v", e.Endpoint, e.Err)
}

// Unwrap returns the underlying error.
func (e *ErrUnknown) Unwrap() error { return e.Err }
