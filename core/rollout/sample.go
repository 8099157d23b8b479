package rollout

import (
	"time"

	"ryelug/core/cell"
)

// Group is one of the two groups of endpoints that a roll-out compares.
type Group uint8

// The groups of endpoints.
const (
	Stable Group = iota + 1 // Stable: the endpoints of any other version than the target.
	Target                  // Target: the endpoints of the target version.
)

// Sample is the first event or the end of a granted request.
type Sample struct {
	Group    Group
	Class    string // Class is the route class of the request.
	Endpoint cell.EndpointID
	Outcome  cell.Outcome
	Took     time.Duration // Took is the time from sending to the complete response, or to the first event of a stream; zero if unknown.
	Expected time.Duration // Expected is proportional to the time that the request was expected to take at its endpoint, by its size and the load there; zero if unknown.
	Cold     bool          // Cold is true if the endpoint was cold.
	Running  int           // Running is the number of requests that ran at the endpoint, with this one.
	Slots    int           // Slots is the number of requests that the endpoint runs at once.

	HasBegun  bool      // HasBegun is true if Begun was called for the request.
	GrantedAt time.Time // GrantedAt is when the request was granted.
}

// Offer is an endpoint that may get requests.
type Offer struct {
	Endpoint cell.EndpointID
	Slots    int // Slots is the number of requests that the endpoint runs at once.
}

// Capacity describes the endpoints of both groups at one moment.
type Capacity struct {
	Targets         []Offer // Targets are the open target endpoints; the slice may be reused after the call.
	ReadySlots      int     // ReadySlots is the number of slots of the target endpoints that are open, not cold and not failing.
	StableEndpoints int     // StableEndpoints is the number of open endpoints of other versions.
	StableSlots     int     // StableSlots is the number of slots of these.
	StableRunning   int     // StableRunning is the number of requests that run at endpoints of other versions.
}

// Counts sums up what a Trial has seen.
type Counts struct {
	Requests       int // Requests counts the requests granted since the order, less those that were not sent.
	Exposed        int // Exposed counts those that the target got.
	TargetSamples  int
	TargetFailures int
	StableSamples  int
	StableFailures int
}

// Verdict is the final state that a roll-out must get in the store.
type Verdict struct {
	Order  Order
	State  State  // State is Completed or RolledBack.
	Reason string // Reason says in a few words what the verdict rests on, for the log.
	Counts Counts
}

// Status is the state of a Trial, for metrics and logs.
type Status struct {
	Order  Order
	State  State             // State is the final state once there is a verdict, before the store has it.
	Stage  int               // Stage is the present stage, 1 to 3.
	Reason string            // Reason is that of the verdict, or why the target gets nothing; empty if neither applies.
	Faulty []cell.EndpointID // Faulty are the target endpoints that are left out because they alone are bad.
	Counts Counts
}
