package publish

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"ryelug/core/config"
	"ryelug/io/platform"
)

// Change is a new document that an operator wants to put in force.
type Change struct {
	Base        Snapshot         // Base is the generation that the change was made from; Put fails if another one is in force by then.
	Document    *config.Document // Document is the whole new document, not a difference.
	Description string           // Description describes the change in a few words for the history, such as "apply".
	Above       uint64           // Above is a generation number that the new one must exceed; 0 for none. It is needed when the platform was restored to an older state.
}

const (
	baseAnnotation = "base_generation" // baseAnnotation is the name of an annotation of parts. Its value is the generation that the last writer of the part started from; Sweep reads it.
	markAttempts   = 10                // markAttempts bounds the attempts to create a part, or to set baseAnnotation on an existing one, while others change or delete it.
)

// errContended is returned when other operators changed a part in each of markAttempts attempts.
var errContended = errors.New("others keep changing the same parts; repeat the command")

// Put writes the parts of a change and then its root, and returns the root that is in force.
//
// An invalid document is rejected with config.Errors. The error is *ErrConflict if
// another change came first, and *ErrUnknown if the platform does not answer in time
// to tell whether the change took effect. After any other error nothing of the
// change is in force.
func (p *Publisher) Put(ctx context.Context, change Change) (config.Root, error) {
	root, parts := config.Split(change.Document)
	if _, err := config.Join(root, parts); err != nil {
		return config.Root{}, err
	}
	root.Generation = max(change.Base.Root.Generation, change.Above) + 1
	root.ChangeID = p.config.NewID()
	root.Change = change.Description
	root.Changed = time.Now().UTC().Truncate(time.Second)
	for hash := range change.Base.parts {
		delete(parts, hash)
	}
	root.SetFresh(slices.Collect(maps.Keys(parts)))
	if err := p.putParts(ctx, parts, change.Base.Root.Generation); err != nil {
		return config.Root{}, err
	}
	if err := p.archiveRoot(ctx, change.Base); err != nil {
		return config.Root{}, err
	}
	return p.putRoot(ctx, change.Base, root)
}

// putParts writes parts to the platform, parallelCalls at a time.
func (p *Publisher) putParts(ctx context.Context, parts map[string][]byte, base uint64) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)
	for hash, text := range parts {
		group.Go(func() error { return p.putPart(ctx, hash, text, base) })
	}
	return group.Wait()
}

// putPart makes sure that a part exists and is marked with the base generation, so
// that no sweep deletes it before the new root names it.
func (p *Publisher) putPart(ctx context.Context, hash string, text []byte, base uint64) error {
	object := platform.PartObject(hash, text)
	object.Annotations = map[string]string{baseAnnotation: strconv.FormatUint(base, 10)}
	for range markAttempts {
		err := p.create(ctx, platform.Parts, object)
		if !errors.Is(err, platform.ErrExists) {
			return err
		}
		done, err := p.markPart(ctx, object, base)
		if done || err != nil {
			return err
		}
	}
	return errContended
}

// markPart marks an existing part as needed by a change from the given base generation.
// It returns false without an error if the part must be written or marked again.
func (p *Publisher) markPart(ctx context.Context, object platform.Object, base uint64) (bool, error) {
	existing, err := retry(ctx, p, func(ctx context.Context) (platform.Object, error) {
		return p.config.Platform.Head(ctx, platform.Parts, object.Name)
	})
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if markedGeneration(existing) >= base {
		return true, nil
	}
	object.Version = existing.Version
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = p.config.Platform.Update(ctx, platform.Parts, object)
	var unavailable *platform.ErrUnavailable
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) || errors.As(err, &unavailable) {
		return false, nil
	}
	return err == nil, err
}

// markedGeneration returns the base generation that a part is marked with, and 0 if it has no valid mark.
func markedGeneration(part platform.Object) uint64 {
	base, err := strconv.ParseUint(part.Annotations[baseAnnotation], 10, 64)
	if err != nil {
		return 0
	}
	return base
}

// create writes an object that others may write with the same content. It returns
// platform.ErrExists if the object exists, also if its own write took effect but the answer was lost.
func (p *Publisher) create(ctx context.Context, kind platform.Kind, object platform.Object) error {
	_, err := retry(ctx, p, func(ctx context.Context) (platform.Object, error) {
		created, err := p.config.Platform.Create(ctx, kind, object)
		if !mayHaveWritten(err) {
			return created, err
		}
		if _, headErr := p.config.Platform.Head(ctx, kind, object.Name); headErr == nil {
			return created, platform.ErrExists
		}
		return created, err
	})
	return err
}

// mayHaveWritten reports whether a write that failed with err may have taken effect nevertheless.
func mayHaveWritten(err error) bool {
	var unavailable *platform.ErrUnavailable
	return errors.As(err, &unavailable) && unavailable.Unknown
}

// putRoot replaces the root if it still has the version of the base. If an answer is
// lost, it compares the root's version to find out whether the base was replaced.
func (p *Publisher) putRoot(ctx context.Context, base Snapshot, root config.Root) (config.Root, error) {
	object := platform.Object{Name: platform.CurrentRoot, Version: base.rootVersion, Data: root.Encode()}
	answerLost := false
	_, err := retry(ctx, p, func(ctx context.Context) (platform.Object, error) {
		written, err := p.writeRoot(ctx, object)
		if !mayHaveWritten(err) {
			return written, err
		}
		answerLost = true
		if current, headErr := p.rootVersion(ctx); headErr == nil && current != base.rootVersion {
			return written, platform.ErrConflict
		}
		return written, err
	})
	var unavailable *platform.ErrUnavailable
	switch {
	case err == nil:
		return root, nil
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrExists), errors.Is(err, platform.ErrNotFound):
		return p.resolveConflict(ctx, root, answerLost)
	case answerLost && (errors.As(err, &unavailable) || ctx.Err() != nil):
		return config.Root{}, &ErrUnknown{ChangeID: root.ChangeID, Cause: err}
	}
	return config.Root{}, err
}

// rootVersion returns the current version of the root, or "" if there is no root.
func (p *Publisher) rootVersion(ctx context.Context) (string, error) {
	head, err := p.config.Platform.Head(ctx, platform.Roots, platform.CurrentRoot)
	if errors.Is(err, platform.ErrNotFound) {
		return "", nil
	}
	return head.Version, err
}

// writeRoot creates the root if the base had none, and otherwise updates it if its version has not changed.
func (p *Publisher) writeRoot(ctx context.Context, object platform.Object) (platform.Object, error) {
	if object.Version == "" {
		return p.config.Platform.Create(ctx, platform.Roots, object)
	}
	return p.config.Platform.Update(ctx, platform.Roots, object)
}

// resolveConflict finds out whether the base was replaced by this change, which is possible
// if an answer was lost, or by another one. It looks in the root and in the history.
func (p *Publisher) resolveConflict(ctx context.Context, root config.Root, answerLost bool) (config.Root, error) {
	current, err := p.ReadRoot(ctx)
	if err != nil {
		return config.Root{}, &ErrUnknown{ChangeID: root.ChangeID, Cause: err}
	}
	if current.Root.ChangeID == root.ChangeID {
		p.config.Notify("an answer of the platform was lost; the root names this change, it is in force")
		return root, nil
	}
	if answerLost {
		formerRoot, found, err := p.formerRoot(ctx, root.Generation)
		if err != nil {
			return config.Root{}, &ErrUnknown{ChangeID: root.ChangeID, Cause: err}
		}
		if found && formerRoot.ChangeID == root.ChangeID {
			p.config.Notify("an answer of the platform was lost; this change was in force and another one has followed")
			return root, nil
		}
	}
	return config.Root{}, &ErrConflict{ChangeID: root.ChangeID, Winner: current.Root}
}
