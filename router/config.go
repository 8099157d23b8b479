package router

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/crossing"
	"ryelug/core/dispatch"
	"ryelug/core/neighbour"
	"ryelug/core/rollout"
	"ryelug/core/spread"
	"ryelug/core/suspect"
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

// Endpoints sends requests to endpoints and reads their load reports.
type Endpoints interface {
	request.Endpoints
	poll.Endpoints
}

// Source supplies the routing directory where the platform itself registers the endpoints (setting "registered"),
// in place of the environment's configuration document.
type Source interface {
	// Run calls adopt with the first directory and after each change, one call at a time, until ctx ends.
	Run(ctx context.Context, adopt func(*directory.Directory)) error
	// Received handles a message from another router about platform objects; it must not block.
	Received(from cell.RouterID, message wire.Message)
	// PeerUp is called when a link to a router has been established.
	PeerUp(router cell.RouterID)
	// PeerDown is called when the last link to a router has closed.
	PeerDown(router cell.RouterID)
	// Connect is called once, before Run, with the function that sends messages to other routers, which must not
	// block.
	Connect(send func(to cell.RouterID, message wire.Message))
	// Stale reports whether the directory passed to adopt may be out of date. While it is, the router rejects every
	// request that needs a caller's key.
	Stale() bool
}

// Usage holds the functions that measure the processor use of this process. A nil function is replaced by the
// default that its field names.
type Usage struct {
	// Waited returns how long runnable work waited for the processor since the last call;
	// the default reads the Go scheduler's latency histogram.
	Waited func() time.Duration
	// Processor returns the processor time that the process has used so far; the default asks the operating system.
	Processor func() (time.Duration, error)
}

// SaveSuspects has a cell's record of the prompt parts that crash engines written to the store; standsIn tells that this router is
// not the cell's dispatcher.
type SaveSuspects func(id cell.ID, record suspect.Record, standsIn bool)

// Config configures a Router.
type Config struct {
	Host         cell.HostID  // Host is the name under which the platform lists this host.
	Incarnation  string       // Incarnation distinguishes this start of the process from earlier ones on the same host.
	DataCentre   string       // DataCentre is the data centre that this host is in.
	Environment  string       // Environment names the deployment whose configuration this router follows.
	Seed         uint64       // Seed seeds the jitter between retried reads of the platform.
	PeerKey      []byte       // PeerKey is the secret that authenticates routers to each other.
	PeerListener net.Listener // PeerListener accepts the links of other routers.
	// PeerDial connects to the PeerListener or HandoverListener of another router.
	PeerDial         func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Callers          caller.Config                      // Callers configures the server for callers; New sets its handler and callbacks.
	CallerListener   net.Listener                       // CallerListener accepts connections from callers; nil in tests that call Serve directly.
	HandoverListener net.Listener                       // HandoverListener accepts callers' connections that other routers hand over; nil accepts none.
	Neighbours       func() []neighbour.Router          // Neighbours returns the routers to which this one may hand connections over; nil disables handing over.
	Platform         configuration.Platform             // Platform stores the configuration document; unused when Source is set.
	Source           Source                             // Source replaces the configuration document as the source of the directory; nil where the document is used.
	Hosts            poll.Lister                        // Hosts reads the platform's list of hosts.
	Endpoints        Endpoints                          // Endpoints sends requests to endpoints and reads their load reports.
	Counter          request.Counter                    // Counter counts the outcomes of requests for the metrics.
	Keys             *keyed.Keeper                      // Keys keeps the records of idempotency keys; if nil, requests with an Idempotency-Key are refused.
	KeyedRate        float64                            // KeyedRate limits the requests with an Idempotency-Key of all routers together, in requests per second.
	OldRecords       keyed.OldRecords                   // OldRecords finds and deletes expired records of idempotency keys; if nil, this router deletes none.
	Timings          coordination.Timings               // Timings holds the intervals and timeouts of coordination; equal on all routers of the environment.
	SetRollout       func(rollout.Order, rollout.State) // SetRollout has the state of a roll-out written to the store, for its judge; nil if there are no roll-outs.
	SaveSuspects     SaveSuspects                       // SaveSuspects writes the records of the prompt parts that crash engines to the store; nil if there is none.
	Crossing         crossing.Config                    // Crossing says how dispatchers decide on requests for other data centres.
	Retries          request.Config                     // Retries supplies the retry limits and the backoff; its other fields are ignored.
	Grace            time.Duration                      // Grace limits the duration of the shutdown; zero is no limit.
	ProcessorShare   float64                            // ProcessorShare is how much processor this process may use, in cores; zero means unknown.
	StrainLate       time.Duration                      // StrainLate is the scheduling delay from which the process counts as overloaded, so that new requests are refused or go to other routers; zero disables that.
	Usage            Usage                              // Usage measures the processor use of this process.
	BalancerLag      time.Duration                      // BalancerLag is how long the balancer takes to notice that this router is leaving.
	Log              logrus.FieldLogger                 // Log receives the log lines of all parts of the router.

	Order       dispatch.Order // Order picks the next request among waiting ones; nil is fair queueing by team share, others are baselines for measurements.
	LocalQueues bool           // LocalQueues makes each router dispatch for itself, with its own part of each endpoint's limit; a baseline for measurements.
}

// routerID returns the ID of this process, which is unique across restarts of the host.
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

// identity returns how this router introduces itself on links that carry handed-over connections.
func (c *Config) identity() handover.Identity {
	return handover.Identity{Router: c.routerID(), DataCentre: c.DataCentre, Key: c.PeerKey}
}

func (r *Router) coordinationConfig() coordination.Config {
	return coordination.Config{
		Self:         r.config.routerID(),
		DataCentre:   r.config.DataCentre,
		Peer:         r.config.peerConfig(),
		Timings:      r.config.Timings,
		Crossing:     r.config.Crossing,
		SetFleetSize: r.divideFleetLimits,
		Registered:   r.config.Source != nil,
		Log:          r.config.Log,
		Standings:    r.standings,
		Unserved:     r.unserved,
		SetRollout:   r.config.SetRollout,
		SaveSuspects: r.config.SaveSuspects,
		Order:        r.config.Order,
		LocalQueues:  r.config.LocalQueues,
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
		Adopt:    r.applyDocument,
		Log:      operator.Part(r.config.Log, operator.ConfigPart),
	}
}

// sourceListener delivers to a Source the notifications that coordination sends to the configuration goroutine
// where the configuration document is used.
type sourceListener struct{ Source }

// SetMembers implements coordination.News. It ignores the members, since a Source learns of the routers by itself.
func (sourceListener) SetMembers([]spread.Member) {}
