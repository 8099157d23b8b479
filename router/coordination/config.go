package coordination

import (
	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/crossing"
	"ryelug/core/dispatch"
	"ryelug/core/due"
	"ryelug/core/rollout"
	"ryelug/core/spread"
	"ryelug/core/suspect"
	"ryelug/io/peer"
	"ryelug/io/wire"
)

// News receives messages of other routers about the configuration and platform objects, and changes of the links and
// of the hosts of the fleet. Its methods are called on the coordination goroutine and must not block.
type News interface {
	// Received delivers a message about the configuration or about platform objects.
	Received(from cell.RouterID, message wire.Message)
	// PeerUp is called when a link to a router has been established.
	PeerUp(router cell.RouterID)
	// PeerDown is called when the last link to a router has closed.
	PeerDown(router cell.RouterID)
	// SetMembers replaces the hosts of the fleet, without those that are leaving.
	SetMembers(members []spread.Member)
}

// Config configures a Coordinator.
type Config struct {
	Self         cell.RouterID      // Self is the ID of this router process.
	DataCentre   string             // DataCentre is the data centre of this host; lists of hosts are passed on within it.
	Peer         peer.Config        // Peer configures the links to other routers.
	Timings      Timings            // Timings must be equal on all routers of an environment.
	Crossing     crossing.Config    // Crossing says how the dispatchers here decide on requests for other data centres.
	SetFleetSize func(routers int)  // SetFleetSize is called when the number of routers among which fleet-wide limits are divided changes; it may be nil.
	Log          logrus.FieldLogger // Log receives the log lines of coordination and of both roles.
	Standings    *due.Standings     // Standings is updated with the teams that receive less than their share.
	Unserved     *due.Unserved      // Unserved holds the requests that this entry refused without asking a dispatcher; they are reported to the dispatchers.

	SetRollout func(order rollout.Order, state rollout.State) // SetRollout has the state of a roll-out written by its judge; it must not block; nil if there are no roll-outs.
	// SaveSuspects has a cell's record of the prompt parts that crash engines written; it must not block; nil if there is no store.
	SaveSuspects func(id cell.ID, record suspect.Record, standsIn bool)

	Registered  bool           // Registered is set where the platform registers the endpoints. A dispatcher may then grant requests that need no stake even while it holds none, a router that is cut off keeps serving with its own stake, and a router keeps links to a few others only (core/overlay).
	Order       dispatch.Order // Order picks the next request among waiting ones; nil is fair queueing by team share.
	LocalQueues bool           // LocalQueues makes this router dispatch for itself only; a baseline for measurements.
}
