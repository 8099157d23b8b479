package router

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/dispatch"
	"ryelug/core/lend"
	"ryelug/core/member"
	"ryelug/core/spread"
	"ryelug/io/caller"
	"ryelug/io/endpoint"
	"ryelug/io/peer"
	"ryelug/router/configuration"
	"ryelug/router/keyed"
	"ryelug/router/request"
)

// Timings are the intervals and limits of a router; all routers of an environment must have the same.
type Timings struct {
	Heartbeat       time.Duration
	LinkSilent      time.Duration
	DialTimeout     time.Duration
	StakeLease      time.Duration
	GrantValid      time.Duration
	LoadPoll        time.Duration
	LoadTimeout     time.Duration
	ReportLag       time.Duration
	ListLag         time.Duration
	CutOffAfter     time.Duration
	HostsPoll       time.Duration
	PlatformTimeout time.Duration
	BalancerLag     time.Duration
}

// DefaultTimings returns the timings of a router whose settings name none.
func DefaultTimings() Timings {
	return Timings{
		Heartbeat:       250 * time.Millisecond,
		LinkSilent:      750 * time.Millisecond,
		DialTimeout:     time.Second,
		StakeLease:      900 * time.Millisecond,
		GrantValid:      400 * time.Millisecond,
		LoadPoll:        250 * time.Millisecond,
		LoadTimeout:     time.Second,
		ReportLag:       500 * time.Millisecond,
		ListLag:         2 * time.Second,
		CutOffAfter:     2 * time.Second,
		HostsPoll:       500 * time.Millisecond,
		PlatformTimeout: 2 * time.Second,
		BalancerLag:     5 * time.Second,
	}
}

// Endpoints speaks to endpoints.
type Endpoints interface {
	request.Endpoints
	// Load asks an endpoint for its report.
	Load(ctx context.Context, address netip.AddrPort) (endpoint.Load, error)
}

// Hosts reads the platform's list of hosts.
type Hosts interface {
	Hosts(ctx context.Context) ([]member.Member, error)
}

// Config sets up a Router.
type Config struct {
	Host         cell.HostID
	Incarnation  string // Incarnation is new at each start of the process.
	DataCentre   string
	Environment  string
	Seed         uint64 // Seed sets the jitter of repeated reads.
	PeerKey      []byte
	PeerListener net.Listener
	PeerDial     func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Callers      caller.Config // Callers lacks its handler, which is the Router.
	CallersOn    net.Listener  // CallersOn may be nil in tests that call Serve.
	Platform     configuration.Platform
	Hosts        Hosts
	Endpoints    Endpoints
	Counter      request.Counter
	Keys         *keyed.Keeper    // Keys may be nil; then requests with an Idempotency-Key are refused.
	KeyedRate    float64          // KeyedRate bounds the fleet's requests with a key, a second.
	OldRecords   keyed.OldRecords // OldRecords may be nil; then this router deletes no old records of keys.
	Timings      Timings
	Log          logrus.FieldLogger

	Order       dispatch.Order // Order is nil for fair service; another one is a baseline for measurements.
	LocalQueues bool           // LocalQueues makes each router dispatch for itself with its own stake, a baseline.
}

func (c *Config) routerID() cell.RouterID {
	return cell.RouterID(string(c.Host) + "/" + c.Incarnation)
}

func (c *Config) memberConfig() member.Config {
	return member.Config{Self: c.Host, Lag: c.Timings.ListLag, CutOffAfter: c.Timings.CutOffAfter}
}

func (c *Config) lendConfig(id cell.ID) lend.Config {
	return lend.Config{
		Self:       c.routerID(),
		Cell:       id,
		StakeLease: c.Timings.StakeLease,
		GrantValid: c.Timings.GrantValid,
		Started:    time.Now(),
		Local:      c.LocalQueues,
	}
}

func (c *Config) dispatchConfig(id cell.ID) dispatch.Config {
	return dispatch.Config{Cell: id, Order: c.Order}
}

func (c *Config) peerConfig() peer.Config {
	return peer.Config{
		Self:        c.routerID(),
		DataCentre:  c.DataCentre,
		Key:         c.PeerKey,
		Heartbeat:   c.Timings.Heartbeat,
		Silent:      c.Timings.LinkSilent,
		DialTimeout: c.Timings.DialTimeout,
		Listener:    c.PeerListener,
		Dial:        c.PeerDial,
		Log:         c.Log.WithField("part", "peer"),
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
		Send:     r.send,
		Adopt:    r.adopt,
		Log:      r.config.Log.WithField("part", "config"),
	}
}
