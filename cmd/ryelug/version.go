package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"
)

// versionCommand prints what this program was built from.
type versionCommand struct{}

// Name returns the command's name.
func (*versionCommand) Name() string { return "version" }

// Synopsis returns one line of help.
func (*versionCommand) Synopsis() string { return "print the version of this program" }

// Usage returns the help text.
func (*versionCommand) Usage() string {
	return `version

Print the module version, the commit it was built from, and the Go release.

Example:
  ryelug version
`
}

// SetFlags sets no flags.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

func (*versionCommand) run(_ context.Context, flags *flag.FlagSet, to streams) error {
	if err := noArguments(flags); err != nil {
		return err
	}
	fmt.Fprintln(to.out, version())
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
