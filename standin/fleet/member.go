package fleet

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"ryelug/io/operator"
	"ryelug/router"
	"ryelug/router/process"
	"ryelug/router/settings"
	"ryelug/standin/network"
	"ryelug/standin/platform"
)

// peerKey is the key that all routers of a fleet share.
const peerKey = "a key of all routers"

const defaultListLag = 2 * time.Second

const settingsText = `host = %q
data_centre = %q
environment = %q
peer_address = "%s"
callers_address = "%s"
operator_address = "%s"
platform_address = "%s"
peer_key = %q
balancer_lag = "%s"
list_lag = "%s"
`

// Member is one life of a router.
type Member struct {
	Host       string
	DataCentre string
	Address    netip.Addr

	fleet   *Fleet
	process *process.Process
	stop    context.CancelFunc
	stopped atomic.Bool // stopped tells that the router was told to end, or is dead to all others.
	frozen  atomic.Bool
	killed  context.Context // killed ends when the router is killed.
	kill    context.CancelFunc
	done    chan struct{}
	err     error
}

// AddRouter starts a router on a new host and lists it.
func (f *Fleet) AddRouter(host, dataCentre string) (*Member, error) {
	m := &Member{Host: host, DataCentre: dataCentre, Address: f.host(dataCentre), fleet: f, done: make(chan struct{})}
	peers, err := f.Network.Listen(netip.AddrPortFrom(m.Address, peerPort))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	operators, err := f.Network.Listen(m.Operators())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	given, err := f.settings(m)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	m.process = process.New(process.Config{
		Settings:    given,
		Operator:    operators,
		Peers:       peers,
		Log:         operator.Part(f.log, operator.RouterPart).WithField("host", host),
		Dial:        f.Network.Dialer(m.Address),
		Seed:        f.config.Seed + uint64(len(f.Routers)) + 1,
		Order:       f.config.Order,
		LocalQueues: f.config.LocalQueues,
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.killed, m.kill = context.WithCancel(context.Background())
	go func() {
		m.err = m.process.Run(ctx)
		close(m.done)
	}()
	f.Platform.SetHost(m.Listing())
	f.Routers = append(f.Routers, m)
	return m, nil
}

// settings returns a router's settings, through the checks that a file goes through.
func (f *Fleet) settings(m *Member) (*settings.Settings, error) {
	text := fmt.Sprintf(settingsText, m.Host, m.DataCentre, Environment,
		netip.AddrPortFrom(m.Address, peerPort), netip.AddrPortFrom(m.Address, callersPort),
		m.Operators(), f.platform, peerKey,
		f.config.BalancerLag, cmp.Or(f.config.ListLag, defaultListLag))
	given, err := settings.Parse(m.Host, []byte(text+f.config.Settings))
	if err == nil {
		given.IdleHeartbeat = f.config.Idle
	}
	return given, err
}

// Listing returns the member as the platform lists it.
func (m *Member) Listing() platform.Host {
	return platform.Host{Host: m.Host, PeerAddress: netip.AddrPortFrom(m.Address, peerPort), DataCentre: m.DataCentre}
}

// Router returns the router.
func (m *Member) Router() *router.Router { return m.process.Router() }

// Operators returns the address of the router's counters.
func (m *Member) Operators() netip.AddrPort { return netip.AddrPortFrom(m.Address, operatorPort) }

// Leave shuts the router down gracefully and waits for it. The list of hosts lags: it shows the host to the end.
func (m *Member) Leave() error {
	m.stopped.Store(true)
	m.stop()
	m.wait()
	m.fleet.Platform.RemoveHost(m.Host)
	return m.err
}

// Kill cuts the router off for good and resets its connections, as the end of
// its process would. What remains of it reaches nobody.
func (m *Member) Kill() {
	m.stopped.Store(true)
	m.fleet.Network.Isolate(m.Address)
	m.fleet.Network.Crash(m.Address)
	m.kill()
	m.stop()
}

// Freeze stops all that the router exchanges with others, its callers too, as a
// stopped process would, until Thaw. Its own timers go on.
func (m *Member) Freeze(waking network.Waking) {
	m.frozen.Store(true)
	m.fleet.Network.Freeze(m.Address, waking)
}

// Thaw ends a Freeze.
func (m *Member) Thaw() {
	m.fleet.Network.Thaw(m.Address)
	m.frozen.Store(false)
}

// Stopped tells whether the router was told to end.
func (m *Member) Stopped() bool { return m.stopped.Load() }

// takes tells whether a balancer sends requests here.
func (m *Member) takes() bool {
	return !m.Stopped() && !m.frozen.Load() && m.process.Health().Healthy()
}

// lifetime returns a context that ends when the router is killed, which ends its callers' connections.
func (m *Member) lifetime(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(m.killed, cancel)
	return ctx
}

func (m *Member) wait() { <-m.done }

// CutFromPlatform separates a router from the platform.
func (f *Fleet) CutFromPlatform(m *Member) { f.Network.Cut(m.Address, f.platform.Addr()) }
