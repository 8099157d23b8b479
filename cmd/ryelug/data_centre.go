package main

import (
	"context"
	"flag"
	"fmt"

	"ryelug/core/change"
	"ryelug/core/config"
)

// dataCentreCommand takes a data centre out of work or returns it.
type dataCentreCommand struct {
	target target
}

// Name returns the command's name.
func (*dataCentreCommand) Name() string { return "data-centre" }

// Synopsis returns one line of help.
func (*dataCentreCommand) Synopsis() string { return "take a data centre out or in" }

// Usage returns the help text.
func (*dataCentreCommand) Usage() string {
	return `data-centre out|in -platform ADDR -environment NAME NAME

Take a data centre out, so that its endpoints get no new work within 3 s while
running requests finish, or return it.

Example:
  ryelug data-centre out -platform 192.0.2.10:8080 -environment trial khomas-1

Flags:
`
}

// SetFlags sets the command's flags.
func (c *dataCentreCommand) SetFlags(flags *flag.FlagSet) {
	c.target.setFlags(flags)
}

func (c *dataCentreCommand) run(ctx context.Context, flags *flag.FlagSet, to streams) error {
	verb, name, err := verbAndName(flags, "out", "in")
	if err != nil {
		return err
	}
	text := fmt.Sprintf("data-centre %s %s", verb, name)
	return edit(ctx, &c.target, to, text, func(d *config.Document) error {
		return change.SetOut(d, name, verb == "out")
	})
}
