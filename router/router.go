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

// Router is one router of the fleet: an entry for callers and a dispatcher of cells. A process has one.
type Router struct {
	config         *Config
	log            logrus.FieldLogger // log is for events of the router as a whole.
	requestLog     logrus.FieldLogger // requestLog is for events of single requests.
	coordinator    *coordination.Coordinator
	configuration  *configuration.Syncer
	runner         *request.Runner
	callers        *caller.Server
	directory      atomic.Pointer[directory.Directory] // directory is the configuration in force; nil before the first one.
	former         formerDirectories                   // former holds the last directories of older versions.
	leaving        atomic.Bool                         // leaving is set when the shutdown begins; requests are still accepted then, see closed.
	admission      *intake.Controller                  // admission decides, from the load of this router, whether it serves, hands over or refuses a request.
	standings      *due.Standings                      // standings holds which teams receive less than their share, as dispatchers reported.
	unserved       *due.Unserved                       // unserved sums up, for the dispatchers, the requests that were refused without asking them.
	handoverDialer *handover.Dialer                    // handoverDialer is nil if Config.Neighbours is.
	handoverTaker  *handover.Acceptor                  // handoverTaker is nil if Config.HandoverListener is.
	earlyLog       *earlyRefusalLog                    // earlyLog logs requests that are refused before a dispatcher is asked.
	unanswered     *unansweredLog                      // unanswered logs connections that end without an answer.
	evicted        *evictedLog                         // evicted logs requests and responses that are ended for the memory that they take.
	handedOver     atomic.Int64                        // handedOver counts connections that were handed over to other routers.

	closedMu sync.Mutex     // closedMu guards closed, and orders requests.Add before requests.Wait.
	closed   bool           // closed is set once the shutdown stops accepting requests.
	requests sync.WaitGroup // requests counts the requests in progress.
}

// New returns a Router that does nothing until Run is called.
func New(conf Config) *Router {
	r := &Router{
		config:     &conf,
		log:        operator.Part(conf.Log, operator.RouterPart),
		requestLog: operator.Part(conf.Log, operator.RequestPart),
		standings:  &due.Standings{},
		unserved:   &due.Unserved{},
	}
	r.admission = intake.New(intake.Config{
		StrainLate: conf.StrainLate, ProcessorShare: conf.ProcessorShare, BalancerLag: conf.BalancerLag,
		Standings: r.standings, Unserved: r.unserved,
	})
	r.earlyLog = newEarlyRefusalLog(r.requestLog, conf.DataCentre)
	r.unanswered = newUnansweredLog(r.requestLog)
	r.evicted = newEvictedLog(r.requestLog)
	r.coordinator = coordination.New(r.coordinationConfig())
	r.configuration = configuration.New(r.configurationConfig())
	r.runner = request.New(request.Config{
		Endpoints: conf.Endpoints,
		Grants:    &grants{coordinator: r.coordinator, directory: r.directory.Load},
		Counter:   conf.Counter,
		Keys:      conf.Keys,
		Log:       r.requestLog,

		RetryRatio:   conf.Retries.RetryRatio,
		RetryBurst:   conf.Retries.RetryBurst,
		MinRouters:   conf.Retries.MinRouters,
		RetryWindow:  conf.Retries.RetryWindow,
		BackoffStart: conf.Retries.BackoffStart,
		BackoffLimit: conf.Retries.BackoffLimit,
	})
	conf.Callers.Handler = r
	conf.Callers.Refused = conf.Counter.Refused
	conf.Callers.Panicked = r.panicked
	conf.Callers.Unanswered = r.unanswered.record
	conf.Callers.Evicted = r.evicted.record
	conf.Callers.Shed = r.shed
	conf.Callers.Late, conf.Callers.Busy = r.schedulingDelay, r.admission.IsBusy
	if conf.Neighbours != nil {
		r.handoverDialer = handover.NewDialer(handover.DialerConfig{
			Identity: conf.identity(), Dial: conf.PeerDial, Log: operator.Part(conf.Log, operator.PeerPart),
		})
		conf.Callers.Elsewhere, conf.Callers.Timeout = r.chooseHandover, r.timeoutOf
	}
	if conf.HandoverListener != nil {
		r.handoverTaker = handover.NewAcceptor(handover.AcceptorConfig{
			Listener: conf.HandoverListener, Identity: conf.identity(), Log: operator.Part(conf.Log, operator.PeerPart),
			Load:   func() int { return r.advertisedLoad(time.Now()) },
			Serves: func(version uint64) bool { return r.directoryFor(version) != nil },
		})
	}
	r.callers = caller.New(conf.Callers)
	return r
}

// Run serves requests until ctx ends, then shuts down gracefully: requests in progress may finish within
// Config.Grace. It returns early, with the error, if one of the router's goroutines fails.
func (r *Router) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	r.start(work, group)
	group.Go(func() error {
		select {
		case <-ctx.Done():
			r.shutDown(work)
		case <-work.Done(): // One of the goroutines has failed.
		}
		stop()
		return nil
	})
	return group.Wait()
}

// start starts the goroutines of the router in group.
func (r *Router) start(ctx context.Context, group *errgroup.Group) {
	loads := poll.NewLoads(poll.LoadsConfig{
		Endpoints: r.config.Endpoints, Coordinator: r.coordinator, Timings: r.config.Timings,
	})
	watching := r.configuration.Watching
	if r.config.Source != nil {
		watching = func() bool { return true } // The source already holds the list, so reading it costs the platform nothing.
	}
	hosts := poll.NewHosts(poll.HostsConfig{
		List: r.config.Hosts, Coordinator: r.coordinator, Watching: watching,
		Timings: r.config.Timings, Seed: r.config.Seed, Log: operator.Part(r.config.Log, operator.MemberPart),
	})
	var listener coordination.News = r.configuration
	if r.config.Source != nil {
		r.config.Source.Connect(r.coordinator.Tell)
		listener = sourceListener{r.config.Source}
	}
	group.Go(func() error { return r.coordinator.Run(ctx, listener) })
	if r.config.Source != nil {
		group.Go(func() error { return r.config.Source.Run(ctx, r.applyDirectory) })
	} else {
		group.Go(func() error { return r.configuration.Run(ctx) })
	}
	group.Go(func() error { return loads.Run(ctx) })
	group.Go(func() error { return hosts.Run(ctx) })
	r.startSweeper(ctx, group)
	if r.admission.TracksDelay() {
		group.Go(func() error { return r.watchOverload(ctx) })
	}
	if r.config.CallerListener != nil {
		group.Go(func() error { return r.callers.Serve(r.config.CallerListener) })
	}
	if r.handoverTaker != nil {
		group.Go(func() error { return r.handoverTaker.Run(ctx) })
		group.Go(func() error { return r.callers.ServeOthers(r.handoverTaker) })
	}
	if r.handoverDialer != nil {
		group.Go(func() error { return r.refreshNeighbours(ctx) })
	}
}

// closingReserve is the part of Config.Grace that is kept for ending the requests that are still in progress.
const closingReserve = 250 * time.Millisecond

// shutDown leaves in steps: health checks fail and other routers take over this one's dispatching; after
// BalancerLag, the listener and idle connections close, requests are refused, and those in progress finish; shortly before
// the end of Config.Grace the callers' server ends those that are left; finally the other routers are told that this one is
// gone. If Config.Grace runs out or ctx ends, it stops waiting.
func (r *Router) shutDown(ctx context.Context) {
	r.log.Info("The router leaves.")
	patient := ctx
	if r.config.Grace > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.config.Grace)
		defer cancel()
		patient, cancel = context.WithTimeout(ctx, r.config.Grace-min(closingReserve, r.config.Grace/2))
		defer cancel()
	}
	r.leaving.Store(true)
	r.callers.Drain()
	r.coordinator.Depart(ctx)
	pause.For(patient, r.config.BalancerLag)
	r.stopAccepting()
	r.callers.Retire()
	r.awaitRequests(patient)
	if r.config.CallerListener != nil {
		if err := r.callers.Shutdown(ctx); err != nil {
			r.log.WithError(err).Warn("The callers' server was not shut down cleanly.")
		}
	}
	pause.For(ctx, finalMessageWait)
	r.coordinator.Farewell(ctx)
	pause.For(ctx, finalMessageWait)
	r.log.Info("The router has left.")
}

// awaitRequests waits until all requests have finished, or until ctx ends.
func (r *Router) awaitRequests(ctx context.Context) {
	finished := make(chan struct{})
	go func() {
		r.requests.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		r.log.Warn("Requests are still in progress near the end of the grace period.")
	}
}

// finalMessageWait is how long the shutdown waits for queued messages to reach the other routers.
const finalMessageWait = 100 * time.Millisecond

// stopAccepting makes the router refuse all further requests.
func (r *Router) stopAccepting() {
	r.closedMu.Lock()
	defer r.closedMu.Unlock()
	r.closed = true
}

// applyDocument puts a generation of the configuration document into force.
func (r *Router) applyDocument(generation uint64, doc *config.Document) {
	r.applyDirectory(directory.New(generation, doc))
}

// applyDirectory puts a directory into force for new requests and for coordination. Other routers hear of its version before any
// request is served by it, so that what is passed on to them is not served by an older one.
func (r *Router) applyDirectory(next *directory.Directory) {
	last := r.directory.Load()
	if last != nil && last.Version != next.Version {
		r.former.add(time.Now(), last)
	}
	if last == nil || last.Version != next.Version {
		r.tellVersion(next.Version)
	}
	r.directory.Store(next)
	r.coordinator.Adopt(next)
}

// isCutOff reports whether this router must not accept requests that need a caller's key: its configuration may be
// out of date, or it can reach neither the platform nor most other routers.
func (r *Router) isCutOff() bool {
	if r.config.Source != nil {
		return r.config.Source.Stale()
	}
	return r.coordinator.IsCutOff()
}

// Health returns the state that the health check for the balancer is based on.
func (r *Router) Health() Health {
	return Health{
		Leaving:    r.leaving.Load(),
		Strained:   !r.admission.IsReady(time.Now()) || r.callers.IsCrowded(),
		CutOff:     r.isCutOff(),
		Configured: r.directory.Load() != nil,
		Generation: r.generation(),
	}
}

// Health holds what decides whether the balancer should send callers to this router.
type Health struct {
	Leaving    bool   // Leaving reports whether the router is shutting down.
	Strained   bool   // Strained reports whether the process is overloaded, or has nearly used up its connections for callers.
	CutOff     bool   // CutOff reports whether the router may send no new work, because it is out of contact or its directory is stale.
	Configured bool   // Configured reports whether a configuration is in force.
	Generation uint64 // Generation is that of the configuration in force; zero if there is none.
}

// generation returns the generation of the configuration in force; zero if there is none.
func (r *Router) generation() uint64 {
	if d := r.directory.Load(); d != nil {
		return d.Generation
	}
	return 0
}

// View returns a snapshot of the coordination state; false if ctx or the coordinator ends first.
func (r *Router) View(ctx context.Context) (coordination.View, bool) { return r.coordinator.View(ctx) }
