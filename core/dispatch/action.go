package dispatch

import (
	"time"

	"ryelug/core/cell"
	"ryelug/core/result"
	"ryelug/core/session"
)

// Outbox collects the actions of one step. The actions are allocated once and reused by later steps.
type Outbox struct {
	actions      []Action
	grants       []*GrantTo
	refusals     []*RefuseTo
	moves        []*MoveTo
	grantsUsed   int
	refusalsUsed int
	movesUsed    int
}

// Actions returns the actions of the current step, in the order in which they were added. They are valid until Reset.
func (o *Outbox) Actions() []Action { return o.actions }

// Reset removes all actions, before a new step.
func (o *Outbox) Reset() {
	o.actions = o.actions[:0]
	o.grantsUsed, o.refusalsUsed, o.movesUsed = 0, 0, 0
}

// Grant adds an action that sends a grant to an entry router.
func (o *Outbox) Grant(to *session.Entry, grant cell.Grant) {
	if o.grantsUsed == len(o.grants) {
		o.grants = append(o.grants, &GrantTo{})
	}
	action := o.grants[o.grantsUsed]
	o.grantsUsed++
	*action = GrantTo{Router: to.Router, Session: to.Session, Grant: grant}
	o.actions = append(o.actions, action)
}

// Refuse adds an action that rejects an attempt with a result code; after is the delay before a retry.
func (o *Outbox) Refuse(to *session.Entry, attempt cell.AttemptID, code result.Code, after time.Duration, details RefusalDetails) {
	if o.refusalsUsed == len(o.refusals) {
		o.refusals = append(o.refusals, &RefuseTo{})
	}
	action := o.refusals[o.refusalsUsed]
	o.refusalsUsed++
	*action = RefuseTo{Router: to.Router, Session: to.Session, Attempt: attempt, Code: code, RetryAfter: after, RefusalDetails: details}
	o.actions = append(o.actions, action)
}

// Move adds an action that tells an entry router to ask another cell for the attempt's grant.
func (o *Outbox) Move(to *session.Entry, attempt cell.AttemptID, id cell.ID) {
	if o.movesUsed == len(o.moves) {
		o.moves = append(o.moves, &MoveTo{})
	}
	action := o.moves[o.movesUsed]
	o.movesUsed++
	*action = MoveTo{Router: to.Router, Session: to.Session, Attempt: attempt, Cell: id}
	o.actions = append(o.actions, action)
}
