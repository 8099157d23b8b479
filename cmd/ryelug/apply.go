package main

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"ryelug/core/change"
	"ryelug/core/config"
	"ryelug/core/result"
	"ryelug/router/publish"
)

// applyCommand puts a document file in force.
type applyCommand struct {
	target target
	back   bool
	above  uint64
}

// Name returns the command's name.
func (*applyCommand) Name() string { return "apply" }

// Synopsis returns one line of help.
func (*applyCommand) Synopsis() string { return "put a document in force" }

// Usage returns the help text.
func (*applyCommand) Usage() string {
	return `apply -platform ADDR -environment NAME [-return] [-above N] FILE

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
`
}

// SetFlags sets the command's flags.
func (c *applyCommand) SetFlags(flags *flag.FlagSet) {
	c.target.setFlags(flags)
	flags.Uint64Var(&c.above, "above", 0, "generation that the new one must exceed, after the platform was set back")
	flags.BoolVar(&c.back, "return", false, "let the file return data centres and endpoints to work")
}

func (c *applyCommand) run(ctx context.Context, flags *flag.FlagSet, to streams) error {
	name, err := oneArgument(flags, "document file")
	if err != nil {
		return err
	}
	document, err := readDocument(name)
	if err != nil {
		return err
	}
	if c.target.environment == "" {
		c.target.environment = document.Environment
	}
	if document.Environment != c.target.environment {
		wrong := &config.Error{Line: 1, Key: "environment", Value: document.Environment, Allowed: c.target.environment + ", as -environment says"}
		return documentError(name, config.Errors{wrong})
	}
	publisher, err := c.target.publisher(to)
	if err != nil {
		return err
	}
	base, err := publisher.Read(ctx)
	if err != nil {
		return withCode(err)
	}
	if base.Broken != nil {
		fmt.Fprintf(to.err, "ryelug: replaces a document that can't be read: %v\n", base.Broken)
	}
	if err := c.refuseReturns(base, document); err != nil {
		return err
	}
	return put(ctx, publisher, publish.Change{Base: base, Document: document, Text: "apply", Above: c.above}, to)
}

// refuseReturns refuses a document that would put back to work what operators have taken out.
func (c *applyCommand) refuseReturns(base publish.Snapshot, document *config.Document) error {
	if c.back || base.Document == nil {
		return nil
	}
	back := change.Returns(base.Document, document)
	if len(back) == 0 {
		return nil
	}
	err := fmt.Errorf("the file would return %s; set out or leaving in the file, or give -return", strings.Join(back, ", "))
	return result.Wrap(result.Conflict, err)
}
