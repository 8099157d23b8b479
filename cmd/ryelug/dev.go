package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"ryelug/io/operator"
	"ryelug/router/process"
	"ryelug/router/settings"
	"ryelug/standin/engine"
	"ryelug/standin/platform"
	"ryelug/standin/service"
)

const (
	devRouters     = 3
	devBalancerLag = 200 * time.Millisecond
	devReadyLimit  = 15 * time.Second
	devReadyPoll   = 50 * time.Millisecond
	devEngineFirst = 50 * time.Millisecond
	devEngineGap   = 20 * time.Millisecond
	devCallTime    = 50 * time.Millisecond
)

var loopback = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)

// devCommand runs a whole fleet with stand-ins in one process.
type devCommand struct {
	callers  netip.AddrPort
	operator netip.AddrPort
	verbose  bool
}

// Name returns the command's name.
func (*devCommand) Name() string { return "dev" }

// Synopsis returns one line of help.
func (*devCommand) Synopsis() string { return "run a small fleet with stand-ins on loopback" }

// Usage returns the help text.
func (*devCommand) Usage() string {
	return `dev [-callers ADDRESS] [-operator ADDRESS] [-verbose]

Run three routers, a stand-in of the platform, engines in three data centres and
a service whose calls may not be repeated, in one process on loopback. It prints
where they listen and curl lines to paste. Interrupt it to shut it down.

Example:
  ryelug dev -callers 127.0.0.1:28080 -operator 127.0.0.1:28081

Flags:
`
}

// SetFlags sets the flags.
func (d *devCommand) SetFlags(flags *flag.FlagSet) {
	d.callers = netip.MustParseAddrPort("127.0.0.1:18080")
	d.operator = netip.MustParseAddrPort("127.0.0.1:18081")
	flags.Var(addressFlag{&d.callers}, "callers", "where callers reach the first router")
	flags.Var(addressFlag{&d.operator}, "operator", "where operators reach the first router")
	flags.BoolVar(&d.verbose, "verbose", false, "log all that the routers do")
}

func (d *devCommand) run(ctx context.Context, flags *flag.FlagSet, to streams) error {
	if err := noArguments(flags); err != nil {
		return err
	}
	level := logrus.WarnLevel
	if d.verbose {
		level = logrus.DebugLevel
	}
	fleet := &devFleet{
		streams: to,
		log:     operator.NewLog(operator.LogConfig{Level: level, Format: "text", Output: to.err}),
	}
	defer fleet.close()
	if err := fleet.open(d.callers, d.operator); err != nil {
		return err
	}
	return fleet.run(ctx)
}

// devFleet is all that the dev command runs.
type devFleet struct {
	streams   streams
	log       *logrus.Logger
	platform  netip.AddrPort
	standins  []server
	serving   errgroup.Group
	endpoints []sampleEndpoint
	routers   []devRouter
}

// devRouter is one router with its listeners.
type devRouter struct {
	host      string
	centre    string
	listeners []net.Listener // listeners are those of callers, operators and peers.
	process   *process.Process
}

// open listens everywhere and starts the stand-ins.
func (f *devFleet) open(callers, operators netip.AddrPort) error {
	for i := range devRouters {
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
	address, err := f.serve(platform.New(platform.Config{Environment: sampleEnvironment, Hosts: hosts}))
	f.platform = address
	return err
}

func (f *devFleet) openRouter(i int, callers, operators netip.AddrPort) error {
	listeners, err := listenAll(callers, operators, loopback)
	if err != nil {
		return err
	}
	f.routers = append(f.routers, devRouter{
		host:      fmt.Sprintf("router-%d", i+1),
		centre:    sampleDataCentres[i%len(sampleDataCentres)],
		listeners: listeners,
	})
	return nil
}

func (f *devFleet) openEndpoints() error {
	for i, centre := range sampleDataCentres {
		name := fmt.Sprintf("engine-%d", i+1)
		address, err := f.serve(engine.New(engine.Config{
			Name:       name,
			WarmLimit:  sampleWarmLimit,
			ColdLimit:  sampleColdLimit,
			WarmUp:     sampleWarmUp,
			ReportLag:  reportLag,
			FirstToken: devEngineFirst,
			TokenGap:   devEngineGap,
		}))
		if err != nil {
			return err
		}
		f.endpoints = append(f.endpoints, sampleEndpoint{name, samplePool, centre, address})
	}
	address, err := f.serve(service.New(service.Config{
		Name:      "tickets-1",
		WarmLimit: sampleWarmLimit,
		ColdLimit: sampleColdLimit,
		WarmUp:    sampleWarmUp,
		ReportLag: reportLag,
		Duration:  devCallTime,
	}))
	f.endpoints = append(f.endpoints, sampleEndpoint{"tickets-1", servicePool, sampleDataCentres[0], address})
	return err
}

// serve starts a stand-in on a free port.
func (f *devFleet) serve(one server) (netip.AddrPort, error) {
	listener, err := listen(loopback)
	if err != nil {
		return netip.AddrPort{}, err
	}
	f.standins = append(f.standins, one)
	f.serving.Go(func() error { return one.Serve(listener) })
	return addressOf(listener), nil
}

func (f *devFleet) close() {
	for _, one := range f.standins {
		one.Close()
	}
	if err := f.serving.Wait(); err != nil {
		f.log.WithError(err).Warn("A stand-in ended with an error.")
	}
	for _, one := range f.routers {
		for _, listener := range one.listeners {
			listener.Close()
		}
	}
}

// run starts the routers and serves until ctx ends.
func (f *devFleet) run(ctx context.Context) error {
	if err := publishSample(ctx, f.platform, f.endpoints); err != nil {
		return err
	}
	group, running := errgroup.WithContext(ctx)
	for i := range f.routers {
		one := &f.routers[i]
		given, err := f.settings(one)
		if err != nil {
			return err
		}
		one.process = process.New(process.Config{
			Settings: given,
			Callers:  one.listeners[0],
			Operator: one.listeners[1],
			Peers:    one.listeners[2],
			Log:      f.log.WithField("router", one.host),
		})
	}
	for _, one := range f.routers {
		group.Go(func() error { return one.process.Run(running) })
	}
	group.Go(func() error {
		if err := f.awaitReady(running); err != nil {
			return err
		}
		f.explain()
		<-running.Done()
		fmt.Fprintln(f.streams.out, "\nShutting down: all requests finish first.")
		return nil
	})
	return group.Wait()
}

// settings returns the settings of a router, through the checks that a file goes through.
func (f *devFleet) settings(one *devRouter) (*settings.Settings, error) {
	text := fmt.Sprintf(`host = %q
data_centre = %q
environment = %q
callers_address = %q
operator_address = %q
peer_address = %q
platform_address = %q
peer_key = "the dev command's own key"
balancer_lag = %q
`, one.host, one.centre, sampleEnvironment, one.listeners[0].Addr(), one.listeners[1].Addr(),
		one.listeners[2].Addr(), f.platform, devBalancerLag)
	return settings.Parse("dev", []byte(text))
}

// awaitReady waits until all routers take requests.
func (f *devFleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, devReadyLimit)
	defer cancel()
	for !f.isReady() {
		select {
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.Canceled) {
				return nil
			}
			return fmt.Errorf("the routers were not ready within %v; run with -verbose to see why", devReadyLimit)
		case <-time.After(devReadyPoll):
		}
	}
	return nil
}

func (f *devFleet) isReady() bool {
	for _, one := range f.routers {
		if !one.process.Health().Healthy() {
			return false
		}
	}
	return true
}

// explain prints where things listen and what to paste.
func (f *devFleet) explain() {
	out := f.streams.out
	first := f.routers[0]
	fmt.Fprintln(out, "ryelug dev: three routers, a platform, three engines and a service, on loopback.")
	for _, one := range f.routers {
		fmt.Fprintf(out, "  %s in %s: callers http://%s, operators http://%s/debug/vars and /healthz\n",
			one.host, one.centre, one.listeners[0].Addr(), one.listeners[1].Addr())
	}
	for _, one := range f.endpoints {
		fmt.Fprintf(out, "  %s in %s: http://%s\n", one.name, one.dataCentre, one.address)
	}
	fmt.Fprintf(out, "  platform: http://%s, environment %s\n", f.platform, sampleEnvironment)
	fmt.Fprintln(out, "Teams:")
	for _, team := range sampleTeams {
		fmt.Fprintf(out, "  %s, share %d, key %s\n", team.name, team.share, team.key)
	}
	fmt.Fprintln(out, "\nA streamed answer from an engine:")
	fmt.Fprintf(out, "  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \\\n    -d '%s'\n",
		first.listeners[0].Addr(), sampleTeams[0].key,
		`{"model":"`+sampleModel+`","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Plan a visit for a school."}]}`)
	fmt.Fprintln(out, "A call of the service, which runs at most once:")
	fmt.Fprintf(out, "  curl http://%s%s -H 'Authorization: Bearer %s' -H 'Idempotency-Key: visit-1' \\\n    -d '{\"adults\":2}'\n",
		first.listeners[0].Addr(), servicePath, sampleTeams[2].key)
	fmt.Fprintln(out, "The counters of the first router:")
	fmt.Fprintf(out, "  curl http://%s/debug/vars\n", first.listeners[1].Addr())
	fmt.Fprintln(out, "\nInterrupt (Ctrl-C) to shut down.")
}

func addressOf(listener net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(listener.Addr().String())
}
