package idempotency

import (
	"time"

	"ryelug/core/result"
)

// Event is an answer of the platform, or the lack of one.
type Event interface{ event() }

// Begin starts a machine.
type Begin struct{}

// Written tells that the create or update took effect.
type Written struct{ Version string }

// Rejected tells that it did not: there is a record already, or it has another version.
type Rejected struct{}

// Read brings the record.
type Read struct {
	Record  Record
	Version string
}

// Missing tells that there is no record.
type Missing struct{}

// Unavailable tells that no answer came.
type Unavailable struct {
	Unknown bool // Unknown tells that a write may have taken effect, or may do so later.
}

// GiveUp tells that the time for the machine is over.
type GiveUp struct{}

func (*Begin) event()       {}
func (*Written) event()     {}
func (*Rejected) event()    {}
func (*Read) event()        {}
func (*Missing) event()     {}
func (*Unavailable) event() {}
func (*GiveUp) event()      {}

// Action is what a machine wants.
type Action interface{ action() }

// Create wants the record written if there is none.
type Create struct {
	Record Record
	Pause  bool // Pause asks for a wait first, since the platform is failing.
}

// Update wants the record replaced if it has the version still.
type Update struct {
	Record  Record
	Version string
	Pause   bool
}

// Get wants the record read.
type Get struct {
	Pause bool
}

// Own tells that the attempt owns the key and may send.
type Own struct{ Version string }

// Replay tells that the request has run and gives its answer.
type Replay struct{ Answer Answer }

// Refuse tells that the attempt may not send.
type Refuse struct {
	Code       result.Code
	RetryAfter time.Duration
	Unresolved bool // Unresolved tells that the attempt's record may yet appear; a Settlement must deal with it.
}

// Settled tells that the record says what it should, or belongs to another attempt.
type Settled struct{}

// Unsettled tells that the record could not be written; it goes on saying Started.
type Unsettled struct{}

func (*Create) action()    {}
func (*Update) action()    {}
func (*Get) action()       {}
func (*Own) action()       {}
func (*Replay) action()    {}
func (*Refuse) action()    {}
func (*Settled) action()   {}
func (*Unsettled) action() {}
