package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"ryelug/cmd/ryelug/command"
)

func main() {
	commander := subcommands.NewCommander(flag.CommandLine, "experiment")
	commander.Register(command.New(&playCommand{}, command.Streams{Out: os.Stdout, Err: os.Stderr}), "run")
	commander.Register(commander.HelpCommand(), "other")
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}
