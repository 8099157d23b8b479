package main

import (
	"context"
	"flag"

	"ryelug/cmd/ryelug/command"
)

// endpointCommand takes an endpoint out of work or returns it.
type endpointCommand struct {
	target target
}

// Text returns what the command says of itself.
func (*endpointCommand) Text() command.Text {
	return command.Text{
		Name:     "endpoint",
		Synopsis: "let an endpoint leave or return",
		Usage: `endpoint leave|return -platform ADDR -environment NAME NAME

Let an endpoint leave, so that it gets no new work within 3 s while its running
requests finish, or return it.

Example:
  ryelug endpoint leave -platform 192.0.2.10:8080 -environment trial engine-1

Flags:
`,
	}
}

// SetFlags sets the command's flags.
func (c *endpointCommand) SetFlags(flags *flag.FlagSet) {
	c.target.setFlags(flags)
}

// Run implements command.Action.
func (c *endpointCommand) Run(ctx context.Context, flags *flag.FlagSet, to command.Streams) error {
	verb, name, err := command.VerbAndName(flags, "leave", "return")
	if err != nil {
		return err
	}
	operator, err := c.target.operator(to)
	if err != nil {
		return err
	}
	return operator.SetEndpointLeaving(ctx, name, verb, verb == "leave")
}
