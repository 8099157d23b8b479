package dispatch

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
	"ryelug/core/session"
)

// outbox collects the actions of a step in memory that the next step uses again.
type outbox struct {
	actions  []Action
	grants   []*GrantTo
	refusals []*RefuseTo
	moves    []*MoveTo
	granted  int
	refused  int
	moved    int
}

func (o *outbox) reset() {
	o.actions = o.actions[:0]
	o.granted, o.refused, o.moved = 0, 0, 0
}

func (o *outbox) grant(to *session.Entry, grant cell.Grant) {
	if o.granted == len(o.grants) {
		o.grants = append(o.grants, &GrantTo{})
	}
	action := o.grants[o.granted]
	o.granted++
	*action = GrantTo{Router: to.Router, Session: to.Session, Grant: grant}
	o.actions = append(o.actions, action)
}

func (o *outbox) refuse(to *session.Entry, attempt cell.AttemptID, code result.Code, after time.Duration) {
	if o.refused == len(o.refusals) {
		o.refusals = append(o.refusals, &RefuseTo{})
	}
	action := o.refusals[o.refused]
	o.refused++
	*action = RefuseTo{Router: to.Router, Session: to.Session, Attempt: attempt, Code: code, RetryAfter: after}
	o.actions = append(o.actions, action)
}

func (o *outbox) move(to *session.Entry, attempt cell.AttemptID, id cell.ID) {
	if o.moved == len(o.moves) {
		o.moves = append(o.moves, &MoveTo{})
	}
	action := o.moves[o.moved]
	o.moved++
	*action = MoveTo{Router: to.Router, Session: to.Session, Attempt: attempt, Cell: id}
	o.actions = append(o.actions, action)
}
