package main

import (
	"context"
	"flag"
	"fmt"

	"ryelug/core/change"
	"ryelug/core/config"
	"ryelug/router/publish"
)

// promoteCommand carries the policy of one environment to another.
type promoteCommand struct {
	target target
	from   string
	show   bool
}

// Name returns the command's name.
func (*promoteCommand) Name() string { return "promote" }

// Synopsis returns one line of help.
func (*promoteCommand) Synopsis() string { return "carry the policy of one environment to another" }

// Usage returns the help text.
func (*promoteCommand) Usage() string {
	return `promote -platform ADDR -from NAME -environment NAME [-show]

Carry the policy that is in force in one environment to another.

Carried: all pools, all routes, the share of each team, teams that are new
(without keys), and warm_limit and cold_limit of endpoints that both have in the
same pool. Kept: data centres, endpoints with their addresses, data centres and
leaving, key_hashes, and teams that only the other environment has.

Example:
  ryelug promote -platform 192.0.2.10:8080 -from trial -environment production

Flags:
`
}

// SetFlags sets the command's flags.
func (c *promoteCommand) SetFlags(flags *flag.FlagSet) {
	c.target.setFlags(flags)
	flags.StringVar(&c.from, "from", "", "name of the environment that the policy comes from")
	flags.BoolVar(&c.show, "show", false, "print the document and change nothing")
}

func (c *promoteCommand) run(ctx context.Context, flags *flag.FlagSet, to streams) error {
	if err := noArguments(flags); err != nil {
		return err
	}
	if c.from == "" || c.from == c.target.environment {
		return usageError("-from is missing or the same as -environment; give the environment that the policy comes from")
	}
	publisher, err := c.target.publisher(to)
	if err != nil {
		return err
	}
	source := target{platform: c.target.platform, environment: c.from, wait: c.target.wait}
	origin, err := source.publisher(to)
	if err != nil {
		return err
	}
	policy, err := readPresent(ctx, origin, c.from)
	if err != nil {
		return err
	}
	base, err := readPresent(ctx, publisher, c.target.environment)
	if err != nil {
		return err
	}
	promotion, err := change.Promote(policy.Document, base.Document)
	if err != nil {
		return withCode(fmt.Errorf("the policy of %s does not fit %s: %w", c.from, c.target.environment, err))
	}
	for _, note := range promotion.Notes {
		fmt.Fprintf(to.err, "ryelug: %s\n", note)
	}
	if c.show {
		_, err := to.out.Write(config.Encode(promotion.Document))
		return err
	}
	text := fmt.Sprintf("promote from %s generation %d", c.from, policy.Root.Generation)
	return put(ctx, publisher, publish.Change{Base: base, Document: promotion.Document, Text: text}, to)
}
