package idempotency

import (
	"time"

	"ryelug/core/result"
)

// Retry delays given to refused callers.
const (
	inProgressRetryAfter  = time.Second
	unavailableRetryAfter = 2 * time.Second
)

// Claim is the state machine that decides whether one attempt may run the request of a key.
type Claim struct {
	record     Record
	unresolved bool // whether a write of this attempt may have taken effect or may still take effect
}

// NewClaim returns a Claim for the attempt in record, whose state must be Started.
func NewClaim(record Record) *Claim {
	return &Claim{record: record}
}

// Step processes the platform's latest answer; now is the router's wall clock. The clock only decides between
// the refusals KeyInProgress and KeyOutcomeUnknown, which are both correct, so a wrong clock never leads to a send.
func (c *Claim) Step(now time.Time, ev Event) Action {
	switch ev := ev.(type) {
	case *Begin:
		return &Create{Record: c.record}
	case *Written:
		return &Owned{Version: ev.Version}
	case *Rejected:
		return &Get{}
	case *Missing:
		return &Create{Record: c.record}
	case *Unavailable:
		c.unresolved = c.unresolved || ev.Unknown
		return &Get{Pause: true}
	case *Read:
		return c.handleRead(now, ev)
	}
	return &Refuse{Code: result.PlatformUnavailable, RetryAfter: unavailableRetryAfter, Unresolved: c.unresolved}
}

// handleRead returns the action for a stored record: own the key, take it over from a request that was not run, replay
// the stored answer, or refuse the attempt.
func (c *Claim) handleRead(now time.Time, ev *Read) Action {
	record := ev.Record
	switch {
	case record.Attempt == c.record.Attempt:
		return &Owned{Version: ev.Version} // The write took effect, but its answer was lost.
	case record.Fingerprint != c.record.Fingerprint:
		return &Refuse{Code: result.KeyMismatch}
	case record.State == NotRun:
		return &Update{Record: c.record, Version: ev.Version}
	case record.State == Ended && record.Answer != nil && !record.Answer.Dropped:
		return &Replay{Answer: *record.Answer}
	case record.State == Started && now.Before(record.Deadline):
		return &Refuse{Code: result.KeyInProgress, RetryAfter: min(inProgressRetryAfter, record.Deadline.Sub(now))}
	}
	return &Refuse{Code: result.KeyOutcomeUnknown}
}

// Settlement is the state machine that stores the outcome of an attempt.
type Settlement struct {
	record  Record
	version string
}

// NewSettlement returns a Settlement that replaces the attempt's stored record by the given one. The version is that
// of Owned; it is empty if the attempt never learned whether it owns the key.
func NewSettlement(record Record, version string) *Settlement {
	return &Settlement{record: record, version: version}
}

// Step processes the platform's latest answer.
func (s *Settlement) Step(ev Event) Action {
	switch ev := ev.(type) {
	case *Begin:
		if s.version == "" {
			return &Get{}
		}
		return &Update{Record: s.record, Version: s.version}
	case *Written:
		return &Settled{}
	case *Rejected:
		return &Get{}
	case *Unavailable:
		return &Get{Pause: true}
	case *Missing:
		// A create of this attempt that is still in transit must find a record, so that it is rejected.
		return &Create{Record: s.record}
	case *Read:
		if !s.mustReplace(ev.Record) {
			return &Settled{}
		}
		return &Update{Record: s.record, Version: ev.Version}
	}
	return &Unsettled{}
}

// mustReplace reports whether the stored record must be replaced: the attempt's own record while it is still Started.
// If an update of this attempt may still be in transit, a NotRun record of another attempt is replaced too:
// its version changes, so that the late update is rejected.
func (s *Settlement) mustReplace(found Record) bool {
	if found.Attempt == s.record.Attempt {
		return found.State == Started
	}
	return s.version == "" && found.State == NotRun
}
