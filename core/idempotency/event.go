package idempotency

import (
	"time"

	"ryelug/core/result"
)

// Event is an input of Claim.Step and Settlement.Step: an answer of the platform, or the lack of one.
type Event interface{ event() }

// Begin starts a state machine; it is the first event.
type Begin struct{}

// Written reports that the create or update took effect. Version is the record's new version.
type Written struct{ Version string }

// Rejected reports that the create or update did not take effect, because a record exists already or has another version.
type Rejected struct{}

// Read returns the stored record and its version.
type Read struct {
	Record  Record
	Version string
}

// Missing reports that no record is stored.
type Missing struct{}

// Unavailable reports that the platform gave no answer.
type Unavailable struct {
	Unknown bool // Whether the call was a write that may have taken effect or may still take effect.
}

// GiveUp reports that the time for the state machine has run out.
type GiveUp struct{}

func (*Begin) event()       {}
func (*Written) event()     {}
func (*Rejected) event()    {}
func (*Read) event()        {}
func (*Missing) event()     {}
func (*Unavailable) event() {}
func (*GiveUp) event()      {}

// Action is an output of Claim.Step and Settlement.Step.
type Action interface{ action() }

// Create writes the record if none is stored.
type Create struct {
	Record Record
	Pause  bool // Whether to wait before the call, because the platform does not answer.
}

// Update replaces the stored record if it still has the given version.
type Update struct {
	Record  Record
	Version string
	Pause   bool // Whether to wait before the call, because the platform does not answer.
}

// Get reads the stored record.
type Get struct {
	Pause bool // Whether to wait before the call, because the platform does not answer.
}

// Owned ends a Claim: the attempt owns the key and may be sent. Version is that of its record.
type Owned struct{ Version string }

// Replay ends a Claim: the request has already run, and the caller gets the stored answer.
type Replay struct{ Answer Answer }

// Refuse ends a Claim: the attempt must not be sent.
type Refuse struct {
	Code       result.Code   // Result code for the caller.
	RetryAfter time.Duration // How long the caller should wait before it tries again; zero if a retry is of no use.
	Unresolved bool          // Whether the attempt's record may be stored, or may still appear; a Settlement must then clear it.
}

// Settled ends a Settlement: the stored record is up to date, or belongs to another attempt.
type Settled struct{}

// Unsettled ends a Settlement that could not write the record, which may still be in state Started.
type Unsettled struct{}

func (*Create) action()    {}
func (*Update) action()    {}
func (*Get) action()       {}
func (*Owned) action()     {}
func (*Replay) action()    {}
func (*Refuse) action()    {}
func (*Settled) action()   {}
func (*Unsettled) action() {}
