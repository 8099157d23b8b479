package configuration

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/core/spread"
	"ryelug/io/platform"
	"ryelug/io/wire"
)

const (
	tickInterval    = 100 * time.Millisecond // tickInterval is the longest interval of ticks that spread.Machine allows.
	partQueueSize   = 256                    // partQueueSize is the number of parts that can wait to be read.
	rootReaders     = 2                      // rootReaders is the number of concurrent reads of the root.
	partReaders     = 8                      // partReaders is the number of concurrent reads of parts.
	inboxSize       = 4096                   // inboxSize bounds the queued events; beyond it messages of peers are dropped.
	minTimeout      = time.Second            // minTimeout bounds one call to the platform; it doubles with each call that times out.
	maxTimeout      = 12 * time.Second       // maxTimeout bounds the timeout of one call however often calls time out.
	minWatchBackoff = time.Second / 2        // minWatchBackoff is the average pause before a watch is opened again for the first time.
	maxWatchBackoff = 10 * time.Second       // maxWatchBackoff bounds the average pause between repeated attempts to open a watch.
)

// Platform is the part of the platform's API that a Syncer uses; *platform.Client implements it.
type Platform interface {
	Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Head(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Watch(ctx context.Context, kind platform.Kind, fromVersion string, handle func(platform.Event) error) error
}

// Config connects a Syncer to its router.
type Config struct {
	Spread   spread.Config                                      // Spread identifies the router and sets the intervals of the machine.
	Platform Platform                                           // Platform stores the configuration of the router's environment.
	Send     func(to cell.RouterID, message wire.Message)       // Send queues a message to a peer; it must not block.
	Adopt    func(generation uint64, document *config.Document) // Adopt puts a document in force; calls come one at a time, with rising generations.
	Log      logrus.FieldLogger                                 // Log receives adopted and rejected generations and reopened watches; nil discards them.
}

// Syncer learns of new generations from the platform and from peers, validates them and hands them to the router.
type Syncer struct {
	config   Config
	inbox    *inbox
	machine  *spread.Machine // machine decides what to read, send and adopt; only processEvents uses it.
	roots    chan readRoot   // roots queues reads of the root.
	parts    chan readPart   // parts queues reads of parts.
	watch    *watch
	timeouts atomic.Int32 // timeouts counts the calls that timed out since the last one that took less than half of minTimeout.
	counters counters
}

// New returns a Syncer without a configuration. It does nothing until Run is called.
func New(config Config) *Syncer {
	if config.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		config.Log = discard
	}
	d := &Syncer{config: config, inbox: newInbox(), roots: make(chan readRoot, rootReaders), parts: make(chan readPart, partQueueSize)}
	d.watch = newWatch(d)
	return d
}

// Run keeps the configuration up to date until ctx ends, and then returns nil.
func (d *Syncer) Run(ctx context.Context) error {
	d.machine = spread.New(d.config.Spread, time.Now())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.processEvents(ctx) })
	for range rootReaders {
		group.Go(func() error { return d.readRoots(ctx) })
	}
	for range partReaders {
		group.Go(func() error { return d.readParts(ctx) })
	}
	group.Go(func() error { return d.watch.run(ctx) })
	return group.Wait()
}

// SetMembers replaces the list of the system's hosts. Hosts that are leaving must not be in it.
func (d *Syncer) SetMembers(members []spread.Member) {
	d.inbox.put(&spread.Members{Members: members})
}

// PeerUp records that a link to the router is open.
func (d *Syncer) PeerUp(router cell.RouterID) {
	d.inbox.put(&spread.PeerUp{Router: router})
}

// PeerDown records that the last link to the router is closed.
func (d *Syncer) PeerDown(router cell.RouterID) {
	d.inbox.put(&spread.PeerDown{Router: router})
}

// Received queues a message of a peer; messages that are not about the configuration are ignored.
func (d *Syncer) Received(from cell.RouterID, message wire.Message) {
	switch m := message.(type) {
	case *wire.ConfigNews:
		d.inbox.put(&spread.Announcement{From: from, Generation: m.Generation, Root: m.Root})
	case *wire.ConfigAsk:
		d.inbox.put(&spread.PartRequest{From: from, Hashes: m.Hashes})
	case *wire.ConfigPart:
		d.inbox.put(&spread.Part{From: from, Hash: m.Hash, Data: m.Data})
	}
}

// processEvents passes queued events and clock ticks to the machine and executes its actions until ctx ends.
func (d *Syncer) processEvents(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.inbox.notify:
			for _, event := range d.inbox.drain() {
				d.step(event)
			}
		case <-ticker.C:
			d.step(&spread.Tick{})
		}
	}
}

// step passes one event to the machine and executes the actions that it returns.
func (d *Syncer) step(event spread.Event) {
	for _, action := range d.machine.Step(time.Now(), event) {
		d.execute(action)
	}
}

func (d *Syncer) execute(action spread.Action) {
	switch a := action.(type) {
	case *spread.Watch:
		d.watch.setWanted(a.On)
		d.counters.watching.Store(a.On)
	case *spread.ReadRoot:
		enqueue(d, d.roots, readRoot{a.Began})
	case *spread.ReadParts:
		for _, hash := range a.Hashes {
			enqueue(d, d.parts, readPart{hash})
		}
	case *spread.SendAnnouncement:
		d.config.Send(a.To, &wire.ConfigNews{Generation: a.Generation, Root: a.Root})
	case *spread.SendPartRequest:
		d.config.Send(a.To, &wire.ConfigAsk{Hashes: a.Hashes})
	case *spread.SendPart:
		d.config.Send(a.To, &wire.ConfigPart{Hash: a.Hash, Data: a.Data})
	case *spread.Adopt:
		d.adopt(a)
	case *spread.Report:
		d.reportRejected(a)
	}
}

// adopt puts a validated generation in force at this router.
func (d *Syncer) adopt(a *spread.Adopt) {
	d.counters.generation.Store(a.Root.Generation)
	d.config.Log.WithFields(logrus.Fields{"generation": a.Root.Generation, "change_id": a.Root.ChangeID}).Info("A configuration is in force.")
	d.config.Adopt(a.Root.Generation, a.Document)
}

// reportRejected counts and logs a generation that can't be adopted. The generation in force stays.
func (d *Syncer) reportRejected(a *spread.Report) {
	d.counters.rejected.Add(1)
	d.config.Log.WithField("generation", a.Generation).WithError(a.Err).Error("A configuration can't be adopted.")
}
