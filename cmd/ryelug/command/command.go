package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"ryelug/core/result"
)

// Streams is where commands write.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// Text is what a command says of itself.
type Text struct {
	Name     string
	Synopsis string // Synopsis is one line of help.
	Usage    string // Usage is the whole help, but for the flags.
}

// Action is what one command does.
type Action interface {
	// Text returns what the command says of itself.
	Text() Text
	// SetFlags sets the command's flags.
	SetFlags(flags *flag.FlagSet)
	// Run does what the command is for; the exit status follows from the result code of its error.
	Run(ctx context.Context, flags *flag.FlagSet, to Streams) error
}

// Command makes an Action a subcommand.
type Command struct {
	action  Action
	streams Streams
}

// New returns the subcommand of an action.
func New(action Action, streams Streams) *Command {
	return &Command{action: action, streams: streams}
}

// Name returns the command's name.
func (c *Command) Name() string { return c.action.Text().Name }

// Synopsis returns one line of help.
func (c *Command) Synopsis() string { return c.action.Text().Synopsis }

// Usage returns the help text.
func (c *Command) Usage() string { return c.action.Text().Usage }

// SetFlags sets the command's flags.
func (c *Command) SetFlags(flags *flag.FlagSet) { c.action.SetFlags(flags) }

// Execute runs the action and reports its error.
func (c *Command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.action.Run(ctx, flags, c.streams)
	var inner *Reported
	if errors.As(err, &inner) {
		return inner.Status
	}
	if err != nil {
		Report(c.streams.Err, err)
	}
	return ExitStatus(err)
}

// Reported is a failure that an inner command has told of already.
type Reported struct {
	Status subcommands.ExitStatus
}

// Error returns the exit status.
func (r *Reported) Error() string { return fmt.Sprintf("exit status %d", r.Status) }

// UsageError returns the error of a wrong command line.
func UsageError(format string, args ...any) error {
	return result.Wrap(result.BadArguments, fmt.Errorf(format, args...))
}

// ExitStatus returns the exit status of an error.
func ExitStatus(err error) subcommands.ExitStatus {
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
	result.UnknownName:     "Correct the name as the line before says.",
	result.BadPlan:         "Correct the plan; bench/overload/plans has samples.",
	result.InternalFailure: "If it comes back, report it with this text.",
}

// Report tells of an error, its code and what to do.
func Report(to io.Writer, err error) {
	code := result.Of(err)
	info, _ := result.Lookup(code)
	fmt.Fprintf(to, "ryelug: %v\n", err)
	fmt.Fprintf(to, "ryelug: result %d %s: %s. %s\n", code, info.Name, info.Text, advice[code])
}
