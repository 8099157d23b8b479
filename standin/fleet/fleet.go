package fleet

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"ryelug/core/config"
	"ryelug/core/dispatch"
	platformclient "ryelug/io/platform"
	"ryelug/router/publish"
	"ryelug/standin/engine"
	"ryelug/standin/network"
	"ryelug/standin/platform"
	"ryelug/standin/service"
)

// Names that all fleets share.
const (
	Environment = "trial"
	EnginePool  = "chat"
	ServicePool = "tickets"
	Model       = "plans"
	CallPath    = "/v1/tickets"
)

// Config says what a Fleet is made of; the zero values of the optional parts give a small fleet.
type Config struct {
	Routers     int
	Engines     int
	Services    int
	Teams       []config.Team // Teams lack their keys, which Key gives.
	DataCentres []string      // DataCentres hold routers and endpoints in turn.
	Delay       network.Delay // Delay is nil for none.
	Between     Between       // Between is used in place of Delay unless it is nil; the platform is in the first data centre.
	Seed        uint64

	Engine  engine.Config  // Engine lacks name and seed.
	Service service.Config // Service lacks its name.

	QueueLimit     int
	QueueTimeout   time.Duration
	LongestRequest time.Duration
	LargestCost    int64

	BalancerLag time.Duration
	ListLag     time.Duration
	Settings    string         // Settings are further lines of each router's settings.
	Idle        time.Duration  // Idle is the heartbeat of links that carry no work, which settings allow to registered fleets only.
	Order       dispatch.Order // Order is nil for fair service.
	LocalQueues bool           // LocalQueues makes each router dispatch for itself.
	Log         io.Writer      // Log is nil for none.
}

// Fleet is a running fleet. Its methods are for one goroutine, unless they say otherwise.
type Fleet struct {
	Network  *network.Network
	Platform *platform.Server
	Engines  []*engine.Engine
	Services []*service.Service
	Routers  []*Member
	Document *config.Document

	config    Config
	log       *logrus.Logger
	runs      []*Run
	hosts     int // hosts is the number of addresses used.
	places    places
	serving   errgroup.Group
	operator  *platformclient.Client
	publisher *publish.Publisher
	platform  netip.AddrPort
}

// New returns a fleet that Start starts.
func New(conf Config) *Fleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	if conf.Log != nil {
		log.SetOutput(conf.Log)
		log.SetLevel(logrus.DebugLevel)
	}
	f := &Fleet{config: conf, log: log}
	if conf.Between != nil {
		conf.Delay = f.delay
	}
	f.Network = network.New(network.Config{Delay: conf.Delay})
	return f
}

// Key returns the key of a team.
func Key(team string) string { return team + "-key" }

// Start starts the stand-ins, puts the document in force and starts the routers.
// The routers serve once their configuration has come; see Await.
func (f *Fleet) Start(ctx context.Context) error {
	f.Platform = platform.New(platform.Config{Environment: Environment})
	address, err := f.serve(f.Platform, f.dataCentre(0), platformPort)
	if err != nil {
		return err
	}
	f.platform = address
	f.operator = f.client(f.host(f.dataCentre(0)))
	f.publisher = publish.New(publish.Config{Platform: f.operator, Environment: Environment})
	f.Document = f.document()
	if err := f.startEndpoints(); err != nil {
		return err
	}
	if err := f.Apply(ctx, f.Document); err != nil {
		return err
	}
	for i := range f.config.Routers {
		if _, err := f.AddRouter(fmt.Sprintf("host-%d", i+1), f.dataCentre(i)); err != nil {
			return err
		}
	}
	return nil
}

// Apply puts a document in force, as an operator's command does.
func (f *Fleet) Apply(ctx context.Context, doc *config.Document) error {
	base, err := f.publisher.Read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = f.publisher.Put(ctx, publish.Change{Base: base, Document: doc, Description: "test"})
	f.Document = doc
	return trace.Wrap(err)
}

// List lists the names of a kind of object in the platform.
func (f *Fleet) List(ctx context.Context, kind platformclient.Kind) (platformclient.List, error) {
	return f.operator.ListNames(ctx, kind)
}

// TakeOut takes a data centre out, or returns it.
func (f *Fleet) TakeOut(ctx context.Context, dataCentre string, out bool) error {
	doc := *f.Document
	doc.DataCentres = append([]config.DataCentre(nil), doc.DataCentres...)
	for i := range doc.DataCentres {
		if doc.DataCentres[i].Name == dataCentre {
			doc.DataCentres[i].Out = out
		}
	}
	return f.Apply(ctx, &doc)
}

// Await waits until all routers have a configuration and the stakes of all count.
func (f *Fleet) Await(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.ready(ctx) {
			return nil
		}
		time.Sleep(awaitPause)
	}
	return trace.Wrap(ctx.Err(), "the fleet is not ready")
}

func (f *Fleet) ready(ctx context.Context) bool {
	for _, m := range f.Routers {
		if m.Stopped() {
			continue
		}
		view, ok := m.Router().View(ctx)
		if !ok || !m.Router().Health().Configured || view.Links < f.live()-1 || view.Total < f.live() {
			return false
		}
	}
	return f.held(ctx)
}

// held tells whether the dispatchers together hold every stake.
func (f *Fleet) held(ctx context.Context) bool {
	held := 0
	for _, m := range f.Routers {
		if view, ok := m.Router().View(ctx); ok && !m.Stopped() {
			for _, shot := range view.Cells {
				held += shot.Held
			}
		}
	}
	return held >= f.live()*len(f.Document.Pools)
}

// Dispatcher returns the live router that holds most stakes of a pool, or nil.
func (f *Fleet) Dispatcher(ctx context.Context, pool string) *Member {
	var found *Member
	most := 0
	for _, m := range f.Routers {
		if m.Stopped() {
			continue
		}
		view, _ := m.Router().View(ctx)
		for _, shot := range view.Cells {
			if string(shot.Cell) == pool && shot.Held > most {
				found, most = m, shot.Held
			}
		}
	}
	return found
}

func (f *Fleet) live() int {
	count := 0
	for _, m := range f.Routers {
		if !m.Stopped() {
			count++
		}
	}
	return count
}

// Close stops everything and waits for it.
func (f *Fleet) Close() error {
	for _, run := range f.runs {
		run.cancel()
	}
	for _, m := range f.Routers {
		m.stop()
	}
	for _, m := range f.Routers {
		m.wait()
	}
	f.operator.Close()
	f.Platform.Close()
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.Services {
		s.Close()
	}
	err := f.serving.Wait()
	time.Sleep(settleTime)
	return err
}
