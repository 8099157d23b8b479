package standin

import (
	"context"
	"flag"
	"net/netip"
	"time"

	"ryelug/cmd/ryelug/command"
	"ryelug/standin/engine"
	"ryelug/standin/service"
)

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
	flags.Var(command.AddressFlag{Address: &e.listen}, "listen", "address and port to listen on; port 0 takes a free one")
	flags.StringVar(&e.name, "name", name, "name of the endpoint")
	flags.IntVar(&e.warmLimit, "warm_limit", 8, "requests in flight that it bears when warm")
	flags.IntVar(&e.coldLimit, "cold_limit", 2, "requests in flight that it bears during a cold start")
	flags.IntVar(&e.warmUp, "warm_up", 20, "completed requests that make it warm")
	flags.BoolVar(&e.cold, "cold", false, "begin with a cold start")
}

func (e *endpointFlags) check(flags *flag.FlagSet) error {
	if !e.listen.IsValid() {
		return command.UsageError("-listen is missing")
	}
	return command.NoArguments(flags)
}

// engineStandin runs a stand-in of a model engine.
type engineStandin struct {
	endpointFlags
	firstToken time.Duration
	tokenGap   time.Duration
}

// Text returns what the command says of itself.
func (*engineStandin) Text() command.Text {
	return command.Text{
		Name:     "engine",
		Synopsis: "stand in for a model engine",
		Usage: `engine -listen ADDRESS [flags]

Answer chat completions whole or as server-sent events, with resume, cancel and
load reports.

Example:
  ryelug standin engine -listen 127.0.0.1:9001 -name engine-1 -token_gap 20ms

Flags:
`,
	}
}

// SetFlags sets the flags.
func (e *engineStandin) SetFlags(flags *flag.FlagSet) {
	e.set(flags, "engine")
	flags.DurationVar(&e.firstToken, "first_token", 50*time.Millisecond, "time to the first token")
	flags.DurationVar(&e.tokenGap, "token_gap", 20*time.Millisecond, "time between tokens")
}

// Run implements command.Action.
func (e *engineStandin) Run(ctx context.Context, flags *flag.FlagSet, to command.Streams) error {
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

// Text returns what the command says of itself.
func (*serviceStandin) Text() command.Text {
	return command.Text{
		Name:     "service",
		Synopsis: "stand in for a plain service",
		Usage: `service -listen ADDRESS [flags]

Answer any POST with a numbered receipt, so that a call that ran twice is seen.

Example:
  ryelug standin service -listen 127.0.0.1:9101 -name tickets-1 -duration 50ms

Flags:
`,
	}
}

// SetFlags sets the flags.
func (s *serviceStandin) SetFlags(flags *flag.FlagSet) {
	s.set(flags, "service")
	flags.DurationVar(&s.duration, "duration", 50*time.Millisecond, "time that a call takes")
}

// Run implements command.Action.
func (s *serviceStandin) Run(ctx context.Context, flags *flag.FlagSet, to command.Streams) error {
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
