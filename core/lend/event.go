package lend

import (
	"time"

	"ryelug/core/cell"
)

// Event is an input of a Lender.
type Event interface{ event() }

// Order replaces the hosts that may dispatch the cell, first choice first.
type Order struct{ Hosts []cell.HostID }

// LinkUp tells that a link that this router dialed is up.
type LinkUp struct{ Router cell.RouterID }

// LinkDown tells that this link is down and nothing more can be sent on it.
type LinkDown struct{ Router cell.RouterID }

// Heard tells of a frame from the other end of a link that this router dialed, before the frame's own event.
type Heard struct {
	Router cell.RouterID
	Echoed time.Time // Echoed is when this entry sent the newest frame that the router had processed; zero if none.
}

// PeerLeaving tells that the other router shuts down gracefully.
type PeerLeaving struct{ Router cell.RouterID }

// Accepted tells that a dispatcher has taken a Join.
type Accepted struct {
	Router  cell.RouterID
	Session cell.Session
}

// Released tells that a dispatcher counts the stake no more.
type Released struct {
	Router  cell.RouterID
	Session cell.Session
}

// Grants gives grants, with the time on this router's clock that its age is counted from.
type Grants struct {
	Router  cell.RouterID
	Session cell.Session
	Echoed  time.Time
	Grants  []cell.Grant
}

// Refusals tells of attempts that get no grant.
type Refusals struct {
	Router   cell.RouterID
	Session  cell.Session
	Refusals []cell.Refusal
}

// Counters tells of the teams' virtual counters.
type Counters struct {
	Router   cell.RouterID
	Counters []cell.TeamCounter
}

// Want asks for a grant.
type Want struct{ Demand cell.Demand }

// Withdraw takes back a Want.
type Withdraw struct{ Attempt cell.AttemptID }

// Progress tells of the cost of a running attempt.
type Progress struct{ Progress cell.Progress }

// End tells that a granted attempt has ended, or that its grant can't be used.
type End struct{ End cell.End }

// Leave tells that this router shuts down: it lends to itself only if it sees no other.
type Leave struct{}

// Tick lets time pass; it is due at least every 50 ms.
type Tick struct{}

func (*Order) event()       {}
func (*LinkUp) event()      {}
func (*LinkDown) event()    {}
func (*Heard) event()       {}
func (*PeerLeaving) event() {}
func (*Accepted) event()    {}
func (*Released) event()    {}
func (*Grants) event()      {}
func (*Refusals) event()    {}
func (*Counters) event()    {}
func (*Want) event()        {}
func (*Withdraw) event()    {}
func (*Progress) event()    {}
func (*End) event()         {}
func (*Leave) event()       {}
func (*Tick) event()        {}

// Action is an output of a Lender; it is valid until the next Step.
type Action interface{ action() }

// Join starts a session with a dispatcher.
type Join struct {
	Router   cell.RouterID
	Session  cell.Session
	Stake    bool
	Unlent   time.Duration // Unlent is the time until now in which no dispatcher counted the stake or granted to this entry.
	Flights  []cell.Flight
	Counters []cell.TeamCounter
	Kept     []cell.Kept // Kept tells where this entry sent parts of prompts of late, the oldest first.
}

// Release ends a session; the dispatcher answers Released.
type Release struct {
	Router  cell.RouterID
	Session cell.Session
}

// Disconnect closes the link to a router that does not answer Release.
type Disconnect struct{ Router cell.RouterID }

// SendWant tells a dispatcher of waiting requests.
type SendWant struct {
	Router  cell.RouterID
	Session cell.Session
	Demands []cell.Demand
}

// SendWithdraw tells a dispatcher of requests that wait no longer.
type SendWithdraw struct {
	Router   cell.RouterID
	Session  cell.Session
	Attempts []cell.AttemptID
}

// SendProgress tells a dispatcher of the cost of running attempts.
type SendProgress struct {
	Router   cell.RouterID
	Session  cell.Session
	Progress []cell.Progress
}

// SendEnds tells a router that counts them of attempts that have ended.
type SendEnds struct {
	Router cell.RouterID
	Ends   []cell.End
}

// Granted permits an attempt until Expires, to be checked immediately before the send.
type Granted struct {
	Attempt  cell.AttemptID
	Endpoint cell.EndpointID
	Start    cell.StartID
	Fetch    cell.EndpointID // Fetch is an engine to copy shared parts of the prompt from; empty for none.
	Expires  time.Time

	Predicted time.Duration // Predicted is the time to the first token that the endpoint was chosen for; zero where nothing is predicted.
}

// Refused tells that an attempt gets no grant.
type Refused struct {
	Attempt    cell.AttemptID
	Code       uint16 // Code is a result.Code.
	RetryAfter time.Duration
}

func (*Join) action()         {}
func (*Release) action()      {}
func (*Disconnect) action()   {}
func (*SendWant) action()     {}
func (*SendWithdraw) action() {}
func (*SendProgress) action() {}
func (*SendEnds) action()     {}
func (*Granted) action()      {}
func (*Refused) action()      {}
