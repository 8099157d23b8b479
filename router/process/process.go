package process

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"ryelug/core/dispatch"
	"ryelug/io/caller"
	"ryelug/io/endpoint"
	"ryelug/io/listener"
	"ryelug/io/operator"
	"ryelug/io/platform"
	users "ryelug/platform"
	"ryelug/router"
	"ryelug/router/coordination"
	"ryelug/router/keyed"
	"ryelug/router/request"
	"ryelug/router/settings"
)

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Config is what a Process is made of; listeners must be open already.
type Config struct {
	Settings    *settings.Settings
	Callers     net.Listener
	Operator    net.Listener
	Peers       net.Listener
	Others      net.Listener // Others takes connections that other routers hand over; it may be nil.
	Log         logrus.FieldLogger
	Ring        *operator.Ring       // Ring is what the log is written to; it may be nil.
	Seed        uint64               // Seed sets the jitter; zero draws one.
	Now         func() time.Duration // Now is the clock that counts suspensions; that of the machine when nil.
	Dial        Dial                 // Dial opens all connections; TCP when nil.
	Usage       router.Usage         // Usage tells what the process uses; what the system and the runtime tell when its fields are nil.
	Order       dispatch.Order       // Order is nil for fair service; another one is a baseline.
	LocalQueues bool                 // LocalQueues makes the router dispatch for itself, a baseline.
}

// Process is a router with all that belongs to its process.
type Process struct {
	config    Config
	vars      *operator.Vars
	platform  *platform.Client
	registry  *users.Registry // registry is nil unless the platform registers the endpoints.
	router    *router.Router
	endpoints *endpoint.Client
	latencies *latencies
	operator  *operator.Server
}

// New returns a process that Run starts.
func New(config Config) *Process {
	if config.Dial == nil {
		config.Dial = dialTCP
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	for _, one := range []*net.Listener{&config.Callers, &config.Operator, &config.Peers, &config.Others} {
		if *one != nil {
			*one = listener.New(listener.Config{Listener: *one, Log: operator.Part(config.Log, operator.ListenerPart)})
		}
	}
	process := &Process{config: config, vars: operator.NewVars(), latencies: newLatencies()}
	process.platform = platform.New(platform.Config{
		Address:     config.Settings.PlatformAddress,
		Environment: config.Settings.Environment,
		Dial:        platform.DialFunc(config.Dial),
	})
	process.router = process.newRouter()
	process.publish()
	process.operator = operator.New(operator.Config{
		Listener: config.Operator,
		Vars:     process.vars,
		Health:   process.Health,
		Log:      operator.Part(config.Log, operator.OperatorPart),
	})
	return process
}

// Run serves until ctx ends and all requests are finished; operators are answered to the end.
func (p *Process) Run(ctx context.Context) error {
	defer p.platform.Close()
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, working := errgroup.WithContext(working)
	group.Go(func() error { return p.operator.Run(working) })
	group.Go(func() error { return p.logLoad(working) })
	group.Go(func() error {
		defer stop()
		leave, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(working, cancel)()
		return p.router.Run(leave)
	})
	return group.Wait()
}

// Router returns the router.
func (p *Process) Router() *router.Router {
	return p.router
}

// platformCalls returns the number of calls to the platform so far.
func (p *Process) platformCalls() int64 {
	if p.registry != nil {
		return p.registry.Calls()
	}
	return p.platform.Calls()
}

// Health tells whether the balancer should send requests.
func (p *Process) Health() operator.Health {
	health := p.router.Health()
	return operator.Health{
		Leaving:         health.Leaving,
		Strained:        health.Strained,
		CutOff:          health.CutOff,
		NoConfiguration: !health.Configured,
		Generation:      health.Generation,
	}
}

const (
	// callerMemory is what a caller's connection takes: buffers of a header and a body, and two goroutines.
	callerMemory = 48 << 10
	// callerPart is the part of the memory that callers' connections may take.
	callerPart = 0.5
)

// mostCallers bounds the callers' connections, so that each request at hand may have one to an endpoint, and by
// the memory that they take.
func mostCallers(given *settings.Settings) int {
	most := given.MaxCallers
	if given.MaxDescriptors > 0 {
		most = min(most, given.MaxDescriptors/2)
	}
	if given.MemoryLimit > 0 {
		most = min(most, int(callerPart*float64(given.MemoryLimit<<20))/callerMemory)
	}
	return most
}

func (p *Process) newRouter() *router.Router {
	given := p.config.Settings
	callers := caller.Config{
		ReadTimeout: given.BodyTimeout,
		MaxHeader:   given.MaxHeader,
		MaxBody:     given.MaxBody,
		MaxConns:    mostCallers(given),
	}
	own := router.Config{
		Host:           given.Host,
		Incarnation:    uuid.NewString(),
		DataCentre:     given.DataCentre,
		Environment:    given.Environment,
		Seed:           p.config.Seed,
		PeerKey:        given.PeerKey,
		PeerListener:   p.config.Peers,
		PeerDial:       p.config.Dial,
		Callers:        callers,
		CallersOn:      p.config.Callers,
		OthersOn:       p.config.Others,
		Platform:       p.platform,
		Hosts:          &hosts{platform: p.platform},
		Endpoints:      p.newEndpoints(endpoint.Dialect{}),
		Counter:        &counter{vars: p.vars, latencies: p.latencies},
		Keys:           keyed.New(keyed.Config{Records: p.platform, Retention: given.KeyedRetention}),
		KeyedRate:      float64(given.KeyedRate),
		OldRecords:     p.platform,
		Timings:        timings(given),
		BalancerLag:    given.BalancerLag,
		ProcessorShare: given.ProcessorShare,
		StrainLate:     given.StrainLate,
		Usage:          p.config.Usage,
		Log:            p.config.Log,
		Order:          p.config.Order,
		LocalQueues:    p.config.LocalQueues,
		Retries:        request.Config{RetryRatio: given.RetryRatio, RetryBurst: given.RetryBurst},
		Grace:          given.Grace,
	}
	if given.Registered {
		p.register(&own)
	}
	return router.New(own)
}

// leastShares is the least number of routers that share the retries of the fleet: a router that has just
// started does not know of all the others, and the usual deployments have six or seven.
const leastShares = 8

// register makes the router take what is in force from the users' platform.
func (p *Process) register(own *router.Config) {
	given := p.config.Settings
	p.registry = users.New(users.Config{
		Store: given.PlatformAddress,
		Dial:  p.config.Dial,
		Self: users.Entry{
			Host: given.Host, Address: given.PeerAddress, DataCentre: given.DataCentre, Region: given.Region,
			Processor: int(given.ProcessorShare * 1000), Others: given.OthersAddress,
		},
		Cold:        users.ColdBound{Factor: given.ColdFactor, Slack: given.ColdSlack},
		RevokeBound: given.RevokeBound,
		Now:         p.config.Now,
		Log:         operator.Part(p.config.Log, operator.ConfigPart),
		Seed:        p.config.Seed,
	})
	own.Source, own.Hosts = p.registry, p.registry
	own.Neighbours = p.registry.Neighbours
	own.Callers.Protocol = users.Callers()
	own.Endpoints = p.newEndpoints(users.Endpoints())
	own.Keys, own.OldRecords = nil, nil // The platform's callers send no Idempotency-Key.
	own.Retries.LeastShares = leastShares
	own.Retries.BackoffStart, own.Retries.BackoffLimit = firstRetry, slowestRetry
}

// Pauses before a request goes to another endpoint, whose objective is a few hundred milliseconds.
const (
	firstRetry   = time.Millisecond
	slowestRetry = 50 * time.Millisecond
)

func (p *Process) newEndpoints(dialect endpoint.Dialect) *endpoint.Client {
	given := p.config.Settings
	p.endpoints = endpoint.New(endpoint.Config{
		Dialect:        dialect,
		Dial:           p.config.Dial,
		ConnectTimeout: given.ConnectTimeout,
		AnswerTimeout:  given.AnswerTimeout,
		FirstTimeout:   max(given.EventTimeout, given.AnswerTimeout),
		EventTimeout:   given.EventTimeout,
		IdleReuse:      given.IdleReuse,
		MaxHeld:        given.MemoryLimit << 20 / heldPart,
	})
	return p.endpoints
}

// heldPart divides the memory of the process into what answers that are being read may take, and the rest.
const heldPart = 8

func timings(given *settings.Settings) coordination.Timings {
	timings := coordination.DefaultTimings()
	timings.Heartbeat = given.Heartbeat
	timings.IdleHeartbeat = given.IdleHeartbeat
	timings.LinkSilent = given.LinkSilent
	timings.DialTimeout = given.DialTimeout
	timings.StakeLease = given.StakeLease
	timings.GrantValid = given.GrantValid
	timings.LoadPoll = given.LoadPoll
	timings.ReportLag = given.ReportLag
	timings.ListLag = given.ListLag
	timings.CutOffAfter = given.CutOffAfter
	return timings
}

const dialTimeout = 2 * time.Second

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address.String())
}
