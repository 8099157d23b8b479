package request

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/entry"
	"ryelug/core/result"
)

// decided logs a decision on the request with what led to it; relayed events are left out.
func (r *run) decided(ev entry.Event, action entry.Action) {
	log := r.runner.config.Log
	if log == nil {
		return
	}
	fields := logrus.Fields{
		"request": r.req.ID, "team": r.route.Team, "pool": r.route.Pool, "generation": r.route.Generation,
		"event": nameOf(ev), "decision": nameOf(action), "after_ms": time.Since(r.req.Received).Milliseconds(),
	}
	var refused *RefusedError
	if errors.As(r.lastError, &refused) {
		fields["attempt"] = refused.Attempt
	}
	if r.permit != nil {
		fields["attempt"] = r.permit.Attempt()
		fields["endpoint"], _, fields["start"] = r.permit.Endpoint()
	}
	if r.lastError != nil {
		fields["cause"] = r.lastError.Error()
		r.lastError = nil
	}
	switch action := action.(type) {
	case *entry.Relay, *entry.Skip:
		return
	case *entry.Ask:
		if action.Reason == entry.NoReason {
			return // The first ask follows from the request's arrival alone.
		}
		fields["reason"] = action.Reason
	case *entry.Send:
		fields["reason"], fields["last_event"] = action.Reason, action.LastEvent
	case *entry.Deliver:
		fields["status"], fields["first_ms"] = r.answer.Status, r.firstToken.Milliseconds()
	case *entry.Refuse:
		info, _ := result.Lookup(action.Code)
		fields["code"], fields["not_run"], fields["retry_after_ms"] = info.Name, action.NotRun, action.RetryAfter.Milliseconds()
	}
	log.WithFields(fields).Info("A request goes on.")
}

// nameOf returns the name of an event's or action's type in snake case.
func nameOf(value any) string {
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
