package standin

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/google/subcommands"

	"ryelug/cmd/ryelug/command"
	"ryelug/router/process"
)

const reportLag = 500 * time.Millisecond

// Command runs one stand-in as a process.
type Command struct{}

// Text returns what the command says of itself.
func (*Command) Text() command.Text {
	return command.Text{
		Name:     "standin",
		Synopsis: "run a stand-in of the platform or of an endpoint",
		Usage: `standin platform|engine|service [flags]

Run a stand-in for trials and tests. It prints its address and runs until it is
interrupted. "ryelug standin help engine" tells the flags of one.

Example:
  ryelug standin engine -listen 127.0.0.1:9001 -name engine-1
`,
	}
}

// SetFlags sets no flags.
func (*Command) SetFlags(*flag.FlagSet) {}

// Run implements command.Action.
func (*Command) Run(ctx context.Context, flags *flag.FlagSet, to command.Streams) error {
	commander := subcommands.NewCommander(flags, "ryelug standin")
	commander.Output, commander.Error = to.Out, to.Err
	for _, one := range []command.Action{&platformStandin{}, &engineStandin{}, &serviceStandin{}} {
		commander.Register(command.New(one, to), "stand-ins")
	}
	commander.Register(commander.HelpCommand(), "help")
	if flags.NArg() == 0 {
		return command.UsageError("name a stand-in: platform, engine or service")
	}
	if status := commander.Execute(ctx); status != subcommands.ExitSuccess {
		return &command.Reported{Status: status}
	}
	return nil
}

// server is what all stand-ins are.
type server interface {
	Serve(listener net.Listener) error
	Close()
}

// serve listens, tells where, and serves until ctx ends.
func serve(ctx context.Context, one server, address netip.AddrPort, to command.Streams) error {
	listener, err := process.Listen(address)
	if err != nil {
		return err
	}
	fmt.Fprintf(to.Out, "listening on %s\n", listener.Addr())
	stop := context.AfterFunc(ctx, one.Close)
	defer stop()
	if err := one.Serve(listener); err != nil && ctx.Err() == nil {
		return fmt.Errorf("the stand-in failed: %w", err)
	}
	return nil
}
