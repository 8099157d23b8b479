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
	tickEvery   = 100 * time.Millisecond
	ringSize    = 256         // ringSize bounds the parts that wait to be read.
	rootReaders = 2           // rootReaders is the number of reads of the root at a time.
	partReaders = 8           // partReaders is the number of parts read at a time.
	inboxSize   = 4096        // inboxSize bounds the messages that wait.
	readTimeout = time.Second // readTimeout bounds one call; it doubles with each failure.
	maxTimeout  = 12 * time.Second
	rewatch     = time.Second / 2  // rewatch is the pause before a watch is opened again.
	maxRewatch  = 10 * time.Second // maxRewatch is the longest such pause.
)

// Platform is what the duty needs of the platform; *platform.Client has it.
type Platform interface {
	Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Head(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Watch(ctx context.Context, kind platform.Kind, fromVersion string, handle func(platform.Event) error) error
}

// Config joins a duty to its router.
type Config struct {
	Spread   spread.Config // Spread names the router and its waiting times.
	Platform Platform
	Send     func(to cell.RouterID, message wire.Message)       // Send must not block.
	Adopt    func(generation uint64, document *config.Document) // Adopt is called with rising generations, one at a time.
	Log      logrus.FieldLogger
}

// Duty learns of generations, validates them and hands them to the router.
type Duty struct {
	config   Config
	inbox    *inbox
	machine  *spread.Machine
	roots    chan readRoot
	parts    chan readPart
	watch    *watch
	timeouts atomic.Int32 // timeouts counts the calls that were too slow in a row.
	counters counters
}

// New returns a duty that has no configuration yet.
func New(config Config) *Duty {
	if config.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		config.Log = silent
	}
	d := &Duty{config: config, inbox: newInbox(), roots: make(chan readRoot, rootReaders), parts: make(chan readPart, ringSize)}
	d.watch = newWatch(d)
	return d
}

// Run keeps the configuration up to date until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	d.machine = spread.New(d.config.Spread, time.Now())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.decide(ctx) })
	for range rootReaders {
		group.Go(func() error { return d.readRoots(ctx) })
	}
	for range partReaders {
		group.Go(func() error { return d.readParts(ctx) })
	}
	group.Go(func() error { return d.watch.run(ctx) })
	return group.Wait()
}

// SetMembers replaces the list of hosts; hosts that leave are not in it.
func (d *Duty) SetMembers(members []spread.Member) {
	d.inbox.put(&spread.Members{Members: members})
}

// PeerUp tells that a router can be reached.
func (d *Duty) PeerUp(router cell.RouterID) {
	d.inbox.put(&spread.PeerUp{Router: router})
}

// PeerDown tells that no link to a router is left.
func (d *Duty) PeerDown(router cell.RouterID) {
	d.inbox.put(&spread.PeerDown{Router: router})
}

// Received takes a message of a peer; messages that are not about configuration are ignored.
func (d *Duty) Received(from cell.RouterID, message wire.Message) {
	switch m := message.(type) {
	case *wire.ConfigNews:
		d.inbox.put(&spread.News{From: from, Generation: m.Generation, Root: m.Root})
	case *wire.ConfigAsk:
		d.inbox.put(&spread.Ask{From: from, Hashes: m.Hashes})
	case *wire.ConfigPart:
		d.inbox.put(&spread.Part{From: from, Hash: m.Hash, Data: m.Data})
	}
}

// decide runs the machine.
func (d *Duty) decide(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.inbox.filled:
			for _, event := range d.inbox.take() {
				d.step(event)
			}
		case <-ticker.C:
			d.step(&spread.Tick{})
		}
	}
}

func (d *Duty) step(event spread.Event) {
	for _, action := range d.machine.Step(time.Now(), event) {
		d.perform(action)
	}
}

func (d *Duty) perform(action spread.Action) {
	switch a := action.(type) {
	case *spread.Watch:
		d.watch.set(a.On)
		d.counters.watching.Store(a.On)
	case *spread.ReadRoot:
		enqueue(d, d.roots, readRoot{a.Began})
	case *spread.ReadParts:
		for _, hash := range a.Hashes {
			enqueue(d, d.parts, readPart{hash})
		}
	case *spread.SendNews:
		d.config.Send(a.To, &wire.ConfigNews{Generation: a.Generation, Root: a.Root})
	case *spread.SendAsk:
		d.config.Send(a.To, &wire.ConfigAsk{Hashes: a.Hashes})
	case *spread.SendPart:
		d.config.Send(a.To, &wire.ConfigPart{Hash: a.Hash, Data: a.Data})
	case *spread.Adopt:
		d.adopt(a)
	case *spread.Report:
		d.report(a)
	}
}

func (d *Duty) adopt(a *spread.Adopt) {
	d.counters.generation.Store(a.Root.Generation)
	d.config.Log.WithFields(logrus.Fields{"generation": a.Root.Generation, "change_id": a.Root.ChangeID}).Info("A configuration is in force.")
	d.config.Adopt(a.Root.Generation, a.Document)
}

// report counts and logs a generation that can't be adopted; the last good one stays in force.
func (d *Duty) report(a *spread.Report) {
	d.counters.rejected.Add(1)
	d.config.Log.WithField("generation", a.Generation).WithError(a.Err).Error("A configuration can't be adopted.")
}
