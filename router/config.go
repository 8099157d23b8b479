package router

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/neighbour"
	"ryelug/core/spread"
	"ryelug/io/caller"
	"ryelug/io/handover"
	"ryelug/io/operator"
	"ryelug/io/peer"
	"ryelug/io/wire"
	"ryelug/router/configuration"
	"ryelug/router/coordination"
	"ryelug/router/directory"
	"ryelug/router/keyed"
	"ryelug/router/poll"
	"ryelug/router/request"
)

// Endpoints speaks to endpoints.
type Endpoints interface {
	request.Endpoints
	poll.Endpoints
}

// Source tells what is in force where a platform registers the endpoints.
type Source interface {
	// Run calls adopt with each change, one at a time, until ctx ends.
	Run(ctx context.Context, adopt func(*directory.Directory)) error
	// Received takes a message about the platform's objects of another router; it must not block.
	Received(from cell.RouterID, message wire.Message)
	// PeerUp tells that a router can be reached.
	PeerUp(router cell.RouterID)
	// PeerDown tells that no link to a router is left.
	PeerDown(router cell.RouterID)
	// Connect gives the source its way to other routers; send must not block.
	Connect(send func(to cell.RouterID, message wire.Message))
	// Stale tells that what was told may be out of force, so that no request with a key may be sent.
	Stale() bool
}

// Usage tells what a process uses of its processor.
type Usage struct {
	Waited    func() time.Duration          // Waited is how long work has waited for the processor of late.
	Processor func() (time.Duration, error) // Processor is the processor time so far.
}

// Config sets up a Router.
type Config struct {
	Host           cell.HostID
	Incarnation    string // Incarnation is new at each start of the process.
	DataCentre     string
	Environment    string
	Seed           uint64 // Seed sets the jitter of repeated reads.
	PeerKey        []byte
	PeerListener   net.Listener
	PeerDial       func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Callers        caller.Config             // Callers lacks its handler, which is the Router.
	CallersOn      net.Listener              // CallersOn may be nil in tests that call Serve.
	OthersOn       net.Listener              // OthersOn takes connections that other routers hand over; it may be nil.
	Neighbours     func() []neighbour.Router // Neighbours are the routers that take connections from this one; nil is none.
	Platform       configuration.Platform
	Source         Source // Source takes the place of the environment's document; it may be nil.
	Hosts          poll.Lister
	Endpoints      Endpoints
	Counter        request.Counter
	Keys           *keyed.Keeper    // Keys may be nil; then requests with an Idempotency-Key are refused.
	KeyedRate      float64          // KeyedRate bounds the fleet's requests with a key, a second.
	OldRecords     keyed.OldRecords // OldRecords may be nil; then this router deletes no old records of keys.
	Timings        coordination.Timings
	Retries        request.Config // Retries bounds retries; its other fields are not used.
	Grace          time.Duration  // Grace bounds the shutdown; zero is no bound.
	ProcessorShare float64        // ProcessorShare is the part of a core that this process has, in cores; zero is not known.
	StrainLate     time.Duration  // StrainLate is the lateness of this process from which on it sends new requests elsewhere; zero is never.
	Usage          Usage          // Usage tells what this process uses; what the system and the runtime tell when its fields are nil.
	BalancerLag    time.Duration  // BalancerLag is the time in which the balancer notices that this router leaves.
	Log            logrus.FieldLogger

	Order       dispatch.Order // Order is nil for fair service; another one is a baseline for measurements.
	LocalQueues bool           // LocalQueues makes each router dispatch for itself with its own stake, a baseline.
}

func (c *Config) routerID() cell.RouterID {
	return cell.RouterID(string(c.Host) + "/" + c.Incarnation)
}

func (c *Config) peerConfig() peer.Config {
	return peer.Config{
		Self:        c.routerID(),
		DataCentre:  c.DataCentre,
		Key:         c.PeerKey,
		Heartbeat:   c.Timings.Heartbeat,
		Idle:        c.Timings.IdleHeartbeat,
		Silent:      c.Timings.LinkSilent,
		DialTimeout: c.Timings.DialTimeout,
		Listener:    c.PeerListener,
		Dial:        c.PeerDial,
		Log:         operator.Part(c.Log, operator.PeerPart),
	}
}

func (c *Config) identity() handover.Identity {
	return handover.Identity{Router: c.routerID(), DataCentre: c.DataCentre, Key: c.PeerKey}
}

func (r *Router) coordinationConfig() coordination.Config {
	return coordination.Config{
		Self:        r.config.routerID(),
		DataCentre:  r.config.DataCentre,
		Peer:        r.config.peerConfig(),
		Timings:     r.config.Timings,
		Share:       r.share,
		Registered:  r.config.Source != nil,
		Log:         r.config.Log,
		Standings:   r.standings,
		Unserved:    r.unserved,
		Order:       r.config.Order,
		LocalQueues: r.config.LocalQueues,
	}
}

func (r *Router) configurationConfig() configuration.Config {
	return configuration.Config{
		Spread: spread.Config{
			Self:        r.config.routerID(),
			DataCentre:  r.config.DataCentre,
			Environment: r.config.Environment,
			Seed:        r.config.Seed,
		},
		Platform: r.config.Platform,
		Send:     r.coordinator.Tell,
		Adopt:    r.adopt,
		Log:      operator.Part(r.config.Log, operator.ConfigPart),
	}
}

// sourceNews passes what the configuration duty would hear of other routers to the source.
type sourceNews struct{ Source }

// SetMembers implements coordination.News; the source knows the routers already.
func (sourceNews) SetMembers([]spread.Member) {}
