package rollout

import (
	"time"

	"ryelug/core/cell"
)

// State is the state of a roll-out as the store holds it.
type State uint8

// The states of a roll-out. Only Running is followed by another state.
const (
	Running    State = iota + 1 // Running: the endpoints of the target version get a limited share of the requests.
	Completed                   // Completed: only endpoints of the target version get requests.
	RolledBack                  // RolledBack: endpoints of the target version get no requests.
)

// String returns the state's name, as in the store.
func (s State) String() string {
	switch s {
	case Running:
		return "running"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled_back"
	}
	return "unknown"
}

// Order is an operator's order to move a cell's traffic to the endpoints of another version, with what is known of its state.
type Order struct {
	Cell     cell.ID
	Target   string        // Target is the version to move to.
	Revision uint64        // Revision is that of the order in the store; a changed order has a greater one.
	Duration time.Duration // Duration is the time from the order to its deadline.
	Seen     time.Time     // Seen is when the order is taken to have been given: its first sight here, less the time that its status says had passed by then.
	State    State

	ConfirmedAt time.Time // ConfirmedAt is when the store last confirmed the roll-outs to this router; a target gets nothing without a recent one.
}

// Bounds limits what a bad version may get.
type Bounds struct {
	Share    float64       // Share is the largest fraction of a service's requests between an order and its deadline; zero means that there are no roll-outs.
	Slack    int           // Slack is added to the number of requests that Share allows.
	Rollback time.Duration // Rollback is the time after the fiftieth bad answer from which no request may be sent to a bad version.
}

// Deadline returns when the roll-out must have a final state.
func (o *Order) Deadline() time.Time { return o.Seen.Add(o.Duration) }

// IsSame reports whether both orders are the same one, of which possibly different states are known.
func (o *Order) IsSame(other *Order) bool {
	return o.Cell == other.Cell && o.Target == other.Target && o.Revision == other.Revision
}
