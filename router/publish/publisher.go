package publish

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"ryelug/core/config"
	"ryelug/io/platform"
)

const (
	// DefaultKeep is the default number of former roots that are kept.
	DefaultKeep = 20

	// DefaultPatience is how long a call is retried by default while the platform does not answer.
	DefaultPatience = 30 * time.Second

	callTimeout    = 10 * time.Second       // callTimeout bounds a single call; a retry starts anew.
	initialBackoff = 100 * time.Millisecond // initialBackoff is the average pause before the first retry.
	maxBackoff     = 2 * time.Second        // maxBackoff bounds the average pause between retries.
	parallelCalls  = 8                      // parallelCalls is the number of parts read or written at a time.
)

// Platform is the part of the platform's API that a Publisher uses; *platform.Client implements it.
type Platform interface {
	Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Head(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	List(ctx context.Context, kind platform.Kind) (platform.List, error)
	ListNames(ctx context.Context, kind platform.Kind) (platform.List, error)
	Create(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error)
	Update(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error)
	Delete(ctx context.Context, kind platform.Kind, name, version string) error
}

// Config sets where and how a Publisher stores changes.
type Config struct {
	Platform    Platform      // Platform stores the configuration.
	Environment string        // Environment is the name of the environment that is changed.
	Keep        int           // Keep is the number of former roots kept; 0 means DefaultKeep.
	Patience    time.Duration // Patience bounds the retries of one call to the platform; 0 means DefaultPatience.
	NewID       func() string // NewID returns an id for each change; nil means random UUIDs.
	Notify      func(string)  // Notify receives messages for the operator about lost answers and retries; nil drops them.
}

// Publisher reads and changes the configuration of one environment.
type Publisher struct {
	config     Config
	noticeOnce sync.Once // noticeOnce limits the message about retries to the first one.
}

// Snapshot is a root and its document as they were read at one time.
type Snapshot struct {
	Root        config.Root       // Root is the root in force; if Broken is set for the root itself, only its generation is filled in.
	Document    *config.Document  // Document is nil before the first generation, and if Broken is set.
	Broken      error             // Broken is the reason why the root or its document can't be read, or nil. A change can still replace the whole document.
	rootVersion string            // rootVersion is the platform's version of the root object; "" if there is no root.
	rootData    []byte            // rootData is the text of the root object.
	parts       map[string][]byte // parts holds the document's parts by their hashes.
}

// ErrConflict means that another change came first. Nothing of this one is in force.
type ErrConflict struct {
	ChangeID string      // ChangeID is the id of the refused change.
	Winner   config.Root // Winner is the root in force.
}

// Error names the change that is in force instead.
func (e *ErrConflict) Error() string {
	w := e.Winner
	return fmt.Sprintf("generation %d came first (%s, change %s); nothing of this change is in force", w.Generation, w.Change, w.ChangeID)
}

// ErrUnknown means that the platform stopped answering before the outcome was known.
// The change may be in force.
type ErrUnknown struct {
	ChangeID string // ChangeID is the id of the change of unknown outcome.
	Cause    error  // Cause is the last error of the platform.
}

// Error tells the operator how to find out the outcome.
func (e *ErrUnknown) Error() string {
	return fmt.Sprintf("change %s may be in force; when the platform answers, look for it with \"ryelug history\" before you repeat it: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the last error of the platform.
func (e *ErrUnknown) Unwrap() error {
	return e.Cause
}

// New returns a Publisher, with the defaults for the fields of config that are zero.
func New(config Config) *Publisher {
	if config.Keep == 0 {
		config.Keep = DefaultKeep
	}
	if config.Patience == 0 {
		config.Patience = DefaultPatience
	}
	if config.NewID == nil {
		config.NewID = uuid.NewString
	}
	if config.Notify == nil {
		config.Notify = func(string) {}
	}
	config.Platform = newRateLimited(config.Platform)
	return &Publisher{config: config}
}

// Read returns the generation in force with its document. Before the first generation
// the Snapshot is empty. A document that can't be read is no error: Snapshot.Broken is
// set. The errors are those of the platform.
func (p *Publisher) Read(ctx context.Context) (Snapshot, error) {
	for {
		snapshot, err := p.ReadRoot(ctx)
		if err != nil || snapshot.rootVersion == "" || snapshot.Broken != nil {
			return snapshot, err
		}
		snapshot.Document, snapshot.parts, err = p.document(ctx, snapshot.Root)
		if !isBroken(err) {
			return snapshot, err
		}
		snapshot.Broken = err
		rootVersion, err := p.rootVersion(ctx)
		if err != nil || rootVersion == snapshot.rootVersion {
			return snapshot, err
		}
	}
}

// isBroken reports whether err means that a document lacks a part or is not valid. A part
// may be missing because other changes have replaced the root in the meantime.
func isBroken(err error) bool {
	var part *config.PartError
	var document config.Errors
	return errors.As(err, &part) || errors.As(err, &document)
}

// ReadRoot returns the root in force without its document, or an empty Snapshot if there
// is no root. A root that can't be parsed is no error: Snapshot.Broken is set.
func (p *Publisher) ReadRoot(ctx context.Context) (Snapshot, error) {
	object, err := retry(ctx, p, func(ctx context.Context) (platform.Object, error) {
		return p.config.Platform.Get(ctx, platform.Roots, platform.CurrentRoot)
	})
	if errors.Is(err, platform.ErrNotFound) {
		return Snapshot{}, nil
	}
	if err != nil {
		return Snapshot{}, err
	}
	snapshot := Snapshot{rootVersion: object.Version, rootData: object.Data}
	snapshot.Root, snapshot.Broken = config.ParseRoot(object.Data)
	if snapshot.Broken != nil {
		snapshot.Root, err = p.substituteRoot(ctx)
	}
	return snapshot, err
}

// substituteRoot returns a root to base a change on when the root in force can't be parsed.
// It has the highest generation that the unreadable root may have had.
func (p *Publisher) substituteRoot(ctx context.Context) (config.Root, error) {
	former, err := p.listFormerRoots(ctx)
	if err != nil || len(former) == 0 {
		return config.Root{Generation: 1}, err
	}
	return config.Root{Generation: former[0].root.Generation + 1}, nil
}

// document reads the parts of a root, first indexes and then leaves, and joins them to a
// document. It returns the document and the parts.
func (p *Publisher) document(ctx context.Context, root config.Root) (*config.Document, map[string][]byte, error) {
	parts := map[string][]byte{}
	lookup := func(hash string) ([]byte, bool) {
		part, found := parts[hash]
		return part, found
	}
	for {
		missing := config.Missing(root, lookup, math.MaxInt)
		if len(missing) == 0 {
			document, err := config.Join(root, parts)
			return document, parts, err
		}
		if err := p.readParts(ctx, missing, parts); err != nil {
			return nil, nil, err
		}
	}
}

// readParts reads the parts with the given hashes, parallelCalls at a time, and adds them to parts.
func (p *Publisher) readParts(ctx context.Context, hashes []string, parts map[string][]byte) error {
	texts := make([][]byte, len(hashes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)
	for i, hash := range hashes {
		group.Go(func() error {
			text, err := p.readPart(ctx, hash)
			texts[i] = text
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for i, hash := range hashes {
		parts[hash] = texts[i]
	}
	return nil
}

// readPart reads the text of a part. It returns *config.PartError if the platform has no such part.
func (p *Publisher) readPart(ctx context.Context, hash string) ([]byte, error) {
	object, err := retry(ctx, p, func(ctx context.Context) (platform.Object, error) {
		return p.config.Platform.Get(ctx, platform.Parts, hash)
	})
	if errors.Is(err, platform.ErrNotFound) {
		return nil, &config.PartError{Hash: hash, Missing: true}
	}
	return platform.PartText(object), err
}

// noticeRetries tells the operator that calls are being retried.
func (p *Publisher) noticeRetries() {
	p.config.Notify(fmt.Sprintf("the platform does not answer; tries again for %v a step", p.config.Patience))
}

// retry repeats a call while the platform is unavailable, for at most Config.Patience. The
// call must be safe to repeat. Other errors are returned at once.
func retry[T any](ctx context.Context, p *Publisher, call func(context.Context) (T, error)) (T, error) {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = initialBackoff
	backOff.MaxInterval = maxBackoff
	attempt := func() (T, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		result, err := call(ctx)
		var unavailable *platform.ErrUnavailable
		if err != nil && !errors.As(err, &unavailable) {
			return result, backoff.Permanent(err)
		}
		if err != nil {
			p.noticeOnce.Do(p.noticeRetries)
		}
		return result, err
	}
	return backoff.Retry(ctx, attempt, backoff.WithBackOff(backOff), backoff.WithMaxElapsedTime(p.config.Patience))
}
