package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/google/subcommands"

	"ryelug/router/process"
	"ryelug/standin/engine"
	"ryelug/standin/platform"
	"ryelug/standin/service"
)

const reportLag = 500 * time.Millisecond

// standinCommand runs one stand-in as a process.
type standinCommand struct{}

// Name returns the command's name.
func (*standinCommand) Name() string { return "standin" }

// Synopsis returns one line of help.
func (*standinCommand) Synopsis() string { return "run a stand-in of the platform or of an endpoint" }

// Usage returns the help text.
func (*standinCommand) Usage() string {
	return `standin platform|engine|service [flags]

Run a stand-in for trials and tests. It prints its address and runs until it is
interrupted. "ryelug standin help engine" tells the flags of one.

Example:
  ryelug standin engine -listen 127.0.0.1:9001 -name engine-1
`
}

// SetFlags sets no flags; each stand-in has its own.
func (*standinCommand) SetFlags(*flag.FlagSet) {}

func (*standinCommand) run(ctx context.Context, flags *flag.FlagSet, to streams) error {
	commander := subcommands.NewCommander(flags, "ryelug standin")
	commander.Output, commander.Error = to.out, to.err
	for _, one := range []action{&platformStandin{}, &engineStandin{}, &serviceStandin{}} {
		commander.Register(&command{streams: to, action: one}, "stand-ins")
	}
	commander.Register(commander.HelpCommand(), "help")
	if flags.NArg() == 0 {
		return usageError("name a stand-in: platform, engine or service")
	}
	if status := commander.Execute(ctx); status != subcommands.ExitSuccess {
		return &reported{status: status}
	}
	return nil
}

// server is what all stand-ins are.
type server interface {
	Serve(listener net.Listener) error
	Close()
}

// serve listens, tells where, and serves until ctx ends.
func serve(ctx context.Context, one server, address netip.AddrPort, to streams) error {
	listener, err := process.Listen(address)
	if err != nil {
		return err
	}
	fmt.Fprintf(to.out, "listening on %s\n", listener.Addr())
	stop := context.AfterFunc(ctx, one.Close)
	defer stop()
	if err := one.Serve(listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("the stand-in failed: %w", err)
	}
	return nil
}

// endpointFlags are the flags of engines and services.
type endpointFlags struct {
	listen    netip.AddrPort
	name      string
	warmLimit int
	coldLimit int
	warmUp    int
	cold      bool
}

func (e *endpointFlags) set(flags *flag.FlagSet, name string) {
	flags.Var(addressFlag{&e.listen}, "listen", "address and port to listen on; port 0 takes a free one")
	flags.StringVar(&e.name, "name", name, "name of the endpoint")
	flags.IntVar(&e.warmLimit, "warm_limit", 8, "requests in flight that it bears when warm")
	flags.IntVar(&e.coldLimit, "cold_limit", 2, "requests in flight that it bears during a cold start")
	flags.IntVar(&e.warmUp, "warm_up", 20, "completed requests that make it warm")
	flags.BoolVar(&e.cold, "cold", false, "begin with a cold start")
}

func (e *endpointFlags) check(flags *flag.FlagSet) error {
	if !e.listen.IsValid() {
		return usageError("-listen is missing")
	}
	return noArguments(flags)
}

// engineStandin runs a stand-in of a model engine.
type engineStandin struct {
	endpointFlags
	firstToken time.Duration
	tokenGap   time.Duration
}

// Name returns the command's name.
func (*engineStandin) Name() string { return "engine" }

// Synopsis returns one line of help.
func (*engineStandin) Synopsis() string { return "stand in for a model engine" }

// Usage returns the help text.
func (*engineStandin) Usage() string {
	return `engine -listen ADDRESS [flags]

Answer chat completions whole or as server-sent events, with resume, cancel and
load reports.

Example:
  ryelug standin engine -listen 127.0.0.1:9001 -name engine-1 -token_gap 20ms

Flags:
`
}

// SetFlags sets the flags.
func (e *engineStandin) SetFlags(flags *flag.FlagSet) {
	e.set(flags, "engine")
	flags.DurationVar(&e.firstToken, "first_token", 50*time.Millisecond, "time to the first token")
	flags.DurationVar(&e.tokenGap, "token_gap", 20*time.Millisecond, "time between tokens")
}

func (e *engineStandin) run(ctx context.Context, flags *flag.FlagSet, to streams) error {
	if err := e.check(flags); err != nil {
		return err
	}
	standin := engine.New(engine.Config{
		Name:       e.name,
		WarmLimit:  e.warmLimit,
		ColdLimit:  e.coldLimit,
		WarmUp:     e.warmUp,
		Cold:       e.cold,
		ReportLag:  reportLag,
		FirstToken: e.firstToken,
		TokenGap:   e.tokenGap,
	})
	return serve(ctx, standin, e.listen, to)
}

// serviceStandin runs a stand-in of a plain service.
type serviceStandin struct {
	endpointFlags
	duration time.Duration
}

// Name returns the command's name.
func (*serviceStandin) Name() string { return "service" }

// Synopsis returns one line of help.
func (*serviceStandin) Synopsis() string { return "stand in for a plain service" }

// Usage returns the help text.
func (*serviceStandin) Usage() string {
	return `service -listen ADDRESS [flags]

Answer any POST with a numbered receipt, so that a call that ran twice is seen.

Example:
  ryelug standin service -listen 127.0.0.1:9101 -name tickets-1 -duration 50ms

Flags:
`
}

// SetFlags sets the flags.
func (s *serviceStandin) SetFlags(flags *flag.FlagSet) {
	s.set(flags, "service")
	flags.DurationVar(&s.duration, "duration", 50*time.Millisecond, "time that a call takes")
}

func (s *serviceStandin) run(ctx context.Context, flags *flag.FlagSet, to streams) error {
	if err := s.check(flags); err != nil {
		return err
	}
	standin := service.New(service.Config{
		Name:      s.name,
		WarmLimit: s.warmLimit,
		ColdLimit: s.coldLimit,
		WarmUp:    s.warmUp,
		Cold:      s.cold,
		ReportLag: reportLag,
		Duration:  s.duration,
	})
	return serve(ctx, standin, s.listen, to)
}

// platformStandin runs a stand-in of the platform.
type platformStandin struct {
	listen      netip.AddrPort
	environment string
	hosts       hostsFlag
}

// Name returns the command's name.
func (*platformStandin) Name() string { return "platform" }

// Synopsis returns one line of help.
func (*platformStandin) Synopsis() string { return "stand in for the platform's object API" }

// Usage returns the help text.
func (*platformStandin) Usage() string {
	return `platform -listen ADDRESS [-host NAME,DATA_CENTRE,PEER_ADDRESS]...

Keep versioned objects in memory, with conditional updates and watches, and list
the given hosts.

Example:
  ryelug standin platform -listen 127.0.0.1:9000 -environment trial \
    -host khomas-1,khomas-a,127.0.0.1:9201 -host khomas-2,khomas-b,127.0.0.1:9202

Flags:
`
}

// SetFlags sets the flags.
func (p *platformStandin) SetFlags(flags *flag.FlagSet) {
	flags.Var(addressFlag{&p.listen}, "listen", "address and port to listen on; port 0 takes a free one")
	flags.StringVar(&p.environment, "environment", "trial", "environment that the hosts belong to")
	flags.Var(&p.hosts, "host", "a host as NAME,DATA_CENTRE,PEER_ADDRESS; may be given again")
}

func (p *platformStandin) run(ctx context.Context, flags *flag.FlagSet, to streams) error {
	if !p.listen.IsValid() {
		return usageError("-listen is missing")
	}
	if err := noArguments(flags); err != nil {
		return err
	}
	standin := platform.New(platform.Config{Environment: p.environment, Hosts: p.hosts})
	return serve(ctx, standin, p.listen, to)
}

// hostsFlag is a flag that may be given once a host.
type hostsFlag []platform.Host

// String returns the names of the hosts.
func (h *hostsFlag) String() string {
	var names []string
	for _, host := range *h {
		names = append(names, host.Host)
	}
	return strings.Join(names, " ")
}

// Set adds a host.
func (h *hostsFlag) Set(text string) error {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return errors.New("give NAME,DATA_CENTRE,PEER_ADDRESS")
	}
	address, err := netip.ParseAddrPort(parts[2])
	if err != nil {
		return fmt.Errorf("%q is not an IP address and port", parts[2])
	}
	*h = append(*h, platform.Host{Host: parts[0], DataCentre: parts[1], PeerAddress: address})
	return nil
}
