package local

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"ryelug/router/process"
	"ryelug/standin/engine"
	"ryelug/standin/platform"
	"ryelug/standin/service"
)

const (
	routerCount = 3
	balancerLag = 200 * time.Millisecond
	readyLimit  = 15 * time.Second
	readyPoll   = 50 * time.Millisecond
	engineFirst = 50 * time.Millisecond
	engineGap   = 20 * time.Millisecond
	callTime    = 50 * time.Millisecond
	reportLag   = 500 * time.Millisecond
)

var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// Config sets up a fleet.
type Config struct {
	Callers  netip.AddrPort // Callers is where callers reach the first router.
	Operator netip.AddrPort // Operator is where operators reach the first router.
	Log      logrus.FieldLogger
	Out      io.Writer // Out is told where things listen and what to try.
}

// fleet is three routers, a platform, three engines and a service.
type fleet struct {
	config    Config
	platform  netip.AddrPort
	standins  []server
	serving   errgroup.Group
	endpoints []Endpoint
	routers   []router
}

// router is one router with its listeners.
type router struct {
	host      string
	centre    string
	listeners []net.Listener // listeners are those of callers, operators and peers.
	process   *process.Process
}

// server is what all stand-ins are.
type server interface {
	Serve(listener net.Listener) error
	Close()
}

// Run runs a fleet until ctx ends and all requests are finished.
func Run(ctx context.Context, config Config) error {
	f := &fleet{config: config}
	defer f.close()
	if err := f.open(config.Callers, config.Operator); err != nil {
		return err
	}
	return f.run(ctx)
}

// open listens everywhere and starts the stand-ins.
func (f *fleet) open(callers, operators netip.AddrPort) error {
	for i := range routerCount {
		if err := f.openRouter(i, callers, operators); err != nil {
			return err
		}
		callers, operators = loopback, loopback
	}
	if err := f.openEndpoints(); err != nil {
		return err
	}
	var hosts []platform.Host
	for _, one := range f.routers {
		hosts = append(hosts, platform.Host{Host: one.host, DataCentre: one.centre, PeerAddress: addressOf(one.listeners[2])})
	}
	address, err := f.serve(platform.New(platform.Config{Environment: Environment, Hosts: hosts}))
	f.platform = address
	return err
}

func (f *fleet) openRouter(i int, callers, operators netip.AddrPort) error {
	listeners, err := process.ListenAll(callers, operators, loopback)
	if err != nil {
		return err
	}
	f.routers = append(f.routers, router{
		host:      fmt.Sprintf("router-%d", i+1),
		centre:    DataCentres[i%len(DataCentres)],
		listeners: listeners,
	})
	return nil
}

func (f *fleet) openEndpoints() error {
	for i, centre := range DataCentres {
		name := fmt.Sprintf("engine-%d", i+1)
		address, err := f.serve(engine.New(engine.Config{
			Name:       name,
			WarmLimit:  warmLimit,
			ColdLimit:  coldLimit,
			WarmUp:     warmUp,
			ReportLag:  reportLag,
			FirstToken: engineFirst,
			TokenGap:   engineGap,
		}))
		if err != nil {
			return err
		}
		f.endpoints = append(f.endpoints, Endpoint{Name: name, Pool: EnginePool, DataCentre: centre, Address: address})
	}
	address, err := f.serve(service.New(service.Config{
		Name:      "tickets-1",
		WarmLimit: warmLimit,
		ColdLimit: coldLimit,
		WarmUp:    warmUp,
		ReportLag: reportLag,
		Duration:  callTime,
	}))
	f.endpoints = append(f.endpoints, Endpoint{Name: "tickets-1", Pool: ServicePool, DataCentre: DataCentres[0], Address: address})
	return err
}

// serve starts a stand-in on a free port.
func (f *fleet) serve(one server) (netip.AddrPort, error) {
	listener, err := process.Listen(loopback)
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.standins = append(f.standins, one)
	f.serving.Go(func() error { return one.Serve(listener) })
	return addressOf(listener), nil
}

func (f *fleet) close() {
	for _, one := range f.standins {
		one.Close()
	}
	if err := f.serving.Wait(); err != nil {
		f.config.Log.WithError(err).Warn("A stand-in ended with an error.")
	}
	for _, one := range f.routers {
		for _, listener := range one.listeners {
			listener.Close()
		}
	}
}

func addressOf(listener net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(listener.Addr().String())
}
