package stops_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/config"
	client "ryelug/io/platform"
	"ryelug/router/process"
	"ryelug/router/publish"
	"ryelug/standin/platform"
)

// Names in the document of the soak.
const (
	environment = "soak"
	dataCentre  = "dc-a"
	model       = "model-1"
	enginePool  = "engines"
	servicePool = "services"
	key         = "a-key"
)

// paths are the paths of the kinds of requests.
var paths = map[string]string{
	safeRequest: "/v1/safe", onceRequest: "/v1/once", wholeRequest: "/v1/chat/completions", streamRequest: "/v1/chat/completions",
}

const (
	routers    = 3
	startLimit = 20 * time.Second
	poll       = 20 * time.Millisecond
)

// fleet is the router processes and stand-ins of a soak.
type fleet struct {
	t         *testing.T
	binary    string
	platform  netip.AddrPort
	endpoints []config.Endpoint
	routers   [routers]*router
	runs      *runs
	publisher *publish.Publisher
	changes   int
	grace     time.Duration
}

// router is a router with its current process.
type router struct {
	callers, operator, peers netip.AddrPort
	settings                 string

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{} // ended is closed when the process has ended.
	err     error         // err is how the process ended; it is set before ended is closed.
	serving bool          // serving means that the process has answered a health check and no stop is planned.
	leaving bool          // leaving means that a stop of the process is planned.
}

// newFleet starts routers and endpoints and waits until the routers are healthy.
func newFleet(t *testing.T, binary string, grace, lag time.Duration) *fleet {
	is := is.New(t)
	f := &fleet{t: t, binary: binary, grace: grace, runs: &runs{of: make(map[string][]*run)}}
	var hosts []platform.Host
	for i := range f.routers {
		f.routers[i] = &router{callers: freePort(t), operator: freePort(t), peers: freePort(t)}
		hosts = append(hosts, platform.Host{Host: fmt.Sprintf("router-%d", i), DataCentre: dataCentre, PeerAddress: f.routers[i].peers})
	}
	ln, err := process.Listen(loopback)
	is.NoErr(err)
	f.platform = netip.MustParseAddrPort(ln.Addr().String())
	objects := platform.New(platform.Config{Environment: environment, Hosts: hosts})
	go func() { _ = objects.Serve(ln) }()
	t.Cleanup(objects.Close)
	for _, pool := range []string{enginePool, servicePool} {
		for i := range 2 {
			name := pool + "-" + strconv.Itoa(i)
			f.endpoints = append(f.endpoints, config.Endpoint{
				Name: name, Pool: pool, DataCentre: dataCentre, Address: startEndpoint(t, name, f.runs), WarmLimit: warmLimit, ColdLimit: coldLimit,
			})
		}
	}
	access := client.New(client.Config{Address: f.platform, Environment: environment})
	t.Cleanup(access.Close)
	f.publisher = publish.New(publish.Config{Platform: access, Environment: environment, NewID: func() string { return strconv.Itoa(f.changes) }})
	f.publish(t.Context())
	for i, one := range f.routers {
		f.configure(i, one, lag)
		f.start(one)
		t.Cleanup(one.kill)
	}
	for _, one := range f.routers {
		f.awaitServing(one, http.StatusOK)
	}
	return f
}

// freePort returns a free address outside the range from which the system takes ports for outgoing connections, so that it
// stays free while a router restarts.
func freePort(t *testing.T) netip.AddrPort {
	const first, ports = 18_000, 14_000
	for range 100 {
		address := netip.AddrPortFrom(loopback.Addr(), uint16(first+rand.IntN(ports)))
		if ln, err := process.Listen(address); err == nil {
			ln.Close()
			return address
		}
	}
	t.Fatalf("no free port from %d to %d in 100 attempts", first, first+ports)
	return netip.AddrPort{}
}

// publish puts a document into force that differs from the one before in the team's share.
func (f *fleet) publish(ctx context.Context) {
	f.changes++
	hash := sha256.Sum256([]byte(key))
	doc := &config.Document{
		Environment: environment,
		Teams:       []config.Team{{Name: "team-1", Share: 1 + f.changes%9, KeyHashes: []string{hex.EncodeToString(hash[:])}}},
		DataCentres: []config.DataCentre{{Name: dataCentre, Region: "region-1"}},
		Pools:       []config.Pool{pool(enginePool, config.Engine, model), pool(servicePool, config.Service, "")},
		Endpoints:   f.endpoints,
		Routes:      []config.Route{{Path: paths[safeRequest], Pool: servicePool, Idempotent: true}, {Path: paths[onceRequest], Pool: servicePool}},
	}
	base, err := f.publisher.Read(ctx)
	if err == nil {
		_, err = f.publisher.Put(ctx, publish.Change{Base: base, Document: doc, Description: "soak"})
	}
	if err != nil && ctx.Err() == nil {
		f.t.Errorf("change %d of the configuration: %v", f.changes, err)
	}
}

func pool(name string, kind config.PoolKind, model string) config.Pool {
	return config.Pool{
		Name: name, Kind: kind, Model: model, QueueLimit: 1000, QueueTimeout: 5 * time.Second,
		LongestRequest: 10 * time.Second, LargestCost: 8192, WarmUpRequests: warmUp,
	}
}

// configure writes the settings of a router.
func (f *fleet) configure(i int, one *router, lag time.Duration) {
	one.settings = filepath.Join(f.t.TempDir(), "router.toml")
	text := fmt.Sprintf("host = \"router-%d\"\ndata_centre = %q\nenvironment = %q\ncallers_address = %q\noperator_address = %q\npeer_address = %q\n"+
		"platform_address = %q\npeer_key = \"a key for this test\"\nbalancer_lag = %q\ngrace = %q\nlog_level = \"error\"\n",
		i, dataCentre, environment, one.callers, one.operator, one.peers, f.platform, lag, f.grace)
	is.New(f.t).NoErr(os.WriteFile(one.settings, []byte(text), 0o600))
}

// start starts a process of the router.
func (f *fleet) start(one *router) {
	command := exec.Command(f.binary, "router", "-settings", one.settings)
	command.Stdout, command.Stderr = os.Stderr, os.Stderr
	command.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0") // By default the race detector delays the exit by a second.
	if err := command.Start(); err != nil {
		f.t.Errorf("start of a router: %v", err)
		return
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		one.err = command.Wait()
		close(ended)
	}()
	one.process, one.ended, one.leaving = command.Process, ended, false
}

// awaitServing waits until the router answers health checks with one of the statuses, and marks it as serving.
func (f *fleet) awaitServing(one *router, statuses ...int) {
	for limit := time.Now().Add(startLimit); ; time.Sleep(poll) {
		resp, err := http.Get("http://" + one.operator.String() + "/healthz")
		if err == nil {
			resp.Body.Close()
			if slices.Contains(statuses, resp.StatusCode) {
				break
			}
		}
		if time.Now().After(limit) {
			f.t.Errorf("the router at %v does not answer health checks with %v within %v: %v", one.operator, statuses, startLimit, err)
			return
		}
	}
	one.mu.Lock()
	defer one.mu.Unlock()
	one.serving = true
}

// signal sends a signal to the current process of the router.
func (r *router) signal(s os.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.process.Signal(s) // A process that has ended needs none.
}

// reload sends SIGHUP to a process that serves; one that has just started would end by it.
func (r *router) reload() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.serving || r.leaving {
		_ = r.process.Signal(syscall.SIGHUP)
	}
}

// claim reports whether the router serves, and marks it as leaving.
func (r *router) claim() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	claimed := r.serving
	r.serving, r.leaving = false, r.leaving || r.serving
	return claimed
}

func (r *router) kill() {
	r.signal(os.Kill)
	<-r.ended
}
