package main

import (
	"context"
	"flag"

	"ryelug/cmd/ryelug/command"
)

// historyCommand prints the generations that are kept.
type historyCommand struct {
	target     target
	generation uint64
}

// Text returns what the command says of itself.
func (*historyCommand) Text() command.Text {
	return command.Text{
		Name:     "history",
		Synopsis: "print former generations",
		Usage: `history -platform ADDR -environment NAME [-generation N]

Print the generation in force and at least the 20 before it, as far as there
are, the newest first. With -generation, print the whole document of that one,
which "ryelug apply" can put in force again.

Example:
  ryelug history -platform 192.0.2.10:8080 -environment trial -generation 41

Flags:
`,
	}
}

// SetFlags sets the command's flags.
func (c *historyCommand) SetFlags(flags *flag.FlagSet) {
	c.target.setFlags(flags)
	flags.Uint64Var(&c.generation, "generation", 0, "generation whose document is printed")
}

// Run implements command.Action.
func (c *historyCommand) Run(ctx context.Context, flags *flag.FlagSet, to command.Streams) error {
	if err := command.NoArguments(flags); err != nil {
		return err
	}
	operator, err := c.target.operator(to)
	if err != nil {
		return err
	}
	if c.generation != 0 {
		return operator.ShowGeneration(ctx, c.generation)
	}
	return operator.History(ctx)
}
