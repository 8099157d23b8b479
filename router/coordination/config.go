package coordination

import (
	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/due"
	"ryelug/core/spread"
	"ryelug/io/peer"
	"ryelug/io/wire"
)

// News takes what the duty that keeps the configuration must know of other routers.
type News interface {
	Received(from cell.RouterID, message wire.Message)
	PeerUp(router cell.RouterID)
	PeerDown(router cell.RouterID)
	SetMembers(members []spread.Member)
}

// Config sets up a Coordinator.
type Config struct {
	Self       cell.RouterID
	DataCentre string
	Peer       peer.Config
	Timings    Timings
	Share      func(routers int) // Share is told among how many routers what the fleet has is shared; it may be nil.
	Log        logrus.FieldLogger
	Standings  *due.Standings // Standings is told which teams are behind.
	Unserved   *due.Unserved  // Unserved holds what callers asked for that no dispatcher was asked for.

	Registered  bool           // Registered tells that a platform registers the endpoints: dispatchers grant what needs no stake before they hold one, and a router that is cut off goes on with its own.
	Order       dispatch.Order // Order is nil for fair service.
	LocalQueues bool           // LocalQueues makes this router dispatch for itself, a baseline.
}
