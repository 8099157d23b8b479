package main

import (
	"context"
	"flag"
)

// checkCommand validates a document file.
type checkCommand struct{}

// Name returns the command's name.
func (*checkCommand) Name() string { return "check" }

// Synopsis returns one line of help.
func (*checkCommand) Synopsis() string { return "validate a document" }

// Usage returns the help text.
func (*checkCommand) Usage() string {
	return `check FILE

Validate a document. Each error names the file, line, key, the value found and
what is allowed. Nothing is written.

Example:
  ryelug check trial.toml
`
}

// SetFlags sets no flags.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

func (*checkCommand) run(_ context.Context, flags *flag.FlagSet, to streams) error {
	name, err := oneArgument(flags, "document file")
	if err != nil {
		return err
	}
	document, err := readDocument(name)
	if err != nil {
		return err
	}
	summarise(to.out, document)
	return nil
}
