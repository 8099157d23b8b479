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
	environment = "trial"
	linkDelay   = time.Millisecond
	inForce     = 3 * time.Second // inForce is the target of the users.
)

var errCut = errors.New("the network is cut")

// router is a duty with its links and its connections to the platform.
type router struct {
	id      cell.RouterID
	dc      string
	duty    *configuration.Duty
	stop    context.CancelFunc
	adopted []uint64
	at      map[uint64]time.Time
	doc     *config.Document
	conns   []net.Conn
	cut     bool // cut separates it from the platform.
	alone   bool // alone separates it from its peers.
}

// fleet is a number of routers in three data centres before one platform.
type fleet struct {
	*testing.T
	*is.I
	mu       sync.Mutex
	settings spread.Config
	server   *standin.Server
	listener *fasthttputil.InmemoryListener
	operator *platform.Client
	routers  []*router
	lives    int
	running  sync.WaitGroup
	seen     map[uint64]map[int]bool // seen holds the shares of the first team at all routers, by generation.
}

// withFleet runs a test in a bubble with a fleet of the given size.
func withFleet(t *testing.T, size int, settings spread.Config, test func(f *fleet)) {
	t.Helper()
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{T: t, I: is.New(t), settings: settings, listener: fasthttputil.NewInmemoryListener()}
		f.seen = map[uint64]map[int]bool{}
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
	time.Sleep(time.Minute) // The cleaners of connection pools end.
}

func (f *fleet) client(r *router) *platform.Client {
	dial := func(context.Context, netip.AddrPort) (net.Conn, error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if r.cut {
			return nil, errCut
		}
		conn, err := f.listener.Dial()
		r.conns = append(r.conns, conn)
		return conn, err
	}
	address := netip.MustParseAddrPort("192.0.2.1:80")
	return platform.New(platform.Config{Address: address, Environment: environment, Dial: dial, Silence: 30 * time.Second})
}

// start begins a new life of a router, with nothing kept of the former one.
func (f *fleet) start(r *router) {
	f.mu.Lock()
	f.lives++
	r.id = cell.RouterID(fmt.Sprintf("%s/%d", r.id.Host(), f.lives))
	r.at, r.adopted, r.doc = map[uint64]time.Time{}, nil, nil
	f.mu.Unlock()
	settings := f.settings
	settings.Self, settings.DataCentre, settings.Environment, settings.Seed = r.id, r.dc, environment, uint64(f.lives)
	client := f.client(r)
	r.duty = configuration.New(configuration.Config{
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
	f.running.Go(func() { f.NoErr(r.duty.Run(ctx)) })
	f.list()
	f.link(r)
}

// list tells all routers of all hosts.
func (f *fleet) list() {
	var members []spread.Member
	for _, r := range f.routers {
		members = append(members, spread.Member{Host: r.id.Host(), DataCentre: r.dc})
	}
	for _, r := range f.routers {
		if r.duty != nil {
			r.duty.SetMembers(members)
		}
	}
}

func (f *fleet) link(r *router) {
	for _, other := range f.routers {
		if other != r && other.duty != nil && !other.alone {
			r.duty.PeerUp(other.id)
			other.duty.PeerUp(r.id)
		}
	}
}

func (f *fleet) unlink(r *router) {
	for _, other := range f.routers {
		if other != r {
			r.duty.PeerDown(other.id)
			other.duty.PeerDown(r.id)
		}
	}
}

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
		open := !r.alone && !from.alone && r.id == to
		f.mu.Unlock()
		if open {
			r.duty.Received(sender, m)
		}
	})
}

func (f *fleet) adopted(r *router, generation uint64, doc *config.Document) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(r.adopted); n > 0 && r.adopted[n-1] >= generation {
		f.Errorf("%s went from generation %d to %d", r.id, r.adopted[n-1], generation)
	}
	r.adopted = append(r.adopted, generation)
	r.at[generation] = time.Now()
	r.doc = doc
	f.note(generation, doc)
}

// cutPlatform separates a router from the platform or joins it again.
func (f *fleet) cutPlatform(r *router, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.cut = cut
	for _, conn := range r.conns {
		conn.Close()
	}
	r.conns = nil
}

// isolate separates a router from its peers or joins it again.
func (f *fleet) isolate(r *router, alone bool) {
	f.mu.Lock()
	r.alone = alone
	f.mu.Unlock()
	if alone {
		f.unlink(r)
		return
	}
	f.link(r)
}

func (f *fleet) publisher() *publish.Publisher {
	return publish.New(publish.Config{Platform: f.operator, Environment: environment})
}

// change puts a document with the given share of its first team in force.
func (f *fleet) change(share int) config.Root {
	f.Helper()
	p := f.publisher()
	base, err := p.Read(f.Context())
	f.NoErr(err)
	doc := base.Document
	if doc == nil {
		doc = &config.Document{Environment: environment, Teams: []config.Team{{Name: "kiosks"}}}
	}
	doc.Teams[0].Share = share
	root, err := p.Put(f.Context(), publish.Change{Base: base, Document: doc, Text: "test"})
	f.NoErr(err)
	return root
}

// everywhere checks that a generation is in force at the routers within the target from now on.
func (f *fleet) everywhere(root config.Root, routers ...*router) {
	f.Helper()
	if len(routers) == 0 {
		routers = f.routers
	}
	started := time.Now()
	time.Sleep(inForce)
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	slowest := time.Duration(0)
	for _, r := range routers {
		at, found := r.at[root.Generation]
		if !found {
			f.Errorf("%s in %s has %v, not generation %d", r.id, r.dc, r.adopted, root.Generation)
			continue
		}
		slowest = max(slowest, at.Sub(started))
	}
	f.Logf("generation %d in force at %d routers after at most %v", root.Generation, len(routers), slowest)
}

// watchers returns the routers that watch the platform.
func (f *fleet) watchers() []*router {
	var watching []*router
	for _, r := range f.routers {
		if r.duty.Stats().Watching {
			watching = append(watching, r)
		}
	}
	return watching
}
