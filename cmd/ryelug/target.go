package main

import (
	"flag"
	"net/netip"
	"time"

	"ryelug/cmd/ryelug/command"
	"ryelug/router/operate"
	"ryelug/router/publish"
)

// target is the environment that a command reads or changes.
type target struct {
	platform    netip.AddrPort
	environment string
	wait        time.Duration
}

func (t *target) setFlags(flags *flag.FlagSet) {
	flags.Var(command.AddressFlag{Address: &t.platform}, "platform", "IP address and port of the platform")
	flags.StringVar(&t.environment, "environment", "", "name of the environment")
	flags.DurationVar(&t.wait, "wait", publish.DefaultPatience, "how long a step is tried while the platform does not answer")
}

// operator returns what carries the command out.
func (t *target) operator(to command.Streams) (*operate.Operator, error) {
	return operate.New(operate.Config{
		Platform:    t.platform,
		Environment: t.environment,
		Patience:    t.wait,
		Out:         to.Out,
		Notices:     to.Err,
	})
}
