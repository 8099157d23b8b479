package main

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"ryelug/cmd/ryelug/command"
	"ryelug/cmd/ryelug/standin"
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
	register(commander, command.Streams{Out: out, Err: errOut})
	if err := flags.Parse(args); err != nil {
		return subcommands.ExitUsageError // The flag package has told of it.
	}
	if err := checkName(commander, flags); err != nil {
		flags.Usage()
		command.Report(errOut, err)
		return command.ExitStatus(err)
	}
	return commander.Execute(ctx)
}

// checkName refuses arguments that name no command.
func checkName(commander *subcommands.Commander, flags *flag.FlagSet) error {
	if flags.NArg() == 0 {
		return command.UsageError("no command")
	}
	known := false
	commander.VisitCommands(func(_ *subcommands.CommandGroup, one subcommands.Command) {
		known = known || one.Name() == flags.Arg(0)
	})
	if !known {
		return command.UsageError("%q is not a command", flags.Arg(0))
	}
	return nil
}

func register(commander *subcommands.Commander, to command.Streams) {
	const (
		run     = "run"
		operate = "operate"
		trial   = "try out"
		others  = "other"
	)
	commander.Register(command.New(&routerCommand{}, to), run)
	for _, one := range operatorCommands() {
		commander.Register(command.New(one, to), operate)
	}
	commander.Register(command.New(&sharesCommand{}, to), operate)
	commander.Register(command.New(&devCommand{}, to), trial)
	commander.Register(command.New(&standin.Command{}, to), trial)
	commander.Register(command.New(&versionCommand{}, to), others)
	commander.Register(commander.HelpCommand(), others)
}

// operatorCommands are the commands that read and change the configuration.
func operatorCommands() []command.Action {
	return []command.Action{
		&checkCommand{},
		&applyCommand{},
		&promoteCommand{},
		&statusCommand{},
		&historyCommand{},
		&dataCentreCommand{},
		&endpointCommand{},
	}
}
