package operate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"ryelug/core/change"
	"ryelug/core/config"
	"ryelug/core/result"
	"ryelug/io/platform"
	"ryelug/router/publish"
)

// Config says which environment an Operator reads and changes, and where it prints.
type Config struct {
	Platform    netip.AddrPort    // Platform is the address of the platform; it is required.
	Environment string            // Environment is the name of the environment; it is required.
	Patience    time.Duration     // Patience bounds the retries of one call while the platform does not answer; 0 means publish.DefaultPatience.
	Dial        platform.DialFunc // Dial opens connections to the platform; nil means TCP.
	Out         io.Writer         // Out receives the output of commands.
	Notices     io.Writer         // Notices receives messages that are not part of a command's output, such as warnings.
}

// Operator carries out commands on one environment. Errors that its user can act on carry codes of package result.
type Operator struct {
	config    Config
	publisher *publish.Publisher
}

// New returns an Operator. The error has the code result.BadArguments if Config lacks the
// platform or the environment.
func New(config Config) (*Operator, error) {
	if !config.Platform.IsValid() {
		return nil, badArguments("-platform is missing; give the platform's address, such as -platform 192.0.2.10:8080")
	}
	if config.Environment == "" {
		return nil, badArguments("-environment is missing; give the environment's name, such as -environment trial")
	}
	o := &Operator{config: config}
	client := platform.New(platform.Config{Address: config.Platform, Environment: config.Environment, Dial: config.Dial})
	o.publisher = publish.New(publish.Config{
		Platform:    client,
		Environment: config.Environment,
		Patience:    config.Patience,
		Notify:      func(text string) { o.notice("%s", text) },
	})
	return o, nil
}

// badArguments returns an error with code result.BadArguments.
func badArguments(format string, args ...any) error {
	return result.Wrap(result.BadArguments, fmt.Errorf(format, args...))
}

// print writes a line of a command's output.
func (o *Operator) print(format string, args ...any) {
	fmt.Fprintf(o.config.Out, format+"\n", args...)
}

// notice writes a line that is not part of a command's output.
func (o *Operator) notice(format string, args ...any) {
	fmt.Fprintf(o.config.Notices, "ryelug: "+format+"\n", args...)
}

// readInForce reads the document in force. The error has the code result.UnknownName if there
// is none yet, and result.BadDocument if it can't be read.
func (o *Operator) readInForce(ctx context.Context) (publish.Snapshot, error) {
	base, err := o.publisher.Read(ctx)
	switch {
	case err != nil:
		return base, withCode(err)
	case base.Broken != nil:
		return base, result.Wrap(result.BadDocument, fmt.Errorf("the document in force can't be read, replace it with \"ryelug apply\": %w", base.Broken))
	case base.Document == nil:
		return base, result.Wrap(result.UnknownName, fmt.Errorf("environment %s has no document yet, put one in force with \"ryelug apply\"", o.config.Environment))
	}
	return base, nil
}

// put puts a change in force and prints the new generation. It writes nothing if the
// document is in force already and next.Above is 0. In some generations it also deletes
// parts that are no longer needed; a failure of that is only a notice.
func (o *Operator) put(ctx context.Context, next publish.Change) error {
	if next.Above == 0 && next.Base.Document != nil && change.Same(next.Base.Document, next.Document) {
		o.print("generation %d holds this already; nothing to do", next.Base.Root.Generation)
		return nil
	}
	root, err := o.publisher.Put(ctx, next)
	if err != nil {
		return withCode(err)
	}
	o.print("environment %s: generation %d accepted, change %s", root.Environment, root.Generation, root.ChangeID)
	if err := o.publisher.SweepIfDue(ctx, root.Generation); err != nil {
		o.notice("the change is accepted; old parts stay until a later command deletes them: %v", err)
	}
	return nil
}

// withCode adds the matching result code to an error of package publish, platform,
// change or config, and returns other errors as they are.
func withCode(err error) error {
	var conflict *publish.ErrConflict
	var unknown *publish.ErrUnknown
	var unavailable *platform.ErrUnavailable
	var name *change.NameError
	var document config.Errors
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return result.Wrap(result.Conflict, err)
	case errors.As(err, &unknown), errors.As(err, &unavailable), errors.Is(err, context.DeadlineExceeded):
		return result.Wrap(result.PlatformDown, err)
	case errors.As(err, &name), errors.Is(err, platform.ErrNotFound):
		return result.Wrap(result.UnknownName, err)
	case errors.As(err, &document), errors.Is(err, platform.ErrTooLarge):
		return result.Wrap(result.BadDocument, err)
	}
	return err
}
