package main

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := execute(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(int(status))
}

// execute runs the command that the arguments name.
func execute(ctx context.Context, args []string, out, errOut io.Writer) subcommands.ExitStatus {
	flags := flag.NewFlagSet("ryelug", flag.ContinueOnError)
	flags.SetOutput(errOut)
	commander := subcommands.NewCommander(flags, "ryelug")
	commander.Output, commander.Error = out, errOut
	register(commander, streams{out: out, err: errOut})
	if err := flags.Parse(args); err != nil {
		return subcommands.ExitUsageError // The flag package has told of it.
	}
	if flags.NArg() == 0 {
		flags.Usage()
		err := usageError("no command")
		report(errOut, err)
		return exitStatus(err)
	}
	return commander.Execute(ctx)
}

func register(commander *subcommands.Commander, to streams) {
	const (
		run     = "run"
		operate = "operate"
		trial   = "try out"
		others  = "other"
	)
	commander.Register(&command{streams: to, action: &routerCommand{}}, run)
	for _, one := range operatorCommands() {
		commander.Register(&command{streams: to, action: one}, operate)
	}
	commander.Register(&command{streams: to, action: &devCommand{}}, trial)
	commander.Register(&command{streams: to, action: &standinCommand{}}, trial)
	commander.Register(&command{streams: to, action: &versionCommand{}}, others)
	commander.Register(commander.HelpCommand(), others)
}
