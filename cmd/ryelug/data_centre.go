package main

import (
	"context"
	"flag"

	"ryelug/cmd/ryelug/command"
)

// dataCentreCommand takes a data centre out of work or returns it.
type dataCentreCommand struct {
	target target
}

// Text returns what the command says of itself.
func (*dataCentreCommand) Text() command.Text {
	return command.Text{
		Name:     "data-centre",
		Synopsis: "take a data centre out or in",
		Usage: `data-centre out|in -platform ADDR -environment NAME NAME

Take a data centre out, so that its endpoints get no new work within 3 s while
running requests finish, or return it.

Example:
  ryelug data-centre out -platform 192.0.2.10:8080 -environment trial khomas-1

Flags:
`,
	}
}

// SetFlags sets the command's flags.
func (c *dataCentreCommand) SetFlags(flags *flag.FlagSet) {
	c.target.setFlags(flags)
}

// Run implements command.Action.
func (c *dataCentreCommand) Run(ctx context.Context, flags *flag.FlagSet, to command.Streams) error {
	verb, name, err := command.VerbAndName(flags, "out", "in")
	if err != nil {
		return err
	}
	operator, err := c.target.operator(to)
	if err != nil {
		return err
	}
	return operator.SetDataCentreOut(ctx, name, verb, verb == "out")
}
