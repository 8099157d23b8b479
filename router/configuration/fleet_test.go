package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp/fasthttputil"

	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/core/spread"
	"ryelug/io/platform"
	"ryelug/io/wire"
	"ryelug/router/configuration"
	"ryelug/router/publish"
	"ryelug/standin/bubble"
	standin "ryelug/standin/platform"
)

const (
	environment   = "trial"
	linkDelay     = time.Millisecond
	adoptionLimit = 3 * time.Second // adoptionLimit is the users' limit for a change to be in force at all routers.
)

var errPlatformCut = errors.New("the network is cut")

// router is a configuration.Syncer with its simulated links and its connections to the platform.
type router struct {
	id          cell.RouterID
	dc          string
	syncer      *configuration.Syncer
	stop        context.CancelFunc
	adopted     []uint64             // adopted are the generations that were put in force, in order.
	adoptedAt   map[uint64]time.Time // adoptedAt is the time of adoption by generation.
	doc         *config.Document     // doc is the document in force.
	conns       []net.Conn           // conns are the open connections to the platform.
	platformCut bool                 // platformCut is true while the router can't reach the platform.
	isolated    bool                 // isolated is true while the router can't reach other routers.
}

// fleet is a group of routers in three data centres that share one simulated platform.
type fleet struct {
	*testing.T
	*is.I
	mu                 sync.Mutex
	settings           spread.Config // settings apply to every router; its name, data centre and seed are added.
	server             *standin.Server
	listener           *fasthttputil.InmemoryListener
	operator           *platform.Client // operator is the client that publishes changes.
	routers            []*router
	starts             int // starts counts the starts of routers; it makes their ids and seeds unique.
	running            sync.WaitGroup
	sharesByGeneration map[uint64]map[int]bool // sharesByGeneration holds the shares of the first team that routers adopted with a generation; consistent routers agree on one.
}

// withFleet runs a test in virtual time with a fleet of the given size.
func withFleet(t *testing.T, size int, settings spread.Config, test func(f *fleet)) {
	t.Helper()
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{T: t, I: is.New(t), settings: settings, listener: fasthttputil.NewInmemoryListener()}
		f.sharesByGeneration = map[uint64]map[int]bool{}
		f.server = standin.New(standin.Config{Environment: environment})
		f.running.Go(func() { f.NoErr(f.server.Serve(f.listener)) })
		f.operator = f.client(&router{})
		for i := range size {
			f.routers = append(f.routers, &router{id: cell.RouterID(fmt.Sprintf("h%02d/0", i)), dc: fmt.Sprintf("dc-%d", i%3)})
		}
		for _, r := range f.routers {
			f.start(r)
		}
		defer f.close()
		test(f)
	})
}

func (f *fleet) close() {
	for _, r := range f.routers {
		r.stop()
	}
	f.operator.Close()
	f.server.Close()
	f.running.Wait()
	time.Sleep(time.Minute) // Idle connection pools stop their cleanup goroutines in this time.
}

// client returns a client of the platform whose connections fail while the router is cut off from it.
func (f *fleet) client(r *router) *platform.Client {
	dial := func(context.Context, netip.AddrPort) (net.Conn, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if r.platformCut {
			return nil, errPlatformCut
		}
		conn, err := f.listener.Dial()
		r.conns = append(r.conns, conn)
		return conn, err
	}
	address := netip.MustParseAddrPort("192.0.2.1:80")
	return platform.New(platform.Config{Address: address, Environment: environment, Dial: dial, Silence: 30 * time.Second})
}

// start starts a router with a new id and without a configuration, as after a restart.
func (f *fleet) start(r *router) {
	f.mu.Lock()
	f.starts++
	r.id = cell.RouterID(fmt.Sprintf("%s/%d", r.id.Host(), f.starts))
	r.adoptedAt, r.adopted, r.doc = map[uint64]time.Time{}, nil, nil
	f.mu.Unlock()
	settings := f.settings
	settings.Self, settings.DataCentre, settings.Environment, settings.Seed = r.id, r.dc, environment, uint64(f.starts)
	client := f.client(r)
	r.syncer = configuration.New(configuration.Config{
		Spread:   settings,
		Platform: client,
		Send:     func(to cell.RouterID, m wire.Message) { f.send(r, to, m) },
		Adopt:    func(generation uint64, doc *config.Document) { f.adopted(r, generation, doc) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = func() {
		cancel()
		client.Close()
	}
	f.running.Go(func() { f.NoErr(r.syncer.Run(ctx)) })
	f.setMembers()
	f.link(r)
}

// setMembers gives every router the list of all hosts.
func (f *fleet) setMembers() {
	var members []spread.Member
	for _, r := range f.routers {
		members = append(members, spread.Member{Host: r.id.Host(), DataCentre: r.dc})
	}
	for _, r := range f.routers {
		if r.syncer != nil {
			r.syncer.SetMembers(members)
		}
	}
}

// link opens the links between a router and the others.
func (f *fleet) link(r *router) {
	for _, other := range f.routers {
		if other != r && other.syncer != nil && !other.isolated {
			r.syncer.PeerUp(other.id)
			other.syncer.PeerUp(r.id)
		}
	}
}

// unlink closes the links between a router and the others.
func (f *fleet) unlink(r *router) {
	for _, other := range f.routers {
		if other != r {
			r.syncer.PeerDown(other.id)
			other.syncer.PeerDown(r.id)
		}
	}
}

// send delivers a message after linkDelay, unless a router is isolated or the receiver has restarted.
func (f *fleet) send(from *router, to cell.RouterID, m wire.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.routers, func(r *router) bool { return r.id == to })
	if i < 0 {
		return
	}
	r, sender := f.routers[i], from.id
	time.AfterFunc(linkDelay, func() {
		f.mu.Lock()
		open := !r.isolated && !from.isolated && r.id == to
		f.mu.Unlock()
		if open {
			r.syncer.Received(sender, m)
		}
	})
}

// adopted records that a router put a generation in force, and fails the test if generations do not rise.
func (f *fleet) adopted(r *router, generation uint64, doc *config.Document) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(r.adopted); n > 0 && r.adopted[n-1] >= generation {
		f.Errorf("%s went from generation %d to %d", r.id, r.adopted[n-1], generation)
	}
	r.adopted = append(r.adopted, generation)
	r.adoptedAt[generation] = time.Now()
	r.doc = doc
	f.recordShare(generation, doc)
}

// cutPlatform cuts a router off from the platform or reconnects it.
func (f *fleet) cutPlatform(r *router, platformCut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.platformCut = platformCut
	for _, conn := range r.conns {
		conn.Close()
	}
	r.conns = nil
}

// isolate cuts a router off from all other routers or reconnects it.
func (f *fleet) isolate(r *router, isolated bool) {
	f.mu.Lock()
	r.isolated = isolated
	f.mu.Unlock()
	if isolated {
		f.unlink(r)
		return
	}
	f.link(r)
}

func (f *fleet) publisher() *publish.Publisher {
	return publish.New(publish.Config{Platform: f.operator, Environment: environment})
}

// publishShare publishes a document in which the first team has the given share, and returns its root.
func (f *fleet) publishShare(share int) config.Root {
	f.Helper()
	p := f.publisher()
	base, err := p.Read(f.Context())
	f.NoErr(err)
	doc := base.Document
	if doc == nil {
		doc = &config.Document{Environment: environment, Teams: []config.Team{{Name: "kiosks"}}}
	}
	doc.Teams[0].Share = share
	root, err := p.Put(f.Context(), publish.Change{Base: base, Document: doc, Description: "test"})
	f.NoErr(err)
	return root
}

// expectAdopted checks that a generation is in force within adoptionLimit from now
// at the given routers, or at all if none is given. It lets adoptionLimit pass.
func (f *fleet) expectAdopted(root config.Root, routers ...*router) {
	f.Helper()
	if len(routers) == 0 {
		routers = f.routers
	}
	started := time.Now()
	time.Sleep(adoptionLimit)
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	slowest := time.Duration(0)
	for _, r := range routers {
		adoptedAt, found := r.adoptedAt[root.Generation]
		if !found {
			f.Errorf("%s in %s has %v, not generation %d", r.id, r.dc, r.adopted, root.Generation)
			continue
		}
		slowest = max(slowest, adoptedAt.Sub(started))
	}
	f.Logf("generation %d in force at %d routers after at most %v", root.Generation, len(routers), slowest)
}

// watchers returns the routers that watch the platform.
func (f *fleet) watchers() []*router {
	var watching []*router
	for _, r := range f.routers {
		if r.syncer.Stats().Watching {
			watching = append(watching, r)
		}
	}
	return watching
}
