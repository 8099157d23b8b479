package main

import (
	"context"
	"flag"
	"fmt"

	"ryelug/core/change"
	"ryelug/core/config"
)

// endpointCommand takes an endpoint out of work or returns it.
type endpointCommand struct {
	target target
}

// Name returns the command's name.
func (*endpointCommand) Name() string { return "endpoint" }

// Synopsis returns one line of help.
func (*endpointCommand) Synopsis() string { return "let an endpoint leave or return" }

// Usage returns the help text.
func (*endpointCommand) Usage() string {
	return `endpoint leave|return -platform ADDR -environment NAME NAME

Let an endpoint leave, so that it gets no new work within 3 s while its running
requests finish, or return it.

Example:
  ryelug endpoint leave -platform 192.0.2.10:8080 -environment trial engine-1

Flags:
`
}

// SetFlags sets the command's flags.
func (c *endpointCommand) SetFlags(flags *flag.FlagSet) {
	c.target.setFlags(flags)
}

func (c *endpointCommand) run(ctx context.Context, flags *flag.FlagSet, to streams) error {
	verb, name, err := verbAndName(flags, "leave", "return")
	if err != nil {
		return err
	}
	text := fmt.Sprintf("endpoint %s %s", verb, name)
	return edit(ctx, &c.target, to, text, func(d *config.Document) error {
		return change.SetLeaving(d, name, verb == "leave")
	})
}
