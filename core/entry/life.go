package entry

import (
	"cmp"
	"strconv"
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
)

// Defaults of a Config.
const (
	defaultMaxAttempts = 4
	defaultMaxReasks   = 8
	defaultMaxResumes  = 6
	defaultRetryAfter  = time.Second
)

// Backoff gives the pause before each retry; it is the library's type for that.
type Backoff interface {
	NextBackOff() time.Duration
	Reset()
}

// Config sets up a Life; zero numbers take defaults.
type Config struct {
	NonIdempotent bool      // NonIdempotent allows one send, and none after its first byte.
	Budget        *Budget   // Budget is shared by the requests of a pool.
	Backoff       Backoff   // Backoff is this request's own.
	GiveUp        time.Time // GiveUp is the time after which no grant is asked for; zero is never.
	MaxAttempts   int       // MaxAttempts bounds the attempts that draw on the budget, the first included.
	MaxReasks     int       // MaxReasks bounds the grants that could not be used through nobody's failure.
	MaxSends      int       // MaxSends bounds the endpoints that get any byte of the request; zero is no bound but MaxAttempts.
	Elsewhere     bool      // Elsewhere lets a stream that broke off go on at another endpoint, under a new grant.
	LastEvent     string    // LastEvent is the event after which the caller itself wants the stream to go on.
	MaxResumes    int       // MaxResumes bounds the resumes of a stream between two events.
}

// Life is the life of one request.
type Life struct {
	config Config

	attempts   int
	sends      int // sends counts the endpoints that got a byte of the request.
	reasks     int
	resumes    int
	granted    bool // granted tells that a grant is at hand.
	mayHaveRun bool // mayHaveRun tells that an attempt got bytes to an endpoint that did not refuse them.
	relayed    bool // relayed tells that the caller has a part of the stream.
	lastEvent  string
	ended      bool
}

// New returns a Life that waits for Begin.
func New(config Config) *Life {
	config.MaxAttempts = cmp.Or(config.MaxAttempts, defaultMaxAttempts)
	config.MaxReasks = cmp.Or(config.MaxReasks, defaultMaxReasks)
	config.MaxResumes = cmp.Or(config.MaxResumes, defaultMaxResumes)
	return &Life{config: config, lastEvent: config.LastEvent}
}

// MayHaveRun tells whether an endpoint may have run the request.
func (l *Life) MayHaveRun() bool { return l.mayHaveRun }

// Step takes the next event and returns what is to be done; now is the local time.
func (l *Life) Step(now time.Time, ev Event) Action {
	if l.ended {
		return &Abandon{}
	}
	switch ev := ev.(type) {
	case *Begin:
		l.config.Budget.Earn()
		l.attempts = 1
		return &Ask{}
	case *Granted:
		l.granted = true
		if l.relayed {
			return &Send{LastEvent: l.lastEvent}
		}
		return &Send{}
	case *AskRefused:
		return l.refuse(0, ev.Code, ev.RetryAfter)
	case *NotSent:
		return l.notSent(now, ev)
	case *StartChanged:
		return l.startChanged(now)
	case *Lapsed:
		return l.refuse(cell.Failed, result.StreamBroken, 0)
	case *EndpointRefused:
		return l.endpointRefused(now, ev)
	case *Broken:
		return l.broken(now, ev)
	case *FailedAnswer:
		return l.failedAnswer(now, ev)
	case *StreamEnded:
		return l.streamEnded()
	case *Whole:
		return l.whole()
	case *Streamed:
		return l.streamed(now, ev)
	case *CallerGone:
		return l.callerGone(ev)
	}
	return l.refuse(cell.Failed, result.InternalFailure, 0)
}

func (l *Life) notSent(now time.Time, ev *NotSent) Action {
	if l.relayed && !l.config.Elsewhere {
		return l.resume()
	}
	if ev.Expired {
		return l.askAgain(now, cell.Unused, GrantExpired)
	}
	return l.retry(now, &Ask{End: cell.Unreached, Avoid: ev.Endpoint, Reason: EndpointUnreachable}, result.EndpointUnreachable, 0)
}

func (l *Life) startChanged(now time.Time) Action {
	if l.relayed && !l.config.Elsewhere {
		return l.refuse(cell.StartChanged, result.StreamBroken, 0)
	}
	return l.askAgain(now, cell.StartChanged, EndpointRestarted)
}

func (l *Life) endpointRefused(now time.Time, ev *EndpointRefused) Action {
	if l.relayed && !l.config.Elsewhere {
		return l.resume()
	}
	l.sends++
	if l.config.NonIdempotent && l.config.MaxSends == 0 { // Without a bound of its own it stays with the first endpoint.
		return l.refuse(cell.Refused, result.EndpointRefused, ev.RetryAfter)
	}
	return l.retry(now, &Ask{End: cell.Refused, Avoid: ev.Endpoint, Reason: EndpointBusy}, result.EndpointRefused, ev.RetryAfter)
}

func (l *Life) broken(now time.Time, ev *Broken) Action {
	l.mayHaveRun = true
	l.sends++
	if l.relayed && !l.config.Elsewhere {
		return l.resume()
	}
	code, reason := result.OutcomeUnknown, AnswerMissing
	if ev.Timeout {
		code, reason = result.AnswerTimeout, AnswerLate
	}
	if l.relayed {
		code, reason = result.StreamBroken, StreamResumed
	}
	if l.config.NonIdempotent {
		return l.refuse(cell.Failed, code, 0)
	}
	if !l.config.Elsewhere {
		code = result.RetryBudgetSpent
	}
	return l.retry(now, &Ask{End: cell.Failed, Avoid: ev.Endpoint, Reason: reason}, code, 0)
}

// failedAnswer tries another endpoint, or passes the answer on.
func (l *Life) failedAnswer(now time.Time, ev *FailedAnswer) Action {
	l.mayHaveRun = true
	l.sends++
	if l.relayed {
		return l.retry(now, &Ask{End: cell.Failed, Avoid: ev.Endpoint, Reason: StreamResumed}, result.StreamBroken, 0)
	}
	ask := &Ask{End: cell.Failed, Avoid: ev.Endpoint, Reason: EndpointFailed}
	if l.config.NonIdempotent || !l.mayRetry(now, ask) {
		l.ended = true
		return &Deliver{End: cell.Failed}
	}
	return ask
}

// streamEnded delivers what was relayed; an endpoint may also end a stream without any event.
func (l *Life) streamEnded() Action {
	l.mayHaveRun = true
	l.ended = true
	return &Deliver{}
}

func (l *Life) whole() Action {
	if l.relayed {
		return l.refuse(cell.Failed, result.StreamBroken, 0)
	}
	l.mayHaveRun = true
	l.ended = true
	return &Deliver{}
}

// streamed relays each event once and in order, where the events' ids are numbers.
func (l *Life) streamed(now time.Time, ev *Streamed) Action {
	l.mayHaveRun = true
	switch order(l.lastEvent, ev) {
	case duplicate:
		return &Skip{}
	case gap:
		return l.broken(now, &Broken{Endpoint: ev.Endpoint})
	}
	if ev.ID != "" {
		l.lastEvent = ev.ID
	}
	l.relayed = true
	l.resumes = 0
	if ev.Done {
		l.ended = true
		return &Deliver{}
	}
	return &Relay{}
}

// resume goes on with the same generation at the same endpoint, under the grant at hand.
func (l *Life) resume() Action {
	if l.config.NonIdempotent || l.lastEvent == "" || l.resumes >= l.config.MaxResumes {
		return l.refuse(cell.Failed, result.StreamBroken, 0)
	}
	if l.resumes == 0 {
		l.config.Backoff.Reset()
	}
	l.resumes++
	return &Send{LastEvent: l.lastEvent, After: l.config.Backoff.NextBackOff(), Reason: StreamResumed}
}

// askAgain asks for another grant when nobody has failed.
func (l *Life) askAgain(now time.Time, end cell.Outcome, reason Reason) Action {
	l.granted = false
	l.reasks++
	if l.reasks > l.config.MaxReasks || l.late(now, 0) {
		return l.refuse(end, result.QueueTimeout, 0)
	}
	return &Ask{End: end, Reason: reason}
}

// retry asks for another grant after a failure, if attempts, time and budget are left.
func (l *Life) retry(now time.Time, ask *Ask, code result.Code, retryAfter time.Duration) Action {
	if !l.mayRetry(now, ask) {
		return l.refuse(ask.End, code, retryAfter)
	}
	return ask
}

// mayRetry counts another attempt, if attempts, sends, time and budget are left.
func (l *Life) mayRetry(now time.Time, ask *Ask) bool {
	ask.After = l.config.Backoff.NextBackOff()
	isOut := l.attempts >= l.config.MaxAttempts || l.config.MaxSends > 0 && l.sends >= l.config.MaxSends
	if isOut || l.late(now, ask.After) || !l.config.Budget.Spend() {
		return false
	}
	l.attempts++
	l.granted = false
	return true
}

func (l *Life) late(now time.Time, pause time.Duration) bool {
	return !l.config.GiveUp.IsZero() && !now.Add(pause).Before(l.config.GiveUp)
}

func (l *Life) callerGone(ev *CallerGone) Action {
	l.ended = true
	l.mayHaveRun = l.mayHaveRun || ev.Sent
	switch {
	case !l.granted:
		return &Abandon{}
	case ev.Sent:
		return &Abandon{End: cell.Cancelled}
	}
	return &Abandon{End: cell.Unused}
}

// refuse gives the final answer; its promise that nothing ran and its code agree with all attempts.
func (l *Life) refuse(end cell.Outcome, code result.Code, retryAfter time.Duration) Action {
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

// sequence says how an event's id follows the one before.
type sequence int

const (
	next sequence = iota
	duplicate
	gap
)

// order compares ids that are numbers; it can't tell about others and takes them as they come.
func order(last string, ev *Streamed) sequence {
	number, err := strconv.ParseUint(ev.ID, 10, 64)
	if err != nil {
		return next
	}
	if last == "" {
		return following(number, 0)
	}
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil || (ev.Done && number == before) {
		return next
	}
	if number <= before {
		return duplicate
	}
	return following(number, before)
}

func following(number, before uint64) sequence {
	if number > before+1 {
		return gap
	}
	return next
}
