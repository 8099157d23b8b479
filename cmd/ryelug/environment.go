package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"ryelug/core/change"
	"ryelug/core/config"
	"ryelug/core/result"
	"ryelug/io/platform"
	"ryelug/router/publish"
)

// target is the environment that a command reads or changes.
type target struct {
	platform    netip.AddrPort
	environment string
	wait        time.Duration
}

func (t *target) setFlags(flags *flag.FlagSet) {
	flags.Var(addressFlag{&t.platform}, "platform", "IP address and port of the platform")
	flags.StringVar(&t.environment, "environment", "", "name of the environment")
	flags.DurationVar(&t.wait, "wait", publish.DefaultPatience, "how long a step is tried while the platform does not answer")
}

// publisher returns a publisher for the target.
func (t *target) publisher(to streams) (*publish.Publisher, error) {
	if !t.platform.IsValid() {
		return nil, usageError("-platform is missing; give the platform's address, such as -platform 192.0.2.10:8080")
	}
	if t.environment == "" {
		return nil, usageError("-environment is missing; give the environment's name, such as -environment trial")
	}
	client := platform.New(platform.Config{Address: t.platform, Environment: t.environment})
	notice := func(text string) { fmt.Fprintf(to.err, "ryelug: %s\n", text) }
	return publish.New(publish.Config{Platform: client, Environment: t.environment, Notice: notice, Patience: t.wait}), nil
}

// readDocument reads and validates a document file.
func readDocument(name string) (*config.Document, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, result.Wrap(result.BadArguments, err)
	}
	document, err := config.Parse(data)
	var all config.Errors
	if errors.As(err, &all) {
		return nil, documentError(name, all)
	}
	return document, err
}

// documentError puts the file's name before each error of a document.
func documentError(name string, all config.Errors) error {
	lines := make([]error, len(all))
	for i, one := range all {
		lines[i] = fmt.Errorf("%s: %w", name, one)
	}
	return result.Wrap(result.BadDocument, errors.Join(lines...))
}

// withCode gives an error of a publisher its result code.
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

// readPresent reads the document in force; there must be one that can be read.
func readPresent(ctx context.Context, publisher *publish.Publisher, environment string) (publish.Snapshot, error) {
	base, err := publisher.Read(ctx)
	switch {
	case err != nil:
		return base, withCode(err)
	case base.Broken != nil:
		return base, result.Wrap(result.BadDocument, fmt.Errorf("the document in force can't be read, replace it with \"ryelug apply\": %w", base.Broken))
	case base.Document == nil:
		return base, result.Wrap(result.UnknownName, fmt.Errorf("environment %s has no document yet, put one in force with \"ryelug apply\"", environment))
	}
	return base, nil
}

// put puts a change in force and tells the outcome.
func put(ctx context.Context, publisher *publish.Publisher, next publish.Change, to streams) error {
	if next.Above == 0 && next.Base.Document != nil && change.Same(next.Base.Document, next.Document) {
		fmt.Fprintf(to.out, "generation %d holds this already; nothing to do\n", next.Base.Root.Generation)
		return nil
	}
	root, err := publisher.Put(ctx, next)
	if err != nil {
		return withCode(err)
	}
	fmt.Fprintf(to.out, "environment %s: generation %d accepted, change %s\n", root.Environment, root.Generation, root.ChangeID)
	if err := publisher.SweepIfDue(ctx, root.Generation); err != nil {
		fmt.Fprintf(to.err, "ryelug: the change is accepted; old parts stay until a later command deletes them: %v\n", err)
	}
	return nil
}

// edit changes the document in force.
func edit(ctx context.Context, t *target, to streams, text string, alter func(*config.Document) error) error {
	publisher, err := t.publisher(to)
	if err != nil {
		return err
	}
	base, err := readPresent(ctx, publisher, t.environment)
	if err != nil {
		return err
	}
	document, err := config.Parse(config.Encode(base.Document))
	if err != nil {
		return withCode(err)
	}
	if err := alter(document); err != nil {
		return withCode(err)
	}
	return put(ctx, publisher, publish.Change{Base: base, Document: document, Text: text}, to)
}

// summarise prints what a document holds in one line.
func summarise(to io.Writer, d *config.Document) {
	fmt.Fprintf(to, "environment %s: %d teams, %d data centres, %d pools, %d endpoints, %d routes\n",
		d.Environment, len(d.Teams), len(d.DataCentres), len(d.Pools), len(d.Endpoints), len(d.Routes))
}

// oneArgument returns the only argument after the flags.
func oneArgument(flags *flag.FlagSet, what string) (string, error) {
	if flags.NArg() != 1 {
		return "", usageError("give one %s after the flags, found %d arguments", what, flags.NArg())
	}
	return flags.Arg(0), nil
}

// verbAndName reads "VERB NAME" with flags before the verb, after it or after the name.
func verbAndName(flags *flag.FlagSet, verbs ...string) (verb, name string, err error) {
	var words []string
	for rest := flags.Args(); len(rest) > 0; rest = flags.Args() {
		words = append(words, rest[0])
		if err := flags.Parse(rest[1:]); err != nil {
			return "", "", usageError("%v", err)
		}
	}
	if len(words) != 2 || !slices.Contains(verbs, words[0]) {
		return "", "", usageError("give %s and a name, found %q", strings.Join(verbs, " or "), words)
	}
	return words[0], words[1], nil
}

// operatorCommands are the commands that read and change the configuration.
func operatorCommands() []action {
	return []action{
		&checkCommand{}, &applyCommand{}, &promoteCommand{}, &statusCommand{}, &historyCommand{},
		&dataCentreCommand{}, &endpointCommand{},
	}
}
