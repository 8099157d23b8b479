package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"ryelug/cmd/ryelug/command"
)

// versionCommand prints what this program was built from.
type versionCommand struct{}

// Text returns what the command says of itself.
func (*versionCommand) Text() command.Text {
	return command.Text{
		Name:     "version",
		Synopsis: "print the version of this program",
		Usage: `version

Print the module version, the commit it was built from, and the Go release.

Example:
  ryelug version
`,
	}
}

// SetFlags sets no flags.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Run implements command.Action.
func (*versionCommand) Run(_ context.Context, flags *flag.FlagSet, to command.Streams) error {
	if err := command.NoArguments(flags); err != nil {
		return err
	}
	fmt.Fprintln(to.Out, version())
	return nil
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "ryelug, built without version information"
	}
	commit, changed := "unknown commit", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			commit = "commit " + setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			changed = " with local changes"
		}
	}
	return fmt.Sprintf("ryelug %s, %s%s, %s", info.Main.Version, commit, changed, info.GoVersion)
}
