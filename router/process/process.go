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
	"ryelug/io/operator"
	"ryelug/io/platform"
	"ryelug/router"
	"ryelug/router/coordination"
	"ryelug/router/keyed"
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
	Log         logrus.FieldLogger
	Seed        uint64         // Seed sets the jitter; zero draws one.
	Dial        Dial           // Dial opens all connections; TCP when nil.
	Order       dispatch.Order // Order is nil for fair service; another one is a baseline.
	LocalQueues bool           // LocalQueues makes the router dispatch for itself, a baseline.
}

// Process is a router with all that belongs to its process.
type Process struct {
	config   Config
	vars     *operator.Vars
	platform *platform.Client
	router   *router.Router
	operator *operator.Server
}

// New returns a process that Run starts.
func New(config Config) *Process {
	if config.Dial == nil {
		config.Dial = dialTCP
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	process := &Process{config: config, vars: operator.NewVars()}
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

// Health tells whether the balancer should send requests.
func (p *Process) Health() operator.Health {
	health := p.router.Health()
	return operator.Health{
		Leaving:         health.Leaving,
		CutOff:          health.CutOff,
		NoConfiguration: !health.Configured,
		Generation:      health.Generation,
	}
}

func (p *Process) newRouter() *router.Router {
	given := p.config.Settings
	callers := caller.Config{
		ReadTimeout: given.BodyTimeout,
		MaxHeader:   given.MaxHeader,
		MaxBody:     given.MaxBody,
		MaxConns:    given.MaxCallers,
	}
	endpoints := endpoint.New(endpoint.Config{
		Dial:           p.config.Dial,
		ConnectTimeout: given.ConnectTimeout,
		AnswerTimeout:  given.AnswerTimeout,
		EventTimeout:   given.EventTimeout,
		IdleReuse:      given.IdleReuse,
	})
	return router.New(router.Config{
		Host:         given.Host,
		Incarnation:  uuid.NewString(),
		DataCentre:   given.DataCentre,
		Environment:  given.Environment,
		Seed:         p.config.Seed,
		PeerKey:      given.PeerKey,
		PeerListener: p.config.Peers,
		PeerDial:     p.config.Dial,
		Callers:      callers,
		CallersOn:    p.config.Callers,
		Platform:     p.platform,
		Hosts:        &hosts{platform: p.platform},
		Endpoints:    endpoints,
		Counter:      &counter{vars: p.vars},
		Keys:         keyed.New(keyed.Config{Records: p.platform, Retention: given.KeyedRetention}),
		KeyedRate:    float64(given.KeyedRate),
		OldRecords:   p.platform,
		Timings:      timings(given),
		BalancerLag:  given.BalancerLag,
		Log:          p.config.Log,
		Order:        p.config.Order,
		LocalQueues:  p.config.LocalQueues,
	})
}

func timings(given *settings.Settings) coordination.Timings {
	timings := coordination.DefaultTimings()
	timings.Heartbeat = given.Heartbeat
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
