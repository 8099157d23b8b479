package request

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/entry"
	"ryelug/core/result"
	"ryelug/io/http1"
)

// logDecision logs an action with the event that caused it and, while a permit is held, the
// attempt's endpoint and times. It clears lastError once that is logged. Routine actions are not
// logged.
func (r *run) logDecision(ev entry.Event, action entry.Action) {
	log := r.runner.config.Log
	if log == nil || isRoutine(action) {
		return
	}
	fields := logrus.Fields{
		"request": r.req.ID, "team": string(r.route.Team), "pool": string(r.route.Pool), "generation": r.route.Generation,
		"event": snakeTypeName(ev), "decision": snakeTypeName(action), "after_ms": time.Since(r.req.Received).Milliseconds(),
	}
	var refused *RefusedError
	if errors.As(r.lastError, &refused) {
		fields["attempt"] = uint64(refused.Attempt)
	}
	if r.permit != nil {
		fields["attempt"] = uint64(r.permit.Attempt())
		id, _, start := r.permit.Endpoint()
		fields["endpoint"], fields["start"] = string(id), string(start)
		fields["granted_ms"] = r.grantedAt.Sub(r.req.Received).Milliseconds()
		fields["predicted_ms"] = r.permit.Predicted().Milliseconds()
	}
	if r.lastError != nil {
		fields["cause"] = r.lastError.Error()
		if head, ok := errors.AsType[*http1.ErrHead](r.lastError); ok {
			fields["broken_rule"] = string(head.Rule)
		}
		r.lastError = nil
	}
	if obstacle := r.lifecycle.Obstacle(); obstacle != entry.NoObstacle {
		fields["no_retry"], fields["sends"] = string(obstacle), r.lifecycle.Sends()
		if !r.deadline.IsZero() {
			fields["left_ms"] = time.Until(r.deadline).Milliseconds()
		}
	}
	switch action := action.(type) {
	case *entry.Ask:
		fields["reason"] = string(action.Reason)
	case *entry.Send:
		fields["reason"], fields["last_event"] = string(action.Reason), action.LastEvent
	case *entry.Deliver:
		fields["status"], fields["first_ms"] = r.answer.Status, r.timeToFirstToken.Milliseconds()
	case *entry.Refuse:
		info, _ := result.Lookup(action.Code)
		fields["code"], fields["not_run"], fields["retry_after_ms"] = info.Name, action.NotRun, action.RetryAfter.Milliseconds()
	}
	log.WithFields(fields).Info("A request goes on.")
}

// isRoutine reports whether an action is not logged: the events of a stream, and the first ask and
// send, whose times are in the line of the final decision.
func isRoutine(action entry.Action) bool {
	switch action := action.(type) {
	case *entry.Relay, *entry.Skip:
		return true
	case *entry.Ask:
		return action.Reason == entry.NoReason
	case *entry.Send:
		return action.Reason == entry.NoReason && action.LastEvent == ""
	}
	return false
}

// snakeTypeName returns the name of an event's or action's type in snake case, without its package:
// *entry.CallerGone becomes "caller_gone".
func snakeTypeName(value any) string {
	name := fmt.Sprintf("%T", value)
	name = name[strings.LastIndexByte(name, '.')+1:]
	var out strings.Builder
	for i, letter := range name {
		if letter >= 'A' && letter <= 'Z' {
			if i > 0 {
				out.WriteByte('_')
			}
			letter += 'a' - 'A'
		}
		out.WriteRune(letter)
	}
	return out.String()
}
