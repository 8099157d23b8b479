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

	"ryelug/core/crossing"
	"ryelug/core/dispatch"
	"ryelug/core/holding"
	"ryelug/core/rollout"
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

// Dial opens a connection to an address; it gives up when ctx ends.
type Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// Config holds the settings and dependencies of a Process. The listeners must be open already.
type Config struct {
	Settings    *settings.Settings
	Callers     net.Listener
	Operator    net.Listener
	Peers       net.Listener
	Others      net.Listener // Others accepts connections that other routers hand over; it is nil if there are none.
	Log         logrus.FieldLogger
	Ring        *operator.Ring       // Ring is the buffer that the log is written to, read for the number of dropped lines; it may be nil.
	Seed        uint64               // Seed is the seed of the random jitter; zero means a random seed.
	Now         func() time.Duration // Now is a clock that also advances while the machine is suspended; nil means that of the machine.
	Dial        Dial                 // Dial opens all outgoing connections; nil means TCP.
	Usage       router.Usage         // Usage measures the processor usage; nil fields mean the figures of the system and the runtime.
	Order       dispatch.Order       // Order is the order in which queued requests are served: nil means fair queueing, others are baselines for comparison.
	LocalQueues bool                 // LocalQueues makes the router dispatch only its own requests, as a baseline for comparison.
}

// Process is a router with its clients, its metrics and the operators' server.
type Process struct {
	config    Config
	vars      *operator.Vars
	platform  *platform.Client
	registry  *users.Registry // registry is the client of the platform's registry, which holds the endpoints and the configuration if Settings.Registered is set; otherwise it is nil.
	router    *router.Router
	endpoints *endpoint.Client
	latencies *latencies
	operator  *operator.Server
	budget    *holding.Budget // budget bounds the bytes that are held for callers and endpoints; nil without a memory limit.
}

// New returns a Process; Run starts it.
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
	process := &Process{config: config, vars: operator.NewVars(), latencies: newLatencies(), budget: newBudget(config.Settings)}
	process.platform = platform.New(platform.Config{
		Address:     config.Settings.PlatformAddress,
		Environment: config.Settings.Environment,
		Dial:        platform.DialFunc(config.Dial),
	})
	process.router = process.newRouter()
	process.publishVars()
	process.operator = operator.New(operator.Config{
		Listener: config.Operator,
		Vars:     process.vars,
		Health:   process.Health,
		Log:      operator.Part(config.Log, operator.OperatorPart),
	})
	return process
}

// Run serves requests until ctx ends, then finishes those in progress. The operators' server answers until the
// router has stopped. Run returns the first error of the servers, and stops all of them if one fails.
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

// Router returns the router of the process.
func (p *Process) Router() *router.Router {
	return p.router
}

// platformCalls returns the number of calls to the platform since the start.
func (p *Process) platformCalls() int64 {
	if p.registry != nil {
		return p.registry.Calls()
	}
	return p.platform.Calls()
}

// malformedPlatformAnswers returns the number of answers of the platform rejected since the start because their head broke a rule.
func (p *Process) malformedPlatformAnswers() int64 {
	if p.registry != nil {
		return p.registry.MalformedAnswers()
	}
	return p.platform.MalformedAnswers()
}

// Health returns the state from which the health check decides whether the balancer should send requests here.
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
	// callerMemory is the memory per connection of a caller, in bytes: buffers for header and body, and two goroutines.
	callerMemory = 48 << 10
	// callerMemoryFraction is the fraction of MemoryLimit that callers' connections may take.
	callerMemoryFraction = 0.5
	// ownMemory is what a process needs for itself, in bytes: 18 MiB when idle, and growth of the tables and buffers of a fleet.
	ownMemory = 24 << 20
	// minHeldDivisor is the divisor of MemoryLimit that gives the least budget for callers and endpoints.
	minHeldDivisor = 8
	// stallAfter is the time without progress from which a body or response is evicted first when the budget is exhausted.
	stallAfter = time.Second
)

// newBudget returns the budget of the bytes that are held for callers and endpoints: what the garbage collector may use,
// less what the process needs for itself and the answers that are being read. It is nil without a memory limit.
func newBudget(given *settings.Settings) *holding.Budget {
	if given.MemoryLimit == 0 {
		return nil
	}
	limit := int64(given.MemoryLimit) << 20
	size := limit/4*3 - limit/heldMemoryDivisor - ownMemory
	return holding.New(holding.Config{Size: max(size, limit/minHeldDivisor), StallAfter: stallAfter})
}

// maxCallerConns returns the maximum number of callers' connections. It leaves half of the file descriptors, so that
// each request in progress may have a connection to an endpoint, and bounds the memory that the connections take.
func maxCallerConns(given *settings.Settings) int {
	most := given.MaxCallers
	if given.MaxDescriptors > 0 {
		most = min(most, given.MaxDescriptors/2)
	}
	if given.MemoryLimit > 0 {
		most = min(most, int(callerMemoryFraction*float64(given.MemoryLimit<<20))/callerMemory)
	}
	return most
}

func (p *Process) newRouter() *router.Router {
	given := p.config.Settings
	callers := caller.Config{
		ReadTimeout:     given.BodyTimeout,
		HandedOverGrace: given.HandedOverGrace,
		MaxHeader:       given.MaxHeader,
		MaxBody:         given.MaxBody,
		MaxConns:        maxCallerConns(given),
		BodyRate:        given.BodyRate,
		BodyGrace:       given.BodyGrace,
		WriteTimeout:    given.WriteTimeout,
		Budget:          p.budget,
		ConnMemory:      callerMemory,
	}
	routerConfig := router.Config{
		Host:             given.Host,
		Incarnation:      uuid.NewString(),
		DataCentre:       given.DataCentre,
		Environment:      given.Environment,
		Seed:             p.config.Seed,
		PeerKey:          given.PeerKey,
		PeerListener:     p.config.Peers,
		PeerDial:         p.config.Dial,
		Callers:          callers,
		CallerListener:   p.config.Callers,
		HandoverListener: p.config.Others,
		Platform:         p.platform,
		Hosts:            &hosts{platform: p.platform},
		Endpoints:        p.newEndpoints(endpoint.Dialect{}),
		Counter:          &counter{vars: p.vars, latencies: p.latencies},
		Keys:             keyed.New(keyed.Config{Records: p.platform, Retention: given.KeyedRetention}),
		KeyedRate:        float64(given.KeyedRate),
		OldRecords:       p.platform,
		Timings:          timings(given),
		Crossing:         crossing.Config{Mode: given.Crossing, ByteCost: given.CrossingByteCost},
		BalancerLag:      given.BalancerLag,
		ProcessorShare:   given.ProcessorShare,
		StrainLate:       given.StrainLate,
		Usage:            p.config.Usage,
		Log:              p.config.Log,
		Order:            p.config.Order,
		LocalQueues:      p.config.LocalQueues,
		Retries:          request.Config{RetryRatio: given.RetryRatio, RetryBurst: given.RetryBurst},
		Grace:            given.Grace,
	}
	if given.Registered {
		p.register(&routerConfig)
	}
	return router.New(routerConfig)
}

// minRetryShares is the minimum number of routers by which the retry budget of all routers is divided: a router that
// has just started does not know all the others yet, and deployments usually have six or seven.
const minRetryShares = 8

// register makes the router take endpoints, hosts and configuration from the platform's registry, and use the
// platform's protocols for callers and endpoints.
func (p *Process) register(routerConfig *router.Config) {
	given := p.config.Settings
	p.registry = users.New(users.Config{
		Store: given.PlatformAddress,
		Dial:  p.config.Dial,
		Self: users.Entry{
			Host: given.Host, Address: given.PeerAddress, DataCentre: given.DataCentre, Region: given.Region,
			Processor: int(given.ProcessorShare * 1000), Others: given.OthersAddress,
		},
		Cold:        users.ColdBound{Factor: given.ColdFactor, Slack: given.ColdSlack},
		Rollouts:    rollout.Bounds{Share: given.RolloutShare, Slack: int(given.RolloutSlack), Rollback: given.RolloutRollback},
		GrantValid:  given.GrantValid,
		RevokeBound: given.RevokeBound,
		Now:         p.config.Now,
		Log:         operator.Part(p.config.Log, operator.ConfigPart),
		Seed:        p.config.Seed,
	})
	routerConfig.Source, routerConfig.Hosts = p.registry, p.registry
	routerConfig.SaveSuspects = p.registry.SaveSuspects
	if given.RolloutShare > 0 {
		routerConfig.SetRollout = p.registry.SetRollout
	}
	routerConfig.Neighbours = p.registry.Neighbours
	routerConfig.Callers.Protocol = users.Callers()
	routerConfig.Endpoints = p.newEndpoints(users.Endpoints())
	routerConfig.Keys, routerConfig.OldRecords = nil, nil // The platform's callers send no Idempotency-Key.
	routerConfig.Retries.MinRouters, routerConfig.Retries.RetryWindow = minRetryShares, given.RetryWindow
	routerConfig.Retries.BackoffStart, routerConfig.Retries.BackoffLimit = minRetryBackoff, maxRetryBackoff
}

// Limits of the backoff before a request is retried at another endpoint. They are short because the latency objective
// of a request is a few hundred milliseconds.
const (
	minRetryBackoff = time.Millisecond
	maxRetryBackoff = 50 * time.Millisecond
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
		Budget:         p.budget,
		MaxBuffered:    given.MemoryLimit << 20 / heldMemoryDivisor,
	})
	return p.endpoints
}

// heldMemoryDivisor is the divisor of MemoryLimit that gives the memory for answers that are being read.
const heldMemoryDivisor = 8

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
