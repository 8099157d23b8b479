package main

import (
	"context"
	"flag"

	"ryelug/cmd/ryelug/command"
)

// promoteCommand carries the policy of one environment to another.
type promoteCommand struct {
	target target
	from   string
	show   bool
}

// Text returns what the command says of itself.
func (*promoteCommand) Text() command.Text {
	return command.Text{
		Name:     "promote",
		Synopsis: "carry the policy of one environment to another",
		Usage: `promote -platform ADDR -from NAME -environment NAME [-show]

Carry the policy that is in force in one environment to another.

Carried: all pools, all routes, the share of each team, teams that are new
(without keys), and warm_limit and cold_limit of endpoints that both have in the
same pool. Kept: data centres, endpoints with their addresses, data centres and
leaving, key_hashes, and teams that only the other environment has.

Example:
  ryelug promote -platform 192.0.2.10:8080 -from trial -environment production

Flags:
`,
	}
}

// SetFlags sets the command's flags.
func (c *promoteCommand) SetFlags(flags *flag.FlagSet) {
	c.target.setFlags(flags)
	flags.StringVar(&c.from, "from", "", "name of the environment that the policy comes from")
	flags.BoolVar(&c.show, "show", false, "print the document and change nothing")
}

// Run implements command.Action.
func (c *promoteCommand) Run(ctx context.Context, flags *flag.FlagSet, to command.Streams) error {
	if err := command.NoArguments(flags); err != nil {
		return err
	}
	if c.from == "" || c.from == c.target.environment {
		return command.UsageError("-from is missing or the same as -environment; give the environment that the policy comes from")
	}
	operator, err := c.target.operator(to)
	if err != nil {
		return err
	}
	return operator.Promote(ctx, c.from, c.show)
}
