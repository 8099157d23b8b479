package main

import (
	"context"
	"flag"

	"ryelug/cmd/ryelug/command"
	"ryelug/router/operate"
)

// checkCommand validates a document file.
type checkCommand struct{}

// Text returns what the command says of itself.
func (*checkCommand) Text() command.Text {
	return command.Text{
		Name:     "check",
		Synopsis: "validate a document",
		Usage: `check FILE

Validate a document. Each error names the file, line, key, the value found and
what is allowed. Nothing is written. docs/DOCUMENT.md has a sample and lists the
keys.

Example:
  ryelug check trial.toml
`,
	}
}

// SetFlags sets no flags.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Run implements command.Action.
func (*checkCommand) Run(_ context.Context, flags *flag.FlagSet, to command.Streams) error {
	name, err := command.OneArgument(flags, "document file")
	if err != nil {
		return err
	}
	document, err := operate.ReadDocument(name)
	if err != nil {
		return err
	}
	operate.Summarise(to.Out, document)
	return nil
}
