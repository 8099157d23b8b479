package main

import (
	"context"
	"flag"
	"fmt"

	"ryelug/core/config"
)

// historyCommand prints the generations that are kept.
type historyCommand struct {
	target     target
	generation uint64
}

// Name returns the command's name.
func (*historyCommand) Name() string { return "history" }

// Synopsis returns one line of help.
func (*historyCommand) Synopsis() string { return "print former generations" }

// Usage returns the help text.
func (*historyCommand) Usage() string {
	return `history -platform ADDR -environment NAME [-generation N]

Print the generation in force and at least the 20 before it, as far as there
are, the newest first. With -generation, print the whole document of that one,
which "ryelug apply" can put in force again.

Example:
  ryelug history -platform 192.0.2.10:8080 -environment trial -generation 41

Flags:
`
}

// SetFlags sets the command's flags.
func (c *historyCommand) SetFlags(flags *flag.FlagSet) {
	c.target.setFlags(flags)
	flags.Uint64Var(&c.generation, "generation", 0, "generation whose document is printed")
}

func (c *historyCommand) run(ctx context.Context, flags *flag.FlagSet, to streams) error {
	if err := noArguments(flags); err != nil {
		return err
	}
	publisher, err := c.target.publisher(to)
	if err != nil {
		return err
	}
	if c.generation != 0 {
		document, err := publisher.DocumentOf(ctx, c.generation)
		if err != nil {
			return withCode(fmt.Errorf("generation %d: %w", c.generation, err))
		}
		return printDocument(to, document)
	}
	roots, err := publisher.History(ctx)
	if err != nil {
		return withCode(err)
	}
	for _, root := range roots {
		printRoot(to, root)
	}
	return nil
}

// printRoot prints a generation in one line.
func printRoot(to streams, root config.Root) {
	fmt.Fprintf(to.out, "generation %d  %s  change %s  %s\n", root.Generation, root.Changed.Format(timeForm), root.ChangeID, root.Change)
}

// printDocument prints a document as TOML.
func printDocument(to streams, document *config.Document) error {
	_, err := to.out.Write(config.Encode(document))
	return err
}
