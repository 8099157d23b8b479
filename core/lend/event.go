package lend

import (
	"time"

	"ryelug/core/cell"
)

// Event is an input of Lender.Step.
type Event interface{ event() }

// Order replaces the list of hosts that may be the dispatcher of the cell, in order of preference.
type Order struct{ Hosts []cell.HostID }

// LinkUp reports that a link dialed by this router is established.
type LinkUp struct{ Router cell.RouterID }

// LinkDown reports that a link dialed by this router is closed; nothing more can be sent on it.
type LinkDown struct{ Router cell.RouterID }

// FrameReceived reports a frame from the other end of a link that this router dialed. It precedes the event that the frame carries.
type FrameReceived struct {
	Router cell.RouterID
	Echoed time.Time // Send time, on this entry's clock, of the newest frame that the other router has processed; zero if it has processed none.
}

// PeerLeaving reports that another router has begun a graceful shutdown.
type PeerLeaving struct{ Router cell.RouterID }

// Accepted reports that a dispatcher has accepted a Join.
type Accepted struct {
	Router  cell.RouterID
	Session cell.Session
}

// Released reports that a dispatcher no longer counts this entry's stake.
type Released struct {
	Router  cell.RouterID
	Session cell.Session
}

// Grants delivers grants from a dispatcher.
type Grants struct {
	Router  cell.RouterID
	Session cell.Session
	Echoed  time.Time // Time on this entry's clock from which the grants' validity is measured: the send time of the newest frame that the dispatcher had processed.
	Grants  []cell.Grant
}

// Refusals reports attempts that the dispatcher refuses to grant.
type Refusals struct {
	Router   cell.RouterID
	Session  cell.Session
	Refusals []cell.Refusal
}

// Counters reports the virtual service of teams, which is their cost divided by their share, as a dispatcher counts it.
type Counters struct {
	Router   cell.RouterID
	Counters []cell.TeamCounter
}

// Want asks for a grant for an attempt, which waits until it is granted, refused or withdrawn.
type Want struct{ Demand cell.Demand }

// Withdraw cancels a Want.
type Withdraw struct{ Attempt cell.AttemptID }

// Progress reports the cost of a running attempt so far.
type Progress struct{ Progress cell.Progress }

// End reports that a granted attempt has ended or that its grant can't be used.
type End struct{ End cell.End }

// Leave reports that this router is shutting down. From then on it chooses itself as dispatcher only if no other one is usable.
type Leave struct{}

// Tick lets the Lender check its timeouts; the caller sends it at least every 50 ms.
type Tick struct{}

func (*Order) event()         {}
func (*LinkUp) event()        {}
func (*LinkDown) event()      {}
func (*FrameReceived) event() {}
func (*PeerLeaving) event()   {}
func (*Accepted) event()      {}
func (*Released) event()      {}
func (*Grants) event()        {}
func (*Refusals) event()      {}
func (*Counters) event()      {}
func (*Want) event()          {}
func (*Withdraw) event()      {}
func (*Progress) event()      {}
func (*End) event()           {}
func (*Leave) event()         {}
func (*Tick) event()          {}

// Action is an output of Lender.Step; it is valid until the next Step.
type Action interface{ action() }

// Join asks a dispatcher to start a session, and transfers the entry's state to it.
type Join struct {
	Router       cell.RouterID
	Session      cell.Session
	Stake        bool          // Whether the session includes the entry's stake.
	UncountedFor time.Duration // How long, until now, no dispatcher has counted the stake or granted to this entry.
	Flights      []cell.Flight
	Counters     []cell.TeamCounter
	Cached       []cell.Cached // Parts of prompts that this entry recently sent to engines, which probably still cache them, oldest first.
}

// Release ends a session; the dispatcher answers with Released.
type Release struct {
	Router  cell.RouterID
	Session cell.Session
}

// Disconnect closes the link to a router that has not answered Release in time.
type Disconnect struct{ Router cell.RouterID }

// SendWant reports waiting requests to a dispatcher.
type SendWant struct {
	Router  cell.RouterID
	Session cell.Session
	Demands []cell.Demand
}

// SendWithdraw tells a dispatcher which requests no longer wait.
type SendWithdraw struct {
	Router   cell.RouterID
	Session  cell.Session
	Attempts []cell.AttemptID
}

// SendProgress reports the cost of running attempts to a dispatcher.
type SendProgress struct {
	Router   cell.RouterID
	Session  cell.Session
	Progress []cell.Progress
}

// SendEnds reports ended attempts to a router that still counts them as running.
type SendEnds struct {
	Router cell.RouterID
	Ends   []cell.End
}

// Granted permits an attempt to be sent until Expires. The sender checks Expires immediately before the send.
type Granted struct {
	Attempt  cell.AttemptID
	Endpoint cell.EndpointID
	Start    cell.StartID
	Fetch    cell.EndpointID // Engine from which the endpoint copies cached parts of the prompt; empty if none.
	Expires  time.Time       // Last moment for the send, on this entry's clock.

	Predicted time.Duration // Time to the first token that the dispatcher predicted for this endpoint; zero if it made no prediction.
}

// Refused reports that an attempt gets no grant.
type Refused struct {
	Attempt    cell.AttemptID
	Code       uint16        // Reason, as a result.Code.
	RetryAfter time.Duration // How long the caller should wait before it tries again.
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
