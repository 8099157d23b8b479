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

// Endpoints sends calls to endpoints.
type Endpoints interface {
	// Send sends the call once; its errors tell whether anything was sent.
	Send(ctx context.Context, call endpoint.Call) (*endpoint.Answer, error)
	// Cancel tells the endpoint that nobody waits for a request any more.
	Cancel(ctx context.Context, address netip.AddrPort, requestID string) error
}

// Grants gives permits to send.
type Grants interface {
	// Ask waits for a permit; a RefusedError says that none comes. When ctx ends, the demand is withdrawn.
	Ask(ctx context.Context, wanted Wanted) (Permit, error)
}

// Wanted is what a permit is asked for.
type Wanted struct {
	Pool   cell.ID
	Team   cell.TeamID
	Hint   cell.Cost // Hint is the caller's estimate of the cost; zero when there is none.
	Avoid  cell.EndpointID
	Class  string // Class names requests of one kind.
	Prompt cell.Prompt
	Due    time.Time // Due is when the first token is late; zero when it never is.
}

// Permit is one grant at hand; End must be called once.
type Permit interface {
	// Attempt returns the number under which the dispatcher knows the attempt.
	Attempt() cell.AttemptID
	// Endpoint returns the endpoint, its address and the start that the permit holds for.
	Endpoint() (cell.EndpointID, netip.AddrPort, cell.StartID)
	// Fetch returns where an engine listens that keeps shared parts of the prompt; it is invalid for none.
	Fetch() netip.AddrPort
	// Predicted returns the time to the first token that the endpoint was chosen for; zero where nothing is predicted.
	Predicted() time.Duration
	// Expires returns the time by which the first byte must be sent.
	Expires() time.Time
	// AwaitCounted waits until the attempt is known to hold its place still, and tells whether it does.
	AwaitCounted(ctx context.Context) bool
	// Begun reports the first token, so much after the send.
	Begun(first time.Duration)
	// Progress reports the cost so far.
	Progress(cost cell.Cost)
	// End reports how the attempt ended and what it cost.
	End(outcome cell.Outcome, cost cell.Cost, firstToken time.Duration)
}

// RefusedError tells that no permit comes.
type RefusedError struct {
	Attempt    cell.AttemptID // Attempt is the number under which the dispatcher knows the demand.
	Code       result.Code
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	info, _ := result.Lookup(e.Code)
	return info.Text
}

// Counter counts what happens to requests.
type Counter interface {
	Refused(code result.Code)
	Retried(reason entry.Reason)
	Completed(latency Latency)
	Abandoned()
}

// Latency is how long a request took that was answered, from its arrival here.
type Latency struct {
	Pool  cell.ID
	First time.Duration // First is the time to the first event; zero for an answer that is no stream.
	Whole time.Duration
}

// Route is what the configuration says of one request.
type Route struct {
	Team           cell.TeamID
	Pool           cell.ID
	Service        bool // Service pools cost one unit a call; engines cost tokens.
	Idempotent     bool
	QueueTimeout   time.Duration // QueueTimeout bounds each wait for a grant.
	LongestRequest time.Duration // LongestRequest bounds an attempt.

	Verbatim   bool           // Verbatim passes answers on as the endpoint wrote them.
	Streams    bool           // Streams tells that answers are streams whose first event counts.
	MaxSends   int            // MaxSends bounds the endpoints that get the request; zero is no bound.
	Timeout    time.Duration  // Timeout bounds the time to the final answer, from the arrival of the request; zero is no bound.
	Objective  time.Duration  // Objective is the time from the arrival in which the first event, or the whole answer, is on time.
	Class      string         // Class names the requests of the route, whose sizes are compared.
	Generation uint64         // Generation is that of the configuration in which the route was found.
	Header     []header.Field // Header is added to what passes on to the endpoint.
}

// Defaults of a Config.
const (
	defaultRetryRatio   = 0.2
	defaultRetryBurst   = 20
	defaultBackoffStart = 20 * time.Millisecond
	defaultBackoffLimit = time.Second
	defaultQueueTimeout = 30 * time.Second
	defaultLongest      = 10 * time.Minute
	cancelTimeout       = time.Second
)

// Config sets up a Runner; zero numbers take defaults.
type Config struct {
	Endpoints    Endpoints
	Grants       Grants
	Counter      Counter            // Counter may be nil.
	Log          logrus.FieldLogger // Log gets a line for each decision on a request; it may be nil.
	RetryRatio   float64            // RetryRatio is the number of retries that each request of a pool earns.
	RetryBurst   float64            // RetryBurst bounds the retries saved up for a pool.
	LeastShares  int                // LeastShares is the least number of routers that RetryBurst is shared among; zero if it is this router's own.
	Keys         *keyed.Keeper      // Keys may be nil; then requests with an Idempotency-Key are refused.
	BackoffStart time.Duration
	BackoffLimit time.Duration
}

// Runner runs requests; it may be used by many goroutines.
type Runner struct {
	config Config

	mu      sync.Mutex
	budgets map[cell.ID]*entry.Budget
	burst   float64 // burst is this router's part of the retries saved up for a pool.
}

// New returns a Runner.
func New(config Config) *Runner {
	config.RetryRatio = cmp.Or(config.RetryRatio, defaultRetryRatio)
	config.RetryBurst = cmp.Or(config.RetryBurst, defaultRetryBurst)
	config.BackoffStart = cmp.Or(config.BackoffStart, defaultBackoffStart)
	config.BackoffLimit = cmp.Or(config.BackoffLimit, defaultBackoffLimit)
	if config.Counter == nil {
		config.Counter = uncounted{}
	}
	r := &Runner{config: config, budgets: make(map[cell.ID]*entry.Budget)}
	r.Share(1)
	return r
}

// Share notes among how many routers the retries of the fleet are shared.
func (r *Runner) Share(routers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.burst = r.config.RetryBurst
	if r.config.LeastShares > 0 {
		r.burst /= float64(max(r.config.LeastShares, routers))
	}
	for _, budget := range r.budgets {
		budget.SetBurst(r.burst)
	}
}

// uncounted is the Counter of a Runner without one.
type uncounted struct{}

// Refused implements Counter.
func (uncounted) Refused(result.Code) {}

// Retried implements Counter.
func (uncounted) Retried(entry.Reason) {}

// Completed implements Counter.
func (uncounted) Completed(Latency) {}

// Abandoned implements Counter.
func (uncounted) Abandoned() {}

// Serve runs one request to its final answer; ctx ends when the caller has gone.
func (r *Runner) Serve(ctx context.Context, route Route, req *caller.Request, w caller.Writer) {
	route.QueueTimeout = cmp.Or(route.QueueTimeout, defaultQueueTimeout)
	route.LongestRequest = cmp.Or(route.LongestRequest, defaultLongest)
	run := r.newRun(route, req, w)
	if req.IdempotencyKey == "" {
		run.loop(ctx)
		return
	}
	run.keyed(ctx)
}

func (r *Runner) newRun(route Route, req *caller.Request, w caller.Writer) *run {
	nonIdempotent := !route.Idempotent || req.NonIdempotent || req.IdempotencyKey != ""
	now := time.Now()
	giveUp := now.Add(route.QueueTimeout)
	if !nonIdempotent {
		giveUp = giveUp.Add(route.LongestRequest) // An attempt that fails late leaves time for another.
	}
	until := earliest(req.Deadline, withTimeout(req.Received, route.Timeout))
	giveUp = earliest(giveUp, until)
	return &run{
		until:  until,
		due:    withTimeout(req.Received, route.Objective),
		runner: r,
		route:  route,
		req:    req,
		writer: w,
		giveUp: giveUp,
		fresh:  nonIdempotent,
		life: entry.New(entry.Config{
			NonIdempotent: nonIdempotent,
			Budget:        r.budget(route.Pool),
			Backoff:       r.backoff(),
			GiveUp:        giveUp,
			MaxSends:      route.MaxSends,
			Elsewhere:     route.Verbatim,
			LastEvent:     req.LastEvent,
		}),
	}
}

// withTimeout returns the time after a timeout; zero if there is none.
func withTimeout(since time.Time, timeout time.Duration) time.Time {
	if timeout == 0 {
		return time.Time{}
	}
	return since.Add(timeout)
}

// earliest returns the earlier of two times, of which a zero one is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func (r *Runner) budget(pool cell.ID) *entry.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget, ok := r.budgets[pool]
	if !ok {
		budget = entry.NewBudget(entry.BudgetConfig{Ratio: r.config.RetryRatio, Burst: r.burst})
		r.budgets[pool] = budget
	}
	return budget
}

func (r *Runner) backoff() entry.Backoff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = r.config.BackoffStart
	pauses.MaxInterval = r.config.BackoffLimit
	return pauses
}

// refusedBy turns an error of Grants into an event.
func refusedBy(err error) entry.Event {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return &entry.AskRefused{Code: refused.Code, RetryAfter: refused.RetryAfter}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &entry.AskRefused{Code: result.QueueTimeout}
	}
	return &entry.AskRefused{Code: result.NoDispatcher}
}
