package request

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"ryelug/core/cell"
	"ryelug/core/entry"
	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/io/endpoint"
	"ryelug/io/pause"
	"ryelug/router/keyed"
)

// progressEvery is the number of events after which their cost is reported.
const progressEvery = 16

// run is one request on its way.
type run struct {
	runner *Runner
	route  Route
	req    *caller.Request
	writer caller.Writer
	life   *entry.Life
	giveUp time.Time
	until  time.Time // until is when the caller or the route ends the request; zero when neither does.
	due    time.Time // due is when the first event is late; zero when it never is.
	fresh  bool

	permit     Permit
	answer     *endpoint.Answer
	event      endpoint.Event
	started    bool // started tells that the caller has the head of a stream.
	sent       bool // sent tells that bytes went to the endpoint under the permit.
	grantedAt  time.Time
	sendAt     time.Time
	firstToken time.Duration
	meter      meter
	lastError  error           // lastError is the cause of the latest failure, until it is logged.
	key        *keyed.Hold     // key is nil for a request without an Idempotency-Key.
	attempt    context.Context // attempt ends when the caller has gone or the attempt takes too long.
	endAttempt context.CancelFunc
}

// loop lets the life decide and does what it wants until the final answer.
func (r *run) loop(ctx context.Context) {
	r.endAttempt = func() {}
	defer r.abort()
	var ev entry.Event = &entry.Begin{}
	for ev != nil {
		if ctx.Err() != nil && !r.detached() {
			ev = &entry.CallerGone{Sent: r.sent}
		}
		action := r.life.Step(time.Now(), ev)
		r.decided(ev, action)
		ev = r.do(ctx, action)
	}
}

// abort ends what a panic has left open; after a final answer nothing is.
func (r *run) abort() {
	if r.permit == nil {
		return
	}
	defer r.end(cell.Failed)
	r.closeStream()
	r.stop(true)
}

// detached tells that the request goes on without its caller, who will ask for the outcome by its key.
func (r *run) detached() bool { return r.key != nil && r.sent }

// do carries out one action and returns the event that follows, or nil at the end.
func (r *run) do(ctx context.Context, action entry.Action) entry.Event {
	switch action := action.(type) {
	case *entry.Ask:
		return r.ask(ctx, action)
	case *entry.Send:
		return r.send(ctx, action)
	case *entry.Relay:
		return r.relay()
	case *entry.Skip:
		return r.next()
	case *entry.Deliver:
		r.deliver(action.End)
	case *entry.Refuse:
		r.refuse(action)
	case *entry.Abandon:
		r.abandon(action)
	}
	return nil
}

func (r *run) ask(ctx context.Context, ask *entry.Ask) entry.Event {
	if ask.Reason == entry.AnswerLate {
		r.closeStream()
		r.stop(true)
	}
	r.end(ask.End)
	r.count(ask.Reason)
	if !pause.For(ctx, ask.After) {
		return &entry.CallerGone{}
	}
	queue, cancel := context.WithDeadline(ctx, r.queueUntil(time.Now()))
	defer cancel()
	permit, err := r.runner.config.Grants.Ask(queue, r.wanted(ask.Avoid))
	if err != nil {
		r.lastError = err
		return refusedBy(err)
	}
	r.permit, r.grantedAt = permit, time.Now()
	r.sent = false
	r.meter = newMeter(r.route.Service, len(r.req.Body))
	if r.key != nil {
		ctx = context.WithoutCancel(ctx)
	}
	longest := earliest(time.Now().Add(r.route.LongestRequest), r.until)
	r.attempt, r.endAttempt = context.WithDeadline(ctx, longest)
	return &entry.Granted{}
}

func (r *run) wanted(avoid cell.EndpointID) Wanted {
	wanted := Wanted{
		Pool: r.route.Pool, Team: r.route.Team, Hint: r.req.Hint, Avoid: avoid, Class: r.route.Class, Prompt: r.req.Prompt, Due: r.due,
	}
	if r.life.MayHaveRun() {
		wanted.Due = r.until // What has begun goes on, also late.
	}
	return wanted
}

// queueUntil returns the time until which a grant is waited for.
func (r *run) queueUntil(now time.Time) time.Time {
	until := now.Add(r.route.QueueTimeout)
	if until.After(r.giveUp) {
		return r.giveUp
	}
	return until
}

func (r *run) send(ctx context.Context, send *entry.Send) entry.Event {
	r.count(send.Reason)
	r.closeStream()
	if !pause.For(ctx, send.After) {
		return &entry.CallerGone{Sent: r.sent}
	}
	if r.hasLeft() {
		return &entry.CallerGone{Sent: r.sent}
	}
	if send.LastEvent != "" && !r.route.Verbatim && !r.permit.AwaitCounted(r.attempt) {
		return &entry.Lapsed{}
	}
	call := r.call(send.LastEvent)
	if send.LastEvent == "" {
		r.sendAt = time.Now()
	}
	answer, err := r.runner.config.Endpoints.Send(r.attempt, call)
	if err != nil {
		return r.failed(call, err)
	}
	r.sent = true
	r.answer = answer
	if answer.Events != nil {
		return r.next()
	}
	if r.route.Verbatim && answer.Status >= http.StatusInternalServerError {
		return &entry.FailedAnswer{Endpoint: call.Endpoint}
	}
	return &entry.Whole{}
}

// leftAfter is the age of a request from which on its caller may have left unnoticed, since this router is late.
const leftAfter = 200 * time.Millisecond

// hasLeft tells whether the caller of a request that has waited for long has left.
func (r *run) hasLeft() bool {
	return r.req.HasLeft != nil && !r.detached() && time.Since(r.req.Received) >= leftAfter && r.req.HasLeft()
}

func (r *run) call(lastEvent string) endpoint.Call {
	id, address, start := r.permit.Endpoint()
	call := endpoint.Call{
		Endpoint:    id,
		Address:     address,
		Start:       start,
		RequestID:   r.req.ID,
		Method:      r.req.Method,
		Path:        r.req.Path,
		ContentType: r.req.ContentType,
		Body:        r.req.Body,
		LastEvent:   lastEvent,
		Fresh:       r.fresh,
	}
	if r.route.Verbatim {
		call.Header = append(r.req.Header[:len(r.req.Header):len(r.req.Header)], r.route.Header...)
		call.Deadline = r.until
		call.Fetch = r.permit.Fetch()
		call.ContentType = ""
		if lastEvent == "" {
			call.LastEvent = r.req.LastEvent
		}
	}
	if lastEvent == "" || r.route.Verbatim {
		call.Expires = r.permit.Expires() // A resumed stream goes on with what the permit has started.
	}
	return call
}

// failed turns an error of a send into an event.
func (r *run) failed(call endpoint.Call, err error) entry.Event {
	r.lastError = err
	var (
		notSent *endpoint.ErrNotSent
		start   *endpoint.ErrStartChanged
		refused *endpoint.ErrRefused
		unknown *endpoint.ErrUnknown
	)
	switch {
	case errors.As(err, &notSent):
		return &entry.NotSent{Endpoint: call.Endpoint, Expired: notSent.Expired}
	case errors.As(err, &start):
		return &entry.StartChanged{}
	case errors.As(err, &refused):
		return &entry.EndpointRefused{Endpoint: call.Endpoint, RetryAfter: refused.RetryAfter}
	}
	r.sent = true
	timeout := errors.As(err, &unknown) && unknown.Timeout
	return &entry.Broken{Endpoint: call.Endpoint, Timeout: timeout}
}

// next waits for the stream's next event.
func (r *run) next() entry.Event {
	event, err := r.answer.Events.Next()
	if errors.Is(err, io.EOF) && r.route.Verbatim {
		return &entry.StreamEnded{}
	}
	id, _, _ := r.permit.Endpoint()
	if err != nil {
		return r.failed(endpoint.Call{Endpoint: id}, err)
	}
	r.event = event
	if r.firstToken == 0 {
		r.firstToken = time.Since(r.sendAt)
		r.permit.Begun(r.firstToken)
	}
	return &entry.Streamed{Endpoint: id, ID: event.ID, Done: string(event.Data) == endpoint.Done}
}

func (r *run) relay() entry.Event {
	r.meter.event(r.event.Data)
	if r.meter.events%progressEvery == 0 {
		r.permit.Progress(r.meter.cost())
	}
	if err := r.startStream(); err != nil {
		return &entry.CallerGone{Sent: true}
	}
	if err := r.writer.Event(r.outgoing()); err != nil {
		return &entry.CallerGone{Sent: true}
	}
	return r.next()
}

// startStream passes the head of the first endpoint on; a stream that goes on elsewhere keeps it.
func (r *run) startStream() error {
	if !r.route.Verbatim || r.started {
		return nil
	}
	r.started = true
	return r.writer.Start(r.outgoingAnswer())
}

func (r *run) outgoingAnswer() caller.Answer {
	return caller.Answer{
		Status:      r.answer.Status,
		ContentType: r.answer.ContentType,
		Header:      r.answer.Header,
		Body:        r.answer.Body,
	}
}

func (r *run) outgoing() caller.Event {
	return caller.Event{ID: r.event.ID, Name: r.event.Name, Data: r.event.Data, Raw: r.event.Raw}
}

// deliver hands over a whole answer, or the last event of a stream. The permit ends
// first, since the endpoint is done and a slow caller must not hold its place.
func (r *run) deliver(end cell.Outcome) {
	answer := r.answer
	latency := r.latency()
	r.meter.whole(answer.Body)
	if answer.Events != nil {
		answer.Events.Close() // The end of the attempt would close a connection that is still in use.
	}
	r.end(cmp.Or(end, cell.Completed))
	if answer.Events != nil {
		r.key.Streamed(answer.Status)
		if r.route.Verbatim {
			_ = r.startStream()
		} else {
			_ = r.writer.Event(r.outgoing()) // A caller that has gone needs no last event.
		}
		_ = r.writer.Close()
		r.closeStream()
	} else {
		r.key.Answered(answer.Status, answer.ContentType, answer.Body)
		_ = r.writer.Whole(r.outgoingAnswer())
	}
	r.runner.config.Counter.Completed(latency)
}

// latency returns the times of a request that ends now.
func (r *run) latency() Latency {
	latency := Latency{Pool: r.route.Pool, Whole: time.Since(r.req.Received)}
	if r.firstToken > 0 {
		latency.First = r.sendAt.Add(r.firstToken).Sub(r.req.Received)
	}
	return latency
}

func (r *run) refuse(refuse *entry.Refuse) {
	r.closeStream()
	r.key.Unanswered(refuse.NotRun)
	_ = r.writer.Refuse(caller.Refusal{
		Code:       refuse.Code,
		NotRun:     refuse.NotRun,
		RetryAfter: refuse.RetryAfter,
	})
	r.stop(refuse.End == cell.Failed)
	r.end(refuse.End)
	r.runner.config.Counter.Refused(refuse.Code)
}

// abandon stops the endpoint's work for a caller that has gone and settles its cost.
func (r *run) abandon(abandon *entry.Abandon) {
	r.closeStream()
	r.key.Unanswered(!r.life.MayHaveRun())
	r.stop(abandon.End == cell.Cancelled)
	r.end(abandon.End)
	_ = r.writer.Refuse(caller.Refusal{Code: result.OutcomeUnknown}) // Nobody reads it, as a rule.
	r.runner.config.Counter.Abandoned()
}

// stop tells the endpoint by an order of its own, since the end of a silent connection does not reach it.
func (r *run) stop(wanted bool) {
	if !wanted || r.route.Service || r.route.Verbatim || r.permit == nil {
		return
	}
	_, address, _ := r.permit.Endpoint()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.attempt), cancelTimeout)
	defer cancel()
	_ = r.runner.config.Endpoints.Cancel(ctx, address, r.req.ID) // An endpoint that can't be told stops at its own limit.
}

// end settles the permit at hand, if there is one.
func (r *run) end(outcome cell.Outcome) {
	if r.permit == nil {
		return
	}
	cost := cell.Cost(0)
	if outcome == cell.Completed || outcome == cell.Failed || outcome == cell.Cancelled {
		cost = r.meter.cost()
	}
	r.endAttempt()
	permit := r.permit
	r.permit = nil
	permit.End(outcome, cost, r.firstToken)
	r.firstToken = 0
}

func (r *run) closeStream() {
	if r.answer != nil && r.answer.Events != nil {
		r.answer.Events.Close()
	}
	r.answer = nil
}

func (r *run) count(reason entry.Reason) {
	if reason != entry.NoReason {
		r.runner.config.Counter.Retried(reason)
	}
}
