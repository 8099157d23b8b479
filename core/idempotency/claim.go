package idempotency

import (
	"time"

	"ryelug/core/result"
)

// Pauses that refused callers are told.
const (
	inProgressRetry  = time.Second
	unavailableRetry = 2 * time.Second
)

// Claim decides whether one attempt may run the request of a key.
type Claim struct {
	record     Record
	unresolved bool // unresolved tells that a write of ours may have taken effect, or may do so later.
}

// NewClaim returns a Claim for the attempt that record names; its state must be Started.
func NewClaim(record Record) *Claim {
	return &Claim{record: record}
}

// Step takes the platform's latest answer; now is the router's wall clock. That clock only
// chooses between two answers that are both true and send nothing.
func (c *Claim) Step(now time.Time, ev Event) Action {
	switch ev := ev.(type) {
	case *Begin:
		return &Create{Record: c.record}
	case *Written:
		return &Own{Version: ev.Version}
	case *Rejected:
		return &Get{}
	case *Missing:
		return &Create{Record: c.record}
	case *Unavailable:
		c.unresolved = c.unresolved || ev.Unknown
		return &Get{Pause: true}
	case *Read:
		return c.read(now, ev)
	}
	return &Refuse{Code: result.PlatformUnavailable, RetryAfter: unavailableRetry, Unresolved: c.unresolved}
}

func (c *Claim) read(now time.Time, ev *Read) Action {
	record := ev.Record
	switch {
	case record.Attempt == c.record.Attempt:
		return &Own{Version: ev.Version} // The answer to the write was lost.
	case record.Fingerprint != c.record.Fingerprint:
		return &Refuse{Code: result.KeyMismatch}
	case record.State == NotRun:
		return &Update{Record: c.record, Version: ev.Version}
	case record.State == Ended && record.Answer != nil && !record.Answer.Dropped:
		return &Replay{Answer: *record.Answer}
	case record.State == Started && now.Before(record.Deadline):
		return &Refuse{Code: result.KeyInProgress, RetryAfter: min(inProgressRetry, record.Deadline.Sub(now))}
	}
	return &Refuse{Code: result.KeyOutcomeUnknown}
}

// Settlement writes down how an attempt has ended.
type Settlement struct {
	record  Record
	version string
}

// NewSettlement returns a Settlement that turns the attempt's record into record. The
// version is that of the Own; it is empty if the attempt never learned whether it owned one.
func NewSettlement(record Record, version string) *Settlement {
	return &Settlement{record: record, version: version}
}

// Step takes the platform's latest answer.
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
		// A create of the attempt that is still on its way must find the name taken.
		return &Create{Record: s.record}
	case *Read:
		if !s.replaces(ev.Record) {
			return &Settled{}
		}
		return &Update{Record: s.record, Version: ev.Version}
	}
	return &Unsettled{}
}

// replaces tells whether the record found is to be replaced. An attempt that may still have an
// update on its way also replaces a free record of another attempt, which voids that update.
func (s *Settlement) replaces(found Record) bool {
	if found.Attempt == s.record.Attempt {
		return found.State == Started
	}
	return s.version == "" && found.State == NotRun
}
