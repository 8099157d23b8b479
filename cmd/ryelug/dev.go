package main

import (
	"context"
	"flag"
	"net/netip"

	"github.com/sirupsen/logrus"

	"ryelug/io/operator"
	"ryelug/standin/local"
)

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
	return local.Run(ctx, local.Config{
		Callers:  d.callers,
		Operator: d.operator,
		Log:      operator.NewLog(operator.LogConfig{Level: level, Format: "text", Output: to.err}),
		Out:      to.out,
	})
}
