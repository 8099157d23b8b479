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
	// DefaultKeep is the number of former roots that are kept.
	DefaultKeep = 20

	// DefaultPatience is how long a step is tried while the platform does not answer.
	DefaultPatience = 30 * time.Second

	callTimeout   = 10 * time.Second
	firstPause    = 100 * time.Millisecond
	longestPause  = 2 * time.Second
	parallelCalls = 8 // parallelCalls is the number of parts read or written at a time.
)

// Platform is what a Publisher needs of the platform; *platform.Client has it.
type Platform interface {
	Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Head(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	List(ctx context.Context, kind platform.Kind) (platform.List, error)
	ListNames(ctx context.Context, kind platform.Kind) (platform.List, error)
	Create(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error)
	Update(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error)
	Delete(ctx context.Context, kind platform.Kind, name, version string) error
}

// Config says where changes go.
type Config struct {
	Platform    Platform
	Environment string
	Keep        int           // Keep is the number of former roots kept; DefaultKeep by default.
	Patience    time.Duration // Patience bounds the retries of one step; 30 s by default.
	NewID       func() string // NewID returns change ids; random by default.
	Notice      func(string)  // Notice is told of lost answers and of waiting; nobody by default.
}

// Publisher changes the configuration of one environment.
type Publisher struct {
	config  Config
	waiting sync.Once
}

// Snapshot is a root and its document as they were read.
type Snapshot struct {
	Root     config.Root
	Document *config.Document // Document is nil before the first generation and if Broken is set.
	Broken   error            // Broken tells why the root or its document can't be read; it can be replaced as a whole.
	version  string
	raw      []byte
	parts    map[string][]byte // parts are those of the document.
}

// ErrConflict tells that another change came first and nothing of this one is in force.
type ErrConflict struct {
	ChangeID string
	Winner   config.Root // Winner is the root in force.
}

// Error names the change that won.
func (e *ErrConflict) Error() string {
	w := e.Winner
	return fmt.Sprintf("generation %d came first (%s, change %s); nothing of this change is in force", w.Generation, w.Change, w.ChangeID)
}

// ErrUnknown tells that the platform stopped answering before the outcome was known.
type ErrUnknown struct {
	ChangeID string
	Cause    error
}

// Error says how to find out.
func (e *ErrUnknown) Error() string {
	return fmt.Sprintf("change %s may be in force; when the platform answers, look for it with \"ryelug history\" before you repeat it: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the platform's error.
func (e *ErrUnknown) Unwrap() error {
	return e.Cause
}

// New returns a publisher.
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
	if config.Notice == nil {
		config.Notice = func(string) {}
	}
	config.Platform = newPaced(config.Platform)
	return &Publisher{config: config}
}

// Read returns the generation in force with its document; before the first one the Snapshot is empty.
func (p *Publisher) Read(ctx context.Context) (Snapshot, error) {
	for {
		snapshot, err := p.ReadRoot(ctx)
		if err != nil || snapshot.version == "" || snapshot.Broken != nil {
			return snapshot, err
		}
		snapshot.Document, snapshot.parts, err = p.document(ctx, snapshot.Root)
		if !isBroken(err) {
			return snapshot, err
		}
		snapshot.Broken = err
		version, err := p.version(ctx)
		if err != nil || version == snapshot.version {
			return snapshot, err
		}
	}
}

// isBroken reports whether a document lacks a part or is not valid. A part may
// be missing because other changes have replaced the root meanwhile.
func isBroken(err error) bool {
	var part *config.PartError
	var document config.Errors
	return errors.As(err, &part) || errors.As(err, &document)
}

// ReadRoot returns the root in force without its document.
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
	snapshot := Snapshot{version: object.Version, raw: object.Data}
	snapshot.Root, snapshot.Broken = config.ParseRoot(object.Data)
	if snapshot.Broken != nil {
		snapshot.Root, err = p.standForBroken(ctx)
	}
	return snapshot, err
}

// standForBroken returns a root with the highest generation that a broken one may have replaced.
func (p *Publisher) standForBroken(ctx context.Context) (config.Root, error) {
	former, err := p.formerRoots(ctx)
	if err != nil || len(former) == 0 {
		return config.Root{Generation: 1}, err
	}
	return config.Root{Generation: former[0].root.Generation + 1}, nil
}

// document reads the parts of a root, first indexes and then leaves, and puts them together.
func (p *Publisher) document(ctx context.Context, root config.Root) (*config.Document, map[string][]byte, error) {
	parts := map[string][]byte{}
	find := func(hash string) ([]byte, bool) {
		part, found := parts[hash]
		return part, found
	}
	for {
		missing := config.Missing(root, find, math.MaxInt)
		if len(missing) == 0 {
			document, err := config.Join(root, parts)
			return document, parts, err
		}
		if err := p.readParts(ctx, missing, parts); err != nil {
			return nil, nil, err
		}
	}
}

// readParts adds the parts of the given names to those that are there.
func (p *Publisher) readParts(ctx context.Context, hashes []string, parts map[string][]byte) error {
	texts := make([][]byte, len(hashes))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)
	for i, hash := range hashes {
		group.Go(func() error {
			text, err := p.part(ctx, hash)
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

func (p *Publisher) part(ctx context.Context, hash string) ([]byte, error) {
	object, err := retry(ctx, p, func(ctx context.Context) (platform.Object, error) {
		return p.config.Platform.Get(ctx, platform.Parts, hash)
	})
	if errors.Is(err, platform.ErrNotFound) {
		return nil, &config.PartError{Hash: hash, Missing: true}
	}
	return platform.PartText(object), err
}

func (p *Publisher) tellWaiting() {
	p.config.Notice(fmt.Sprintf("the platform does not answer; tries again for %v a step", p.config.Patience))
}

// retry repeats a call that may be repeated while the platform is unavailable.
func retry[T any](ctx context.Context, p *Publisher, call func(context.Context) (T, error)) (T, error) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	pauses.MaxInterval = longestPause
	once := func() (T, error) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		result, err := call(ctx)
		var unavailable *platform.ErrUnavailable
		if err != nil && !errors.As(err, &unavailable) {
			return result, backoff.Permanent(err)
		}
		if err != nil {
			p.waiting.Do(p.tellWaiting)
		}
		return result, err
	}
	return backoff.Retry(ctx, once, backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(p.config.Patience))
}
