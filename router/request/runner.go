package request

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/entry"
	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/io/endpoint"
	"ryelug/io/header"
	"ryelug/router/keyed"
)

// Endpoints sends requests to endpoints and cancels them there.
type Endpoints interface {
	// Send sends the call once. Its error, one of the Err types of io/endpoint, says whether
	// anything was sent.
	Send(ctx context.Context, call endpoint.Call) (*endpoint.Answer, error)
	// Cancel orders the endpoint to stop working on a request whose answer is no longer needed.
	Cancel(ctx context.Context, address netip.AddrPort, requestID string) error
}

// Grants obtains permits to send from the dispatchers.
type Grants interface {
	// Ask waits for a permit. It returns a *RefusedError if the dispatcher refuses the demand, and
	// the error of ctx if ctx ends first; the demand is then withdrawn.
	Ask(ctx context.Context, wanted GrantRequest) (Permit, error)
}

// GrantRequest describes a request for which a permit is asked.
type GrantRequest struct {
	Pool     cell.ID // the pool whose endpoints can answer the request
	Team     cell.TeamID
	Hint     cell.Cost       // the caller's estimate of the cost; zero if it gave none
	Avoid    cell.EndpointID // an endpoint to avoid since the last attempt there failed; empty for none
	Class    string          // groups requests of one kind, whose sizes the dispatcher compares
	Prompt   cell.Prompt
	Deadline time.Time // time after which the first token is late; zero for never
}

// Permit is a grant that a request holds for one attempt at one endpoint. Its holder must call End
// exactly once.
type Permit interface {
	// Attempt returns the dispatcher's ID of the attempt.
	Attempt() cell.AttemptID
	// Endpoint returns the endpoint, its address and the ID of the start (one run of its process)
	// that the permit is valid for.
	Endpoint() (cell.EndpointID, netip.AddrPort, cell.StartID)
	// IsOpen reports whether this router's own configuration, as of now, has the endpoint open for new work. The
	// dispatcher that granted may have known less.
	IsOpen() bool
	// Fetch returns the address of an engine from which cached parts of the prompt can be copied.
	// It is invalid if there is none.
	Fetch() netip.AddrPort
	// Predicted returns the time to the first token that the dispatcher predicted when it chose the
	// endpoint. It is zero without a prediction.
	Predicted() time.Duration
	// Expires returns the time by which the first byte must be sent.
	Expires() time.Time
	// AwaitConfirmed waits until the dispatcher confirms that the attempt still occupies its slot at
	// the endpoint. It reports whether that was confirmed; it was not if the slot may have been
	// given away or ctx has ended.
	AwaitConfirmed(ctx context.Context) bool
	// ReportFirstToken reports that the first token has arrived, and how long after the send.
	ReportFirstToken(first time.Duration)
	// ReportTook reports the time from sending to the complete answer, or to the first event of a stream.
	ReportTook(took time.Duration)
	// ReportBroken reports that the connection closed before the answer was complete, so that the endpoint may have
	// crashed.
	ReportBroken()
	// ReportLoad keeps the load that the endpoint reported in its latest answer, for the reports of the first token and of
	// the end. Bytes is the size of the request's body and the answer so far; took is the time from the send to a
	// complete answer, zero for a stream.
	ReportLoad(load cell.EndpointLoad, bytes int, took time.Duration)
	// ReportCost reports the cost so far, in tokens for an engine.
	ReportCost(cost cell.Cost)
	// End reports the outcome of the attempt, its cost (tokens for an engine, calls for a service)
	// and the time from the send to the first token, which is zero if none came.
	End(outcome cell.Outcome, cost cell.Cost, firstToken time.Duration)
}

// RefusedError reports that no permit will be given.
type RefusedError struct {
	Attempt    cell.AttemptID // the dispatcher's ID of the refused demand
	Code       result.Code    // the reason
	RetryAfter time.Duration  // when to try again, from now; zero if the dispatcher does not say
}

// Error returns the text of the result code.
func (e *RefusedError) Error() string {
	info, _ := result.Lookup(e.Code)
	return info.Text
}

// Counter counts the results of requests. It must be safe for concurrent use.
type Counter interface {
	// Refused counts a request refused with code.
	Refused(code result.Code)
	// Retried counts a retry or resume for reason.
	Retried(reason entry.Reason)
	// Completed counts an answered request.
	Completed(latency Latency)
	// Abandoned counts a request whose caller left before its final answer.
	Abandoned()
}

// Latency holds how long an answered request took, measured from its arrival at this router.
type Latency struct {
	Pool  cell.ID
	First time.Duration // time to the first event; zero for an answer that is not a stream
	Whole time.Duration // time to the end of the answer
}

// Route holds what the configuration says about a request.
type Route struct {
	Team           cell.TeamID
	Pool           cell.ID
	Service        bool          // the pool's endpoints are services (cost: one unit per call), not engines (cost: tokens)
	Idempotent     bool          // a request may be sent again after an attempt that may have run
	QueueTimeout   time.Duration // limits each wait for a grant; zero means 30 s
	LongestRequest time.Duration // limits each attempt; zero means 10 min

	Verbatim   bool           // forwards requests and answers as they are; a broken stream may continue at another endpoint
	Streams    bool           // answers are streams, so that the objective is about the first event
	MaxSends   int            // maximum number of endpoints that receive the request; zero for no limit
	Timeout    time.Duration  // limits the time from arrival to the final answer; zero for no limit
	Objective  time.Duration  // time from arrival within which the first event or whole answer is on time; zero for no objective
	Class      string         // groups the requests of the route, whose sizes the dispatcher compares
	Generation uint64         // generation of the configuration in which the route was found
	Header     []header.Field // added to the headers that are forwarded to the endpoint
}

// Defaults of Config and Route. cancelTimeout limits the order to an engine to stop.
const (
	defaultRetryRatio     = 0.2
	defaultRetryBurst     = 20
	startRetries          = 1 // most retries that a new router has for a pool before RetryWindow has passed
	coveredStarts         = 3 // starts of a router within RetryWindow that its part of RetryBurst covers
	defaultBackoffStart   = 20 * time.Millisecond
	defaultBackoffLimit   = time.Second
	defaultQueueTimeout   = 30 * time.Second
	defaultLongestRequest = 10 * time.Minute
	cancelTimeout         = time.Second
)

// Config configures a Runner. Zero numbers are replaced by defaults.
type Config struct {
	Endpoints    Endpoints
	Grants       Grants
	Counter      Counter            // may be nil
	Log          logrus.FieldLogger // receives a line for each decision on a request; may be nil
	RetryRatio   float64            // retries that each request adds to its pool's budget; zero means 0.2
	RetryBurst   float64            // maximum number of retries that a pool can save up; zero means 20
	MinRouters   int                // minimum number of routers among which RetryBurst is divided; zero if RetryBurst applies to each router
	RetryWindow  time.Duration      // period for which the retries of all routers are counted, restarted ones included; zero if a new router has all of its part of RetryBurst
	Keys         *keyed.Keeper      // owns the records of keys; if nil, requests with an Idempotency-Key are refused
	BackoffStart time.Duration      // pause before the first retry; zero means 20 ms
	BackoffLimit time.Duration      // limit of the pauses between retries; zero means 1 s
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	config Config

	mu      sync.Mutex                     // guards budgets, burst and fullAt
	budgets map[cell.ID]*entry.RetryBudget // retry budgets by pool
	burst   float64                        // this router's part of RetryBurst, in retries
	fullAt  time.Time                      // when budgets get the rest of their part, as no process before this one can have used it; zero if they have
}

// New returns a Runner that assumes that there is one router, until SetRouterCount is called.
func New(config Config) *Runner {
	config.RetryRatio = cmp.Or(config.RetryRatio, defaultRetryRatio)
	config.RetryBurst = cmp.Or(config.RetryBurst, defaultRetryBurst)
	config.BackoffStart = cmp.Or(config.BackoffStart, defaultBackoffStart)
	config.BackoffLimit = cmp.Or(config.BackoffLimit, defaultBackoffLimit)
	if config.Counter == nil {
		config.Counter = noopCounter{}
	}
	r := &Runner{config: config, budgets: make(map[cell.ID]*entry.RetryBudget)}
	if config.RetryWindow > 0 {
		r.fullAt = time.Now().Add(config.RetryWindow)
	}
	r.SetRouterCount(1)
	return r
}

// SetRouterCount sets the number of routers that divide the retry burst of the fleet. It also applies to the
// budgets in use. Without Config.MinRouters the burst is not divided.
func (r *Runner) SetRouterCount(routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.burst = r.config.RetryBurst
	if r.config.MinRouters > 0 {
		r.burst /= float64(max(r.config.MinRouters, routers))
	}
	for _, budget := range r.budgets {
		budget.SetBurst(r.burst)
	}
}

// noopCounter is the Counter of a Runner that was configured without one.
type noopCounter struct{}

// Refused implements Counter.
func (noopCounter) Refused(result.Code) {}

// Retried implements Counter.
func (noopCounter) Retried(entry.Reason) {}

// Completed implements Counter.
func (noopCounter) Completed(Latency) {}

// Abandoned implements Counter.
func (noopCounter) Abandoned() {}

// Serve runs one request and returns when it has its final answer. ctx ends when the caller has
// gone.
func (r *Runner) Serve(ctx context.Context, route Route, req *caller.Request, w caller.Writer) {
	route.QueueTimeout = cmp.Or(route.QueueTimeout, defaultQueueTimeout)
	route.LongestRequest = cmp.Or(route.LongestRequest, defaultLongestRequest)
	run := r.newRun(route, req, w)
	if req.IdempotencyKey == "" {
		run.loop(ctx)
		return
	}
	run.keyed(ctx)
}

// newRun prepares a request. A request with an Idempotency-Key is sent at most once, as are those
// that the route or the caller declares non-idempotent.
func (r *Runner) newRun(route Route, req *caller.Request, w caller.Writer) *run {
	nonIdempotent := !route.Idempotent || req.NonIdempotent || req.IdempotencyKey != ""
	now := time.Now()
	grantDeadline := now.Add(route.QueueTimeout)
	if !nonIdempotent {
		grantDeadline = grantDeadline.Add(route.LongestRequest) // Leaves time for another attempt after one that fails late.
	}
	deadline := earliest(req.Deadline, deadlineAfter(req.Received, route.Timeout))
	grantDeadline = earliest(grantDeadline, deadline)
	return &run{
		deadline:          deadline,
		objectiveDeadline: deadlineAfter(req.Received, route.Objective),
		runner:            r,
		route:             route,
		req:               req,
		writer:            w,
		grantDeadline:     grantDeadline,
		nonIdempotent:     nonIdempotent,
		lifecycle: entry.New(entry.Config{
			NonIdempotent: nonIdempotent,
			RetryBudget:   r.budget(route.Pool),
			Backoff:       r.backoff(),
			GrantDeadline: grantDeadline,
			MaxSends:      route.MaxSends,
			Elsewhere:     route.Verbatim,
			LastEvent:     req.LastEvent,
		}),
	}
}

// deadlineAfter returns the end of a timeout, or the zero time if timeout is zero.
func deadlineAfter(start time.Time, timeout time.Duration) time.Time {
	if timeout == 0 {
		return time.Time{}
	}
	return start.Add(timeout)
}

// earliest returns the earlier of two deadlines, where the zero time means no deadline.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// budget returns the retry budget of a pool and creates it on first use.
func (r *Runner) budget(pool cell.ID) *entry.RetryBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := min(startRetries, r.burst/coveredStarts)
	if !r.fullAt.IsZero() && !time.Now().Before(r.fullAt) {
		r.fullAt = time.Time{}
		for _, budget := range r.budgets {
			budget.Grant(r.burst - start)
		}
	}
	budget, ok := r.budgets[pool]
	if !ok {
		if r.fullAt.IsZero() {
			start = r.burst
		}
		budget = entry.NewRetryBudget(entry.RetryBudgetConfig{Ratio: r.config.RetryRatio, Burst: r.burst, Start: start})
		r.budgets[pool] = budget
	}
	return budget
}

// backoff returns the exponential backoff of one request.
func (r *Runner) backoff() entry.Backoff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = r.config.BackoffStart
	policy.MaxInterval = r.config.BackoffLimit
	return policy
}

// refusalEvent turns an error of Grants.Ask into an event. Errors other than a RefusedError or the
// end of the wait mean that no dispatcher could be asked.
func refusalEvent(err error) entry.Event {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return &entry.AskRefused{Code: refused.Code, RetryAfter: refused.RetryAfter}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &entry.AskRefused{Code: result.QueueTimeout}
	}
	return &entry.AskRefused{Code: result.NoDispatcher}
}
