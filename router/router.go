package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"ryelug/core/config"
	"ryelug/core/due"
	"ryelug/core/intake"
	"ryelug/io/caller"
	"ryelug/io/handover"
	"ryelug/io/operator"
	"ryelug/io/pause"
	"ryelug/router/configuration"
	"ryelug/router/coordination"
	"ryelug/router/directory"
	"ryelug/router/poll"
	"ryelug/router/request"
)

// Router is one router process.
type Router struct {
	config        *Config
	log           logrus.FieldLogger
	requestLog    logrus.FieldLogger
	coordinator   *coordination.Coordinator
	configuration *configuration.Duty
	runner        *request.Runner
	callers       *caller.Server
	directory     atomic.Pointer[directory.Directory]
	leaving       atomic.Bool
	desk          *intake.Desk
	standings     *due.Standings
	unserved      *due.Unserved
	handOvers     *handover.Dialer
	early         *earlyRefusals
	handedOver    atomic.Int64

	gate     sync.Mutex
	closed   bool // closed tells that no further request is taken.
	requests sync.WaitGroup
}

// New returns a Router that Run starts.
func New(conf Config) *Router {
	r := &Router{
		config:     &conf,
		log:        operator.Part(conf.Log, operator.RouterPart),
		requestLog: operator.Part(conf.Log, operator.RequestPart),
		standings:  &due.Standings{},
		unserved:   &due.Unserved{},
	}
	r.desk = intake.New(intake.Config{
		StrainLate: conf.StrainLate, ProcessorShare: conf.ProcessorShare, BalancerLag: conf.BalancerLag,
		Standings: r.standings, Unserved: r.unserved,
	})
	r.early = newEarlyRefusals(r.requestLog, conf.DataCentre)
	r.coordinator = coordination.New(r.coordinationConfig())
	r.configuration = configuration.New(r.configurationConfig())
	r.runner = request.New(request.Config{
		Endpoints: conf.Endpoints,
		Grants:    &grants{coordinator: r.coordinator},
		Counter:   conf.Counter,
		Keys:      conf.Keys,
		Log:       r.requestLog,

		RetryRatio:   conf.Retries.RetryRatio,
		RetryBurst:   conf.Retries.RetryBurst,
		LeastShares:  conf.Retries.LeastShares,
		BackoffStart: conf.Retries.BackoffStart,
		BackoffLimit: conf.Retries.BackoffLimit,
	})
	conf.Callers.Handler = r
	conf.Callers.Refused = conf.Counter.Refused
	conf.Callers.Panicked = r.panicked
	conf.Callers.Shed = r.shed
	conf.Callers.Late, conf.Callers.Busy = r.late, r.desk.IsBusy
	if conf.Neighbours != nil {
		r.handOvers = handover.NewDialer(handover.DialerConfig{
			Identity: conf.identity(), Dial: conf.PeerDial, Log: operator.Part(conf.Log, operator.PeerPart),
		})
		conf.Callers.Elsewhere = r.relay
	}
	r.callers = caller.New(conf.Callers)
	return r
}

// Run serves until ctx ends, then shuts down without cutting a request.
func (r *Router) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	r.start(work, group)
	group.Go(func() error {
		select {
		case <-ctx.Done():
			r.shutDown(work)
		case <-work.Done(): // A duty has failed.
		}
		stop()
		return nil
	})
	return group.Wait()
}

// start starts the duties.
func (r *Router) start(ctx context.Context, group *errgroup.Group) {
	loads := poll.NewLoads(poll.LoadsConfig{
		Endpoints: r.config.Endpoints, Coordinator: r.coordinator, Timings: r.config.Timings,
	})
	watching := r.configuration.Watching
	if r.config.Source != nil {
		watching = func() bool { return true } // The list is at hand here.
	}
	hosts := poll.NewHosts(poll.HostsConfig{
		List: r.config.Hosts, Coordinator: r.coordinator, Watching: watching,
		Timings: r.config.Timings, Seed: r.config.Seed, Log: operator.Part(r.config.Log, operator.MemberPart),
	})
	var news coordination.News = r.configuration
	if r.config.Source != nil {
		r.config.Source.Connect(r.coordinator.Tell)
		news = sourceNews{r.config.Source}
	}
	group.Go(func() error { return r.coordinator.Run(ctx, news) })
	if r.config.Source != nil {
		group.Go(func() error { return r.config.Source.Run(ctx, r.put) })
	} else {
		group.Go(func() error { return r.configuration.Run(ctx) })
	}
	group.Go(func() error { return loads.Run(ctx) })
	group.Go(func() error { return hosts.Run(ctx) })
	r.startSweeper(ctx, group)
	if r.desk.Watches() {
		group.Go(func() error { return r.watchStrain(ctx) })
	}
	if r.config.CallersOn != nil {
		group.Go(func() error { return r.callers.Serve(r.config.CallersOn) })
	}
	if r.config.OthersOn != nil {
		r.startOthers(ctx, group)
	}
	if r.handOvers != nil {
		group.Go(func() error { return r.watchNeighbours(ctx) })
	}
}

// startOthers serves what other routers hand over.
func (r *Router) startOthers(ctx context.Context, group *errgroup.Group) {
	acceptor := handover.NewAcceptor(handover.AcceptorConfig{
		Listener: r.config.OthersOn, Identity: r.config.identity(), Log: operator.Part(r.config.Log, operator.PeerPart),
		Load: func() int { return r.loadToOthers(time.Now()) },
	})
	group.Go(func() error { return acceptor.Run(ctx) })
	group.Go(func() error { return r.callers.ServeOthers(acceptor) })
}

// shutDown leaves gracefully: the balancer and the peers are told, the
// dispatcher role is given away, and all requests finish.
func (r *Router) shutDown(ctx context.Context) {
	r.log.Info("The router leaves.")
	if r.config.Grace > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.config.Grace)
		defer cancel()
	}
	r.leaving.Store(true)
	r.callers.Leave()
	r.coordinator.Depart(ctx)
	pause.For(ctx, r.config.BalancerLag)
	r.closeGate()
	r.awaitRequests(ctx)
	if r.config.CallersOn != nil {
		if err := r.callers.Shutdown(ctx); err != nil {
			r.log.WithError(err).Warn("The callers' server did not close in order.")
		}
	}
	pause.For(ctx, lastWords)
	r.coordinator.Farewell(ctx)
	pause.For(ctx, lastWords)
	r.log.Info("The router has left.")
}

// awaitRequests waits until all requests are finished, or the grace is over.
func (r *Router) awaitRequests(ctx context.Context) {
	finished := make(chan struct{})
	go func() {
		r.requests.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		r.log.Warn("Requests still run at the end of the grace.")
	}
}

// lastWords is the time in which the last messages reach the other routers.
const lastWords = 100 * time.Millisecond

func (r *Router) closeGate() {
	r.gate.Lock()
	defer r.gate.Unlock()
	r.closed = true
}

// adopt puts a generation of the configuration in force.
func (r *Router) adopt(generation uint64, doc *config.Document) {
	r.put(directory.New(generation, doc))
}

func (r *Router) put(next *directory.Directory) {
	r.directory.Store(next)
	r.coordinator.Adopt(next)
}

// isCutOff tells whether what is in force here may be out of date, or the fleet out of reach.
func (r *Router) isCutOff() bool {
	if r.config.Source != nil {
		return r.config.Source.Stale()
	}
	return r.coordinator.CutOff()
}

// Health tells the balancer whether this router takes requests.
func (r *Router) Health() Health {
	return Health{
		Leaving:    r.leaving.Load(),
		Strained:   !r.desk.IsReady(time.Now()) || r.callers.IsCrowded(),
		CutOff:     r.isCutOff(),
		Configured: r.directory.Load() != nil,
		Generation: r.generation(),
	}
}

// Health is what decides whether the balancer should send requests here.
type Health struct {
	Leaving    bool
	Strained   bool // Strained tells that the process does not keep up with its work, or has hardly any connections left for callers.
	CutOff     bool
	Configured bool
	Generation uint64
}

func (r *Router) generation() uint64 {
	if d := r.directory.Load(); d != nil {
		return d.Generation
	}
	return 0
}

// View returns the coordination state, and false if ctx ends first.
func (r *Router) View(ctx context.Context) (coordination.View, bool) { return r.coordinator.View(ctx) }
