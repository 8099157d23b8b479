package main

import (
	"context"
	"flag"
	"net/netip"

	"github.com/sirupsen/logrus"

	"ryelug/cmd/ryelug/command"
	"ryelug/io/operator"
	"ryelug/standin/local"
)

// devCommand runs a whole fleet with stand-ins in one process.
type devCommand struct {
	callers  netip.AddrPort
	operator netip.AddrPort
	verbose  bool
}

// Text returns what the command says of itself.
func (*devCommand) Text() command.Text {
	return command.Text{
		Name:     "dev",
		Synopsis: "run a small fleet with stand-ins on loopback",
		Usage: `dev [-callers ADDRESS] [-operator ADDRESS] [-verbose]

Run three routers, a stand-in of the platform, engines in three data centres and
a service whose calls may not be repeated, in one process on loopback. It prints
where they listen and curl lines to paste. Interrupt it to shut it down.

Example:
  ryelug dev -callers 127.0.0.1:28080 -operator 127.0.0.1:28081

Flags:
`,
	}
}

// SetFlags sets the flags.
func (d *devCommand) SetFlags(flags *flag.FlagSet) {
	d.callers = netip.MustParseAddrPort("127.0.0.1:18080")
	d.operator = netip.MustParseAddrPort("127.0.0.1:18081")
	flags.Var(command.AddressFlag{Address: &d.callers}, "callers", "where callers reach the first router")
	flags.Var(command.AddressFlag{Address: &d.operator}, "operator", "where operators reach the first router")
	flags.BoolVar(&d.verbose, "verbose", false, "log all that the routers do")
}

// Run implements command.Action.
func (d *devCommand) Run(ctx context.Context, flags *flag.FlagSet, to command.Streams) error {
	if err := command.NoArguments(flags); err != nil {
		return err
	}
	level := logrus.WarnLevel
	if d.verbose {
		level = logrus.DebugLevel
	}
	return local.Run(ctx, local.Config{
		Callers:  d.callers,
		Operator: d.operator,
		Log:      operator.NewLog(operator.LogConfig{Level: level, Format: "text", Output: to.Err}),
		Out:      to.Out,
	})
}
