package main

import (
	"context"
	"flag"
	"fmt"
	"time"
)

// statusCommand prints what is in force.
type statusCommand struct {
	target target
	show   bool
}

// Name returns the command's name.
func (*statusCommand) Name() string { return "status" }

// Synopsis returns one line of help.
func (*statusCommand) Synopsis() string { return "print what is in force" }

// Usage returns the help text.
func (*statusCommand) Usage() string {
	return `status -platform ADDR -environment NAME [-show]

Print the generation in force, the change that made it, and what is out or
leaving. With -show, print the whole document instead.

Example:
  ryelug status -platform 192.0.2.10:8080 -environment trial

Flags:
`
}

// SetFlags sets the command's flags.
func (c *statusCommand) SetFlags(flags *flag.FlagSet) {
	c.target.setFlags(flags)
	flags.BoolVar(&c.show, "show", false, "print the document")
}

func (c *statusCommand) run(ctx context.Context, flags *flag.FlagSet, to streams) error {
	if err := noArguments(flags); err != nil {
		return err
	}
	publisher, err := c.target.publisher(to)
	if err != nil {
		return err
	}
	now, err := readPresent(ctx, publisher, c.target.environment)
	if err != nil {
		return err
	}
	if c.show {
		return printDocument(to, now.Document)
	}
	printRoot(to, now.Root)
	summarise(to.out, now.Document)
	for _, centre := range now.Document.DataCentres {
		if centre.Out {
			fmt.Fprintf(to.out, "data centre %s is out\n", centre.Name)
		}
	}
	for _, endpoint := range now.Document.Endpoints {
		if endpoint.Leaving {
			fmt.Fprintf(to.out, "endpoint %s is leaving\n", endpoint.Name)
		}
	}
	return nil
}

// timeForm is how commands print a time.
const timeForm = time.RFC3339
