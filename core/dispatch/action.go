package dispatch

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
	"ryelug/core/session"
)

// Outbox collects the actions of a step in memory that the next step uses again.
type Outbox struct {
	actions  []Action
	grants   []*GrantTo
	refusals []*RefuseTo
	moves    []*MoveTo
	granted  int
	refused  int
	moved    int
}

// Actions returns the actions of the step; they are valid until Reset.
func (o *Outbox) Actions() []Action { return o.actions }

// Reset begins a new step.
func (o *Outbox) Reset() {
	o.actions = o.actions[:0]
	o.granted, o.refused, o.moved = 0, 0, 0
}

// Grant adds a grant to an entry.
func (o *Outbox) Grant(to *session.Entry, grant cell.Grant) {
	if o.granted == len(o.grants) {
		o.grants = append(o.grants, &GrantTo{})
	}
	action := o.grants[o.granted]
	o.granted++
	*action = GrantTo{Router: to.Router, Session: to.Session, Grant: grant}
	o.actions = append(o.actions, action)
}

// Refuse adds a refusal, with the time after which the request may come back.
func (o *Outbox) Refuse(to *session.Entry, attempt cell.AttemptID, code result.Code, after time.Duration, grounds Grounds) {
	if o.refused == len(o.refusals) {
		o.refusals = append(o.refusals, &RefuseTo{})
	}
	action := o.refusals[o.refused]
	o.refused++
	*action = RefuseTo{Router: to.Router, Session: to.Session, Attempt: attempt, Code: code, RetryAfter: after, Grounds: grounds}
	o.actions = append(o.actions, action)
}

// Move adds the passing on of an attempt to another cell.
func (o *Outbox) Move(to *session.Entry, attempt cell.AttemptID, id cell.ID) {
	if o.moved == len(o.moves) {
		o.moves = append(o.moves, &MoveTo{})
	}
	action := o.moves[o.moved]
	o.moved++
	*action = MoveTo{Router: to.Router, Session: to.Session, Attempt: attempt, Cell: id}
	o.actions = append(o.actions, action)
}
