package endpoint

import (
	"fmt"
	"maps"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/core/cell"
)

const (
	leavingHold = 24 * time.Hour   // a start that leaves gets nothing for as long as it can be expected to run on
	maxRest     = 10 * time.Minute // bounds what a wrong Retry-After may do
	maxHolds    = 4096             // number of starts from which on those whose time is over are dropped
)

// ErrHeld reports that the endpoint wants nothing from this router for now, by an answer of its own. Nothing was sent.
type ErrHeld struct {
	Endpoint cell.EndpointID
	Until    time.Time
}

// Error implements error.
func (e *ErrHeld) Error() string {
	return fmt.Sprintf("endpoint %s wants nothing from this router until %s", e.Endpoint, e.Until.Format(time.RFC3339))
}

// heldStart identifies a start of an endpoint.
type heldStart struct {
	endpoint cell.EndpointID
	start    cell.StartID
}

// holds keeps until when nothing is sent to starts of endpoints. The zero value holds none; it is safe for concurrent use.
type holds struct {
	leaving, resting atomic.Int64 // answers that said that the endpoint leaves, or asked for rest

	mu    sync.Mutex
	until map[heldStart]time.Time
}

// LeavingAnswers returns the number of answers since the client was created that said that their endpoint leaves.
func (c *Client) LeavingAnswers() int64 { return c.holds.leaving.Load() }

// RestingAnswers returns the number of answers since the client was created that asked for rest for a time.
func (c *Client) RestingAnswers() int64 { return c.holds.resting.Load() }

// check returns an ErrHeld if nothing may be sent to the call's endpoint now.
func (h *holds) check(now time.Time, call *Call) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := h.until[heldStart{call.Endpoint, call.Start}]; until.After(now) {
		return &ErrHeld{Endpoint: call.Endpoint, Until: until}
	}
	return nil
}

// note takes what an answer says of further calls to its endpoint.
func (h *holds) note(now time.Time, call *Call, resp *fasthttp.Response, dialect *Dialect) {
	if resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
		return // Another endpoint at the same address speaks of itself.
	}
	span := time.Duration(0)
	if dialect.Leaving != "" && string(resp.Header.Peek(dialect.Leaving)) == "1" {
		h.leaving.Add(1)
		span = leavingHold
	}
	if dialect.Rests && resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		if pause := rest(resp); pause > 0 {
			h.resting.Add(1)
			span = max(span, pause)
		}
	}
	if span > 0 {
		h.add(now, heldStart{call.Endpoint, call.Start}, now.Add(span))
	}
}

// add extends the time for which a start is held.
func (h *holds) add(now time.Time, at heldStart, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.until == nil {
		h.until = make(map[heldStart]time.Time)
	}
	if len(h.until) >= maxHolds {
		maps.DeleteFunc(h.until, func(_ heldStart, until time.Time) bool { return !until.After(now) })
	}
	if until.After(h.until[at]) {
		h.until[at] = until
	}
}

// rest returns the time of a Retry-After in seconds, maxRest at most; zero if there is none or it is no such number.
func rest(resp *fasthttp.Response) time.Duration {
	seconds, err := strconv.ParseFloat(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, maxRest.Seconds()) * float64(time.Second))
}
