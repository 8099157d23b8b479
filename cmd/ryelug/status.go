package main

import (
	"context"
	"flag"

	"ryelug/cmd/ryelug/command"
)

// statusCommand prints what is in force.
type statusCommand struct {
	target target
	show   bool
}

// Text returns what the command says of itself.
func (*statusCommand) Text() command.Text {
	return command.Text{
		Name:     "status",
		Synopsis: "print what is in force",
		Usage: `status -platform ADDR -environment NAME [-show]

Print the generation in force, the change that made it, and what is out or
leaving. With -show, print the whole document instead.

Example:
  ryelug status -platform 192.0.2.10:8080 -environment trial

Flags:
`,
	}
}

// SetFlags sets the command's flags.
func (c *statusCommand) SetFlags(flags *flag.FlagSet) {
	c.target.setFlags(flags)
	flags.BoolVar(&c.show, "show", false, "print the document")
}

// Run implements command.Action.
func (c *statusCommand) Run(ctx context.Context, flags *flag.FlagSet, to command.Streams) error {
	if err := command.NoArguments(flags); err != nil {
		return err
	}
	operator, err := c.target.operator(to)
	if err != nil {
		return err
	}
	if c.show {
		return operator.Show(ctx)
	}
	return operator.Status(ctx)
}
