package main

import (
	"context"
	"flag"
	"os"

	"ryelug/bench/overload"
	"ryelug/cmd/ryelug/command"
	"ryelug/core/result"
)

// playCommand plays a load against engines in virtual time.
type playCommand struct{ plot string }

// Text returns what the command says of itself.
func (*playCommand) Text() command.Text {
	return command.Text{
		Name:     "play",
		Synopsis: "compare ways to admit requests, in virtual time",
		Usage: `play [-plot FILE] PLAN

Play the load of a plan against stand-ins of model engines, once under each way to
admit and place requests, and print what callers got. A plan names the load, the
engines and their faults; bench/overload/plans has samples.

Example:
  experiment play -plot worth.svg bench/overload/plans/overload.toml
`,
	}
}

// SetFlags sets the flags.
func (c *playCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.plot, "plot", "", "`file` for a plot of the worth by second, as SVG")
}

// Run implements command.Action.
func (c *playCommand) Run(_ context.Context, flags *flag.FlagSet, to command.Streams) error {
	name, err := command.OneArgument(flags, "plan file")
	if err != nil {
		return err
	}
	plan, err := overload.ReadPlan(name)
	if err != nil {
		return result.Wrap(result.BadPlan, err)
	}
	all := overload.PlayAll(plan)
	if err := overload.Print(to.Out, all); err != nil || c.plot == "" {
		return err
	}
	file, err := os.Create(c.plot)
	if err != nil {
		return err
	}
	if err := overload.Plot(file, all); err != nil {
		_ = file.Close() // The plot is not whole anyway.
		return err
	}
	return file.Close()
}
