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

// eventsPerReport is the number of relayed events after which the cost of an attempt is reported
// again.
const eventsPerReport = 16

// run is the state of one request from its arrival to its final answer. Only the goroutine that
// serves the request uses it.
type run struct {
	runner            *Runner
	route             Route
	req               *caller.Request
	writer            caller.Writer
	lifecycle         *entry.Lifecycle // decides the next action
	grantDeadline     time.Time        // time after which no grant is asked for
	deadline          time.Time        // end of the request by the caller's or the route's time limit; zero if neither sets one
	objectiveDeadline time.Time        // time after which the first event misses the route's objective; zero without an objective
	nonIdempotent     bool             // send at most once, on a connection that is new or was used a short time ago

	permit           Permit             // the grant held now; nil if none is held
	answer           *endpoint.Answer   // the endpoint's latest answer; nil if none is open
	event            endpoint.Event     // the latest event of the stream
	headSent         bool               // whether the caller has the status and headers of a stream; verbatim routes only
	sent             bool               // whether bytes of the request may have reached the endpoint under the current permit
	grantedAt        time.Time          // when the current permit arrived
	sentAt           time.Time          // start of the latest send that did not resume a stream
	timeToFirstToken time.Duration      // time from sentAt to the first event under the current permit; zero before that event
	meter            meter              // cost of the current attempt
	answerBytes      int                // bytes of the answer under the current permit; only counted if the endpoint reports its load
	lastError        error              // cause of the latest failure, until it is logged
	keyHold          *keyed.OwnedRecord // nil for a request without an Idempotency-Key
	attemptCtx       context.Context    // ends when the caller leaves or the attempt takes too long; ignores the caller if keyHold is set
	cancelAttempt    context.CancelFunc // ends attemptCtx
}

// loop passes events to the lifecycle and performs the actions that it returns, until the request
// has its final answer. Once the caller has gone, the next event is replaced by CallerGone unless
// the request is detached.
func (r *run) loop(ctx context.Context) {
	r.cancelAttempt = func() {}
	defer r.abort()
	var ev entry.Event = &entry.Begin{}
	for ev != nil {
		if ctx.Err() != nil && !r.detached() {
			ev = &entry.CallerGone{Sent: r.sent}
		}
		action := r.lifecycle.Step(time.Now(), ev)
		r.logDecision(ev, action)
		ev = r.perform(ctx, action)
	}
}

// abort ends the attempt of a request that panicked: it orders the endpoint to stop and settles the
// permit as failed. After a final answer no permit is left and it does nothing.
func (r *run) abort() {
	if r.permit == nil {
		return
	}
	defer r.end(cell.Failed)
	r.closeStream()
	r.cancelAtEndpoint(true)
}

// detached reports whether the request continues without its caller. It does so once it was sent
// with an Idempotency-Key, since the caller can ask for the outcome by repeating the key.
func (r *run) detached() bool { return r.keyHold != nil && r.sent }

// perform carries out one action and returns the event that follows, or nil after the final answer.
func (r *run) perform(ctx context.Context, action entry.Action) entry.Event {
	switch action := action.(type) {
	case *entry.Ask:
		return r.ask(ctx, action)
	case *entry.Send:
		return r.send(ctx, action)
	case *entry.Relay:
		return r.relay()
	case *entry.Skip:
		return r.nextEvent()
	case *entry.Deliver:
		r.deliver(action.End)
	case *entry.Refuse:
		r.refuse(action)
	case *entry.Abandon:
		r.abandon(ctx, action)
	}
	return nil
}

// ask ends the current permit, if there is one, and waits for a new grant after the backoff pause.
// An endpoint whose answer was late is first ordered to stop.
func (r *run) ask(ctx context.Context, ask *entry.Ask) entry.Event {
	if ask.Reason == entry.AnswerLate {
		r.closeStream()
		r.cancelAtEndpoint(true)
	}
	r.end(ask.End)
	r.countRetry(ask.Reason)
	if !pause.For(ctx, ask.After) {
		return &entry.CallerGone{}
	}
	queue, cancel := context.WithDeadline(ctx, r.queueDeadline(time.Now()))
	defer cancel()
	permit, err := r.runner.config.Grants.Ask(queue, r.wanted(ask.Avoid))
	if err != nil {
		r.lastError = err
		return refusalEvent(err)
	}
	r.permit, r.grantedAt = permit, time.Now()
	r.sent, r.answerBytes = false, 0
	r.meter = newMeter(r.route.Service, len(r.req.Body))
	if r.keyHold != nil {
		ctx = context.WithoutCancel(ctx)
	}
	attemptDeadline := earliest(time.Now().Add(r.route.LongestRequest), r.deadline)
	r.attemptCtx, r.cancelAttempt = context.WithDeadline(ctx, attemptDeadline)
	return &entry.Granted{}
}

// wanted describes this request to the dispatcher.
func (r *run) wanted(avoid cell.EndpointID) GrantRequest {
	wanted := GrantRequest{
		Pool: r.route.Pool, Team: r.route.Team, Hint: r.req.Hint, Avoid: avoid, Class: r.route.Class, Prompt: r.req.Prompt, Deadline: r.objectiveDeadline,
	}
	if r.lifecycle.MayHaveRun() {
		wanted.Deadline = r.deadline // A request that may have run already is retried even if it misses its objective.
	}
	return wanted
}

// queueDeadline returns the time at which waiting for a grant ends: QueueTimeout after now, but no
// later than grantDeadline.
func (r *run) queueDeadline(now time.Time) time.Time {
	deadline := now.Add(r.route.QueueTimeout)
	if deadline.After(r.grantDeadline) {
		return r.grantDeadline
	}
	return deadline
}

// send sends the request under the current permit, or resumes a stream after the event
// send.LastEvent, and returns the first event that results. Before a resume under the same permit
// it waits for confirmation that the attempt still occupies its slot at the endpoint.
func (r *run) send(ctx context.Context, send *entry.Send) entry.Event {
	r.countRetry(send.Reason)
	r.closeStream()
	if !pause.For(ctx, send.After) {
		return &entry.CallerGone{Sent: r.sent}
	}
	if r.callerHasLeft() {
		return &entry.CallerGone{Sent: r.sent}
	}
	if send.LastEvent != "" && !r.route.Verbatim && !r.permit.AwaitConfirmed(r.attemptCtx) {
		return &entry.Lapsed{}
	}
	if isNewWork := send.LastEvent == "" || r.route.Verbatim; isNewWork && !r.permit.IsOpen() {
		id, _, _ := r.permit.Endpoint()
		return &entry.NotOpen{Endpoint: id}
	}
	call := r.call(send.LastEvent)
	if send.LastEvent == "" {
		r.sentAt = time.Now()
	}
	answer, err := r.runner.config.Endpoints.Send(r.attemptCtx, call)
	if err != nil {
		return r.eventFromError(call, err)
	}
	r.sent = true
	r.answer = answer
	r.reportLoad(answer.Load, len(answer.Body))
	if answer.Events != nil {
		return r.nextEvent()
	}
	r.permit.ReportTook(time.Since(r.sentAt))
	if r.route.Verbatim && answer.Status >= http.StatusInternalServerError {
		return &entry.FailedAnswer{Endpoint: call.Endpoint}
	}
	return &entry.Whole{}
}

// minAgeForLeftCheck is the age from which a request's connection is checked before sending. A
// router that is overloaded may not have noticed by then that the caller closed it.
const minAgeForLeftCheck = 200 * time.Millisecond

// reportLoad reports the load in the endpoint's answer, if there is one, after more bytes of the answer have arrived.
func (r *run) reportLoad(load cell.EndpointLoad, more int) {
	if !load.IsKnown() {
		return
	}
	r.answerBytes += more
	took := time.Duration(0)
	if r.answer == nil || r.answer.Events == nil {
		took = time.Since(r.sentAt)
	}
	r.permit.ReportLoad(load, len(r.req.Body)+r.answerBytes, took)
}

// callerHasLeft reports whether the caller of a request older than minAgeForLeftCheck has closed
// its connection. It is always false for a detached request.
func (r *run) callerHasLeft() bool {
	return r.req.HasDisconnected != nil && !r.detached() && time.Since(r.req.Received) >= minAgeForLeftCheck && r.req.HasDisconnected()
}

// call returns the endpoint call for the current permit. If lastEvent is set, the call resumes the
// stream after that event.
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
		Fresh:       r.nonIdempotent,
	}
	if r.route.Verbatim {
		call.Header = append(r.req.Header[:len(r.req.Header):len(r.req.Header)], r.route.Header...)
		call.Deadline = r.deadline
		call.Patient = r.nonIdempotent && !r.deadline.IsZero() // No other endpoint can go on with a stream that is cut for its silence.
		call.Fetch = r.permit.Fetch()
		call.ContentType = ""
		if lastEvent == "" {
			call.LastEvent = r.req.LastEvent
		}
	}
	// The grant's expiry limits the start of new work. A resume under the same permit continues
	// work that was started in time. On verbatim routes each resume is new work under a new permit.
	if lastEvent == "" || r.route.Verbatim {
		call.Expires = r.permit.Expires()
	}
	return call
}

// eventFromError turns an error of a send or of a stream into an event and keeps the error for the
// log. Unless the error proves that the endpoint did not run the request, bytes are taken as sent.
func (r *run) eventFromError(call endpoint.Call, err error) entry.Event {
	r.lastError = err
	var (
		notSent *endpoint.ErrNotSent
		held    *endpoint.ErrHeld
		start   *endpoint.ErrStartChanged
		refused *endpoint.ErrRefused
		unknown *endpoint.ErrUnknown
	)
	switch {
	case errors.As(err, &notSent):
		return &entry.NotSent{Endpoint: call.Endpoint, Expired: notSent.Expired}
	case errors.As(err, &held):
		return &entry.NotOpen{Endpoint: call.Endpoint}
	case errors.As(err, &start):
		return &entry.StartChanged{Endpoint: call.Endpoint, Answered: start.Answered}
	case errors.As(err, &refused):
		r.reportLoad(refused.Load, 0)
		return &entry.EndpointRefused{Endpoint: call.Endpoint, RetryAfter: refused.RetryAfter}
	}
	r.sent = true
	timeout := errors.As(err, &unknown) && unknown.Timeout
	if !timeout && r.attemptCtx.Err() == nil {
		r.permit.ReportBroken()
	}
	return &entry.Broken{Endpoint: call.Endpoint, Timeout: timeout}
}

// nextEvent waits for the stream's next event. On the first event it reports the time to the first
// token. A verbatim stream is complete when its body ends; elsewhere an end without a final event
// counts as broken.
func (r *run) nextEvent() entry.Event {
	event, err := r.answer.Events.Next()
	if errors.Is(err, io.EOF) && r.route.Verbatim {
		return &entry.StreamEnded{}
	}
	id, _, _ := r.permit.Endpoint()
	if err != nil {
		return r.eventFromError(endpoint.Call{Endpoint: id}, err)
	}
	r.event = event
	r.reportLoad(r.answer.Load, max(len(event.Raw), len(event.Data)))
	if r.timeToFirstToken == 0 {
		r.timeToFirstToken = time.Since(r.sentAt)
		r.permit.ReportFirstToken(r.timeToFirstToken)
		if !r.sentAt.Before(r.grantedAt) { // A resumed stream counts from its first send, elsewhere.
			r.permit.ReportTook(r.timeToFirstToken)
		}
	}
	return &entry.Streamed{Endpoint: id, ID: event.ID, Done: string(event.Data) == endpoint.Done}
}

// relay forwards the current event to the caller and waits for the next one. Every eventsPerReport
// events it reports the cost so far.
func (r *run) relay() entry.Event {
	r.meter.event(r.event.Data)
	if r.meter.eventCount%eventsPerReport == 0 {
		r.permit.ReportCost(r.meter.cost())
	}
	if err := r.startStream(); err != nil {
		return &entry.CallerGone{Sent: true}
	}
	if err := r.writer.Event(r.outgoingEvent()); err != nil {
		return &entry.CallerGone{Sent: true}
	}
	return r.nextEvent()
}

// startStream forwards the status and headers of the first endpoint on a verbatim route. It does
// nothing when called again: a stream that continues at another endpoint keeps its first head.
func (r *run) startStream() error {
	if !r.route.Verbatim || r.headSent {
		return nil
	}
	r.headSent = true
	return r.writer.Start(r.outgoingAnswer())
}

// outgoingAnswer returns the endpoint's answer as the caller's server takes it.
func (r *run) outgoingAnswer() caller.Answer {
	return caller.Answer{
		Status:      r.answer.Status,
		ContentType: r.answer.ContentType,
		Header:      r.answer.Header,
		Body:        r.answer.Body,
	}
}

// outgoingEvent returns the latest stream event as the caller's server takes it.
func (r *run) outgoingEvent() caller.Event {
	return caller.Event{ID: r.event.ID, Name: r.event.Name, Data: r.event.Data, Raw: r.event.Raw}
}

// deliver forwards a whole answer or the last event of a stream. The permit ends first, with the
// outcome end or else as Completed: the endpoint is done, and a slow caller must not occupy its
// slot.
func (r *run) deliver(end cell.Outcome) {
	answer := r.answer
	latency := r.latency()
	r.meter.readUsage(answer.Body)
	if answer.Events != nil {
		answer.Events.Close() // Closed before the attempt's context ends, so that its connection can be reused.
	}
	r.end(cmp.Or(end, cell.Completed))
	if answer.Events != nil {
		r.keyHold.SetStreamed(answer.Status)
		if r.route.Verbatim {
			_ = r.startStream()
		} else {
			_ = r.writer.Event(r.outgoingEvent()) // An error means that the caller has gone and needs no last event.
		}
		_ = r.writer.Close()
		r.closeStream()
	} else {
		r.keyHold.SetAnswer(answer.Status, answer.ContentType, answer.Body)
		_ = r.writer.Whole(r.outgoingAnswer())
	}
	r.runner.config.Counter.Completed(latency)
}

// latency returns the latencies of a request that ends now.
func (r *run) latency() Latency {
	latency := Latency{Pool: r.route.Pool, Whole: time.Since(r.req.Received)}
	if r.timeToFirstToken > 0 {
		latency.First = r.sentAt.Add(r.timeToFirstToken).Sub(r.req.Received)
	}
	return latency
}

// refuse answers the caller with a refusal and ends the permit. The endpoint is ordered to stop if
// the attempt failed after bytes were sent.
func (r *run) refuse(refuse *entry.Refuse) {
	r.closeStream()
	r.keyHold.SetUnanswered(refuse.NotRun)
	_ = r.writer.Refuse(caller.Refusal{
		Code:       refuse.Code,
		NotRun:     refuse.NotRun,
		RetryAfter: refuse.RetryAfter,
	})
	r.cancelAtEndpoint(refuse.End == cell.Failed)
	r.end(refuse.End)
	r.runner.config.Counter.Refused(refuse.Code)
}

// abandon ends a request whose caller has gone, or whose router stops: if it was sent, the endpoint is ordered to stop and
// the team pays the cost so far.
func (r *run) abandon(ctx context.Context, abandon *entry.Abandon) {
	r.closeStream()
	r.keyHold.SetUnanswered(!r.lifecycle.MayHaveRun())
	r.cancelAtEndpoint(abandon.End == cell.Cancelled)
	r.end(abandon.End)
	refusal := caller.Refusal{Code: result.OutcomeUnknown}
	if errors.Is(context.Cause(ctx), caller.ErrStopping) && !r.lifecycle.MayHaveRun() {
		refusal = caller.Refusal{Code: result.ShuttingDown, NotRun: true}
	}
	_ = r.writer.Refuse(refusal) // Usually nobody is left to read it, unless the router stops.
	r.runner.config.Counter.Abandoned()
}

// cancelAtEndpoint orders an engine to stop working on the request, if needed is true and a permit
// is held. Closing the connection is not enough: an engine that is not sending does not notice it.
// Services and verbatim routes have no such order.
func (r *run) cancelAtEndpoint(needed bool) {
	if !needed || r.route.Service || r.route.Verbatim || r.permit == nil {
		return
	}
	_, address, _ := r.permit.Endpoint()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.attemptCtx), cancelTimeout)
	defer cancel()
	_ = r.runner.config.Endpoints.Cancel(ctx, address, r.req.ID) // An engine that the order does not reach stops at its own limit.
}

// end settles the current permit, if there is one, and ends the attempt's context. Outcomes under
// which the endpoint did not run the request cost nothing.
func (r *run) end(outcome cell.Outcome) {
	if r.permit == nil {
		return
	}
	cost := cell.Cost(0)
	if outcome == cell.Completed || outcome == cell.Failed || outcome == cell.Cancelled {
		cost = r.meter.cost()
	}
	r.cancelAttempt()
	permit := r.permit
	r.permit = nil
	permit.End(outcome, cost, r.timeToFirstToken)
	r.timeToFirstToken = 0
}

// closeStream discards the current answer and closes its stream, if it has one.
func (r *run) closeStream() {
	if r.answer != nil && r.answer.Events != nil {
		r.answer.Events.Close()
	}
	r.answer = nil
}

// countRetry counts a retry by its reason. The first ask and send have no reason and are not
// counted.
func (r *run) countRetry(reason entry.Reason) {
	if reason != entry.NoReason {
		r.runner.config.Counter.Retried(reason)
	}
}
