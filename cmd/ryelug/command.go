package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"

	"github.com/google/subcommands"

	"ryelug/core/result"
)

// streams is where commands write.
type streams struct {
	out io.Writer
	err io.Writer
}

// action is one command: what it is called, its flags, and what it does.
type action interface {
	Name() string
	Synopsis() string
	Usage() string
	SetFlags(flags *flag.FlagSet)
	run(ctx context.Context, flags *flag.FlagSet, to streams) error
}

// command makes an action a subcommand whose exit status follows from its error's result code.
type command struct {
	action
	streams streams
}

// Execute runs the action and reports its error.
func (c *command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.run(ctx, flags, c.streams)
	var inner *reported
	if errors.As(err, &inner) {
		return inner.status
	}
	if err != nil {
		report(c.streams.err, err)
	}
	return exitStatus(err)
}

// reported is a failure that an inner command has told of already.
type reported struct {
	status subcommands.ExitStatus
}

// Error returns the exit status.
func (r *reported) Error() string { return fmt.Sprintf("exit status %d", r.status) }

func usageError(format string, args ...any) error {
	return result.Wrap(result.BadArguments, fmt.Errorf(format, args...))
}

func exitStatus(err error) subcommands.ExitStatus {
	info, _ := result.Lookup(result.Of(err))
	return subcommands.ExitStatus(info.Exit)
}

// advice says what to do about a result code.
var advice = map[result.Code]string{
	result.BadSettings:     "Correct the settings file; docs/SETTINGS.md lists every key.",
	result.BadDocument:     "Correct the document and run \"ryelug check\" on it.",
	result.Conflict:        "Look at \"ryelug history\", then make the change again on what is there now.",
	result.PlatformDown:    "Check the platform's address and try again; \"ryelug status\" tells whether a change took effect.",
	result.AddressInUse:    "End the process that listens there, or choose another address.",
	result.BadArguments:    "Run \"ryelug help COMMAND\" for the flags and an example.",
	result.UnknownName:     "Run \"ryelug status\" for the names that the document has.",
	result.InternalFailure: "If it comes back, report it with this text.",
}

// report tells of an error, its code and what to do.
func report(to io.Writer, err error) {
	code := result.Of(err)
	info, _ := result.Lookup(code)
	fmt.Fprintf(to, "ryelug: %v\n", err)
	fmt.Fprintf(to, "ryelug: result %d %s: %s. %s\n", code, info.Name, info.Text, advice[code])
}

// noArguments refuses arguments after the flags.
func noArguments(flags *flag.FlagSet) error {
	if flags.NArg() > 0 {
		return usageError("unexpected argument %q", flags.Arg(0))
	}
	return nil
}

// addressFlag is a flag that holds an address and port.
type addressFlag struct {
	address *netip.AddrPort
}

// String returns the present value.
func (f addressFlag) String() string {
	if f.address == nil || !f.address.IsValid() {
		return ""
	}
	return f.address.String()
}

// Set parses a value.
func (f addressFlag) Set(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.New("give an IP address and port, such as 127.0.0.1:18080")
	}
	*f.address = address
	return nil
}
