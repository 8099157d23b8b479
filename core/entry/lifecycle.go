package entry

import (
	"cmp"
	"strconv"
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
)

// Defaults for zero values in Config.
const (
	defaultMaxAttempts = 4
	defaultMaxReasks   = 8
	defaultMaxResumes  = 6
	defaultRetryAfter  = time.Second
)

// Backoff returns the pause before each retry. Its methods are those of the backoff library.
type Backoff interface {
	NextBackOff() time.Duration
	Reset()
}

// Config configures a Lifecycle. Zero values of MaxAttempts, MaxUnusedGrants and MaxResumes are replaced by defaults.
type Config struct {
	NonIdempotent   bool         // Whether the request must not be sent again once an endpoint may have run it. Without MaxSends, a refusal by an endpoint is final too.
	RetryBudget     *RetryBudget // Retry budget, shared by all requests of a pool at this router.
	Backoff         Backoff      // Used by this request alone.
	GrantDeadline   time.Time    // Deadline from which on no grant is requested; zero means no deadline.
	MaxAttempts     int          // Maximum number of attempts, counting the first one and each retry that draws on the budget.
	MaxUnusedGrants int          // Maximum number of grants that may be lost because they expired or the endpoint had restarted or is closed, none of which counts as a failure.
	MaxSends        int          // Maximum number of attempts in which an endpoint received any byte of the request; zero leaves only MaxAttempts.
	Elsewhere       bool         // Whether a broken stream continues at another endpoint under a new grant, rather than at the same one.
	LastEvent       string       // ID of the last event that the caller already has, as given in its request; empty if none.
	MaxResumes      int          // Maximum number of consecutive resumes of a stream without a new event.
}

// Lifecycle is the state machine of one request. It is not safe for concurrent use.
type Lifecycle struct {
	config Config

	attempts     int
	sends        int // attempts in which an endpoint received any byte of the request
	unusedGrants int
	resumes      int
	hasGrant     bool // whether a grant has arrived and has not ended
	mayHaveRun   bool // whether an endpoint that did not refuse the request has received any of its bytes
	hasRelayed   bool // whether the caller has received an event of the stream
	lastEvent    string
	obstacle     Obstacle
	ended        bool
}

// New returns a Lifecycle that expects Begin.
func New(config Config) *Lifecycle {
	config.MaxAttempts = cmp.Or(config.MaxAttempts, defaultMaxAttempts)
	config.MaxUnusedGrants = cmp.Or(config.MaxUnusedGrants, defaultMaxReasks)
	config.MaxResumes = cmp.Or(config.MaxResumes, defaultMaxResumes)
	return &Lifecycle{config: config, lastEvent: config.LastEvent}
}

// MayHaveRun reports whether an endpoint may have run the request.
func (l *Lifecycle) MayHaveRun() bool { return l.mayHaveRun }

// Sends returns the number of attempts so far in which an endpoint received any byte of the request.
func (l *Lifecycle) Sends() int { return l.sends }

// Obstacle returns why the latest failure was not followed by a retry, or NoObstacle if it was.
func (l *Lifecycle) Obstacle() Obstacle { return l.obstacle }

// Step processes the next event and returns the action to take; now is the local time. After the end of the
// request it returns Abandon for every event.
func (l *Lifecycle) Step(now time.Time, ev Event) Action {
	if l.ended {
		return &Abandon{}
	}
	switch ev := ev.(type) {
	case *Begin:
		l.config.RetryBudget.Deposit()
		l.attempts = 1
		return &Ask{}
	case *Granted:
		l.hasGrant = true
		if l.hasRelayed {
			return &Send{LastEvent: l.lastEvent}
		}
		return &Send{}
	case *AskRefused:
		return l.refuse(0, ev.Code, ev.RetryAfter)
	case *NotSent:
		return l.processNotSent(now, ev)
	case *StartChanged:
		return l.processStartChanged(now, ev)
	case *NotOpen:
		// The dispatcher may not know yet; to it the endpoint counts as unreached, so that it grants others first.
		return l.askAgain(now, &Ask{End: cell.Unreached, Avoid: ev.Endpoint, Reason: EndpointClosed})
	case *Lapsed:
		return l.refuse(cell.Failed, result.StreamBroken, 0)
	case *EndpointRefused:
		return l.processEndpointRefused(now, ev)
	case *Broken:
		return l.processBroken(now, ev)
	case *FailedAnswer:
		return l.processFailedAnswer(now, ev)
	case *StreamEnded:
		return l.processStreamEnded()
	case *Whole:
		return l.processWhole()
	case *Streamed:
		return l.processStreamed(now, ev)
	case *CallerGone:
		return l.processCallerGone(ev)
	}
	return l.refuse(cell.Failed, result.InternalFailure, 0)
}

func (l *Lifecycle) processNotSent(now time.Time, ev *NotSent) Action {
	if l.hasRelayed && !l.config.Elsewhere {
		return l.resume()
	}
	if ev.Expired {
		return l.askAgain(now, &Ask{End: cell.Unused, Reason: GrantExpired})
	}
	return l.retry(now, &Ask{End: cell.Unreached, Avoid: ev.Endpoint, Reason: EndpointUnreachable}, result.EndpointUnreachable, 0)
}

// processStartChanged asks for another grant. Where the endpoint was sent the request, this counts as a retry.
func (l *Lifecycle) processStartChanged(now time.Time, ev *StartChanged) Action {
	if !ev.Answered || l.hasRelayed && !l.config.Elsewhere {
		return l.askAgain(now, &Ask{End: cell.StartChanged, Reason: EndpointRestarted})
	}
	return l.retry(now, &Ask{End: cell.StartChanged, Avoid: ev.Endpoint, Reason: EndpointRestarted}, result.EndpointUnreachable, 0)
}

func (l *Lifecycle) processEndpointRefused(now time.Time, ev *EndpointRefused) Action {
	if l.hasRelayed && !l.config.Elsewhere {
		return l.resume()
	}
	l.sends++
	if l.config.NonIdempotent && l.config.MaxSends == 0 { // Without MaxSends, a refusal by the first endpoint is final.
		return l.refuse(cell.Refused, result.EndpointRefused, ev.RetryAfter)
	}
	return l.retry(now, &Ask{End: cell.Refused, Avoid: ev.Endpoint, Reason: EndpointBusy}, result.EndpointRefused, ev.RetryAfter)
}

func (l *Lifecycle) processBroken(now time.Time, ev *Broken) Action {
	l.mayHaveRun = true
	l.sends++
	if l.hasRelayed && !l.config.Elsewhere {
		return l.resume()
	}
	code, reason := result.OutcomeUnknown, AnswerMissing
	if ev.Timeout {
		code, reason = result.AnswerTimeout, AnswerLate
	}
	if l.hasRelayed {
		code, reason = result.StreamBroken, StreamResumed
	}
	if l.config.NonIdempotent {
		l.obstacle = NotIdempotent
		return l.refuse(cell.Failed, code, 0)
	}
	if !l.config.Elsewhere {
		code = result.RetryBudgetSpent
	}
	return l.retry(now, &Ask{End: cell.Failed, Avoid: ev.Endpoint, Reason: reason}, code, 0)
}

// processFailedAnswer retries at another endpoint, or forwards the failed answer if no retry is left.
func (l *Lifecycle) processFailedAnswer(now time.Time, ev *FailedAnswer) Action {
	l.mayHaveRun = true
	l.sends++
	if l.hasRelayed {
		return l.retry(now, &Ask{End: cell.Failed, Avoid: ev.Endpoint, Reason: StreamResumed}, result.StreamBroken, 0)
	}
	ask := &Ask{End: cell.Failed, Avoid: ev.Endpoint, Reason: EndpointFailed}
	if l.config.NonIdempotent {
		l.obstacle = NotIdempotent
	}
	if l.config.NonIdempotent || !l.mayRetry(now, ask) {
		l.ended = true
		return &Deliver{End: cell.Failed}
	}
	return ask
}

// processStreamEnded ends the answer after the events forwarded so far; there may be none.
func (l *Lifecycle) processStreamEnded() Action {
	l.mayHaveRun = true
	l.ended = true
	return &Deliver{}
}

func (l *Lifecycle) processWhole() Action {
	if l.hasRelayed {
		return l.refuse(cell.Failed, result.StreamBroken, 0)
	}
	l.mayHaveRun = true
	l.ended = true
	return &Deliver{}
}

// processStreamed forwards each event once and in order, if the event IDs are numbers.
func (l *Lifecycle) processStreamed(now time.Time, ev *Streamed) Action {
	l.mayHaveRun = true
	switch classifyEvent(l.lastEvent, ev) {
	case duplicate:
		return &Skip{}
	case gap:
		return l.processBroken(now, &Broken{Endpoint: ev.Endpoint})
	}
	if ev.ID != "" {
		l.lastEvent = ev.ID
	}
	l.hasRelayed = true
	l.resumes = 0
	if ev.Done {
		l.ended = true
		return &Deliver{}
	}
	return &Relay{}
}

// resume continues the stream at the same endpoint under the current grant, unless the request is non-idempotent,
// the last event had no ID or MaxResumes is reached.
func (l *Lifecycle) resume() Action {
	if l.config.NonIdempotent || l.lastEvent == "" || l.resumes >= l.config.MaxResumes {
		return l.refuse(cell.Failed, result.StreamBroken, 0)
	}
	if l.resumes == 0 {
		l.config.Backoff.Reset()
	}
	l.resumes++
	return &Send{LastEvent: l.lastEvent, After: l.config.Backoff.NextBackOff(), Reason: StreamResumed}
}

// askAgain requests another grant after one that was not used, unless the stream can only go on under that one. This counts
// against MaxUnusedGrants, not as a retry.
func (l *Lifecycle) askAgain(now time.Time, ask *Ask) Action {
	if l.hasRelayed && !l.config.Elsewhere {
		return l.refuse(ask.End, result.StreamBroken, 0)
	}
	l.hasGrant = false
	l.unusedGrants++
	if l.unusedGrants > l.config.MaxUnusedGrants || l.isPastGrantDeadline(now, 0) {
		return l.refuse(ask.End, result.QueueTimeout, 0)
	}
	return ask
}

// retry requests another grant after a failure, or refuses the request with the given code if no retry is left.
func (l *Lifecycle) retry(now time.Time, ask *Ask, code result.Code, retryAfter time.Duration) Action {
	if !l.mayRetry(now, ask) {
		return l.refuse(ask.End, code, retryAfter)
	}
	return ask
}

// mayRetry reports whether attempts, sends, time and budget allow a retry. If so, it counts the retry.
func (l *Lifecycle) mayRetry(now time.Time, ask *Ask) bool {
	ask.After = l.config.Backoff.NextBackOff()
	l.obstacle = l.obstacleToRetry(now, ask.After)
	if l.obstacle != NoObstacle {
		return false
	}
	l.attempts++
	l.hasGrant = false
	return true
}

// obstacleToRetry returns what prevents a retry after the pause. If nothing does, it withdraws the retry from the budget.
func (l *Lifecycle) obstacleToRetry(now time.Time, pause time.Duration) Obstacle {
	switch {
	case l.config.MaxSends > 0 && l.sends >= l.config.MaxSends:
		return SendsUsed
	case l.attempts >= l.config.MaxAttempts:
		return AttemptsUsed
	case l.isPastGrantDeadline(now, pause):
		return NoTimeLeft
	case !l.config.RetryBudget.Withdraw():
		return RetryBudgetEmpty
	}
	return NoObstacle
}

// isPastGrantDeadline reports whether GrantDeadline will have passed after the pause.
func (l *Lifecycle) isPastGrantDeadline(now time.Time, pause time.Duration) bool {
	return !l.config.GrantDeadline.IsZero() && !now.Add(pause).Before(l.config.GrantDeadline)
}

func (l *Lifecycle) processCallerGone(ev *CallerGone) Action {
	l.ended = true
	l.mayHaveRun = l.mayHaveRun || ev.Sent
	switch {
	case !l.hasGrant:
		return &Abandon{}
	case ev.Sent:
		return &Abandon{End: cell.Cancelled}
	}
	return &Abandon{End: cell.Unused}
}

// refuse ends the request with an answer made by the router. If an earlier attempt may have run, a code that promises
// that nothing ran is replaced by RetryBudgetSpent, so that code and NotRun agree with all attempts.
func (l *Lifecycle) refuse(end cell.Outcome, code result.Code, retryAfter time.Duration) Action {
	l.ended = true
	info, _ := result.Lookup(code)
	if l.mayHaveRun && info.NotRun {
		code = result.RetryBudgetSpent
	}
	if retryAfter == 0 {
		retryAfter = defaultRetryAfter
	}
	return &Refuse{End: end, Code: code, NotRun: !l.mayHaveRun, RetryAfter: retryAfter}
}

// eventOrder is the position of an event relative to the one before it.
type eventOrder int

const (
	next      eventOrder = iota // the event to forward
	duplicate                   // an event that the caller already has
	gap                         // events before this one are missing
)

// classifyEvent compares numeric event IDs. An event with any other ID counts as the next one.
func classifyEvent(last string, ev *Streamed) eventOrder {
	id, err := strconv.ParseUint(ev.ID, 10, 64)
	if err != nil {
		return next
	}
	if last == "" {
		return nextOrGap(id, 0)
	}
	lastID, err := strconv.ParseUint(last, 10, 64)
	if err != nil || (ev.Done && id == lastID) {
		return next
	}
	if id <= lastID {
		return duplicate
	}
	return nextOrGap(id, lastID)
}

// nextOrGap classifies an ID that is higher than the last one.
func nextOrGap(id, lastID uint64) eventOrder {
	if id > lastID+1 {
		return gap
	}
	return next
}
