package main

import (
	"context"
	"flag"

	"ryelug/cmd/ryelug/command"
	"ryelug/router/operate"
)

// applyCommand puts a document file in force.
type applyCommand struct {
	target target
	back   bool
	above  uint64
}

// Text returns what the command says of itself.
func (*applyCommand) Text() command.Text {
	return command.Text{
		Name:     "apply",
		Synopsis: "put a document in force",
		Usage: `apply -platform ADDR -environment NAME [-return] [-above N] FILE

Validate a document as "ryelug check" does and put it in force as the next
generation. If another change comes first, nothing of this one is kept.

A file that would return a data centre that is out, or an endpoint that leaves,
is refused unless -return is given: "ryelug data-centre" and "ryelug endpoint"
may have changed them since the file was written.

Routers never go back to a lower generation. If the platform was restored to an
older state, their logs name the generation in force; give it with -above.

Example:
  ryelug apply -platform 192.0.2.10:8080 -environment trial trial.toml

Flags:
`,
	}
}

// SetFlags sets the command's flags.
func (c *applyCommand) SetFlags(flags *flag.FlagSet) {
	c.target.setFlags(flags)
	flags.Uint64Var(&c.above, "above", 0, "generation that the new one must exceed, after the platform was set back")
	flags.BoolVar(&c.back, "return", false, "let the file return data centres and endpoints to work")
}

// Run implements command.Action.
func (c *applyCommand) Run(ctx context.Context, flags *flag.FlagSet, to command.Streams) error {
	name, err := command.OneArgument(flags, "document file")
	if err != nil {
		return err
	}
	document, err := operate.ReadDocument(name)
	if err != nil {
		return err
	}
	if c.target.environment == "" {
		c.target.environment = document.Environment
	}
	if err := operate.CheckEnvironment(name, document, c.target.environment); err != nil {
		return err
	}
	operator, err := c.target.operator(to)
	if err != nil {
		return err
	}
	return operator.Apply(ctx, operate.ApplyRequest{Document: document, AllowReturns: c.back, Above: c.above})
}
