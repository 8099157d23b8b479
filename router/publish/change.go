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

// Change is what an operator wants to put in force.
type Change struct {
	Base     Snapshot         // Base is the generation that the change was made from.
	Document *config.Document // Document is the whole new document.
	Text     string           // Text says in a few words what the operator does.
	Above    uint64           // Above is a generation that the new one must exceed, for a platform that was set back.
}

const (
	baseAnnotation = "base_generation" // baseAnnotation is the generation that the writer of a part started from.
	touchAttempts  = 10
)

// errBusy tells that others kept changing a part.
var errBusy = errors.New("others keep changing the same parts; repeat the command")

// Put writes the parts and then the root of a change, and returns the root in force.
//
// A document that "ryelug check" refuses is refused with config.Errors. The error
// is *ErrConflict if another change came first and *ErrUnknown if the outcome
// can't be learned now; after any other one nothing of the change is in force.
func (p *Publisher) Put(ctx context.Context, change Change) (config.Root, error) {
	root, parts := config.Split(change.Document)
	if _, err := config.Join(root, parts); err != nil {
		return config.Root{}, err
	}
	root.Generation = max(change.Base.Root.Generation, change.Above) + 1
	root.ChangeID = p.config.NewID()
	root.Change = change.Text
	root.Changed = time.Now().UTC().Truncate(time.Second)
	for hash := range change.Base.parts {
		delete(parts, hash)
	}
	root.SetFresh(slices.Collect(maps.Keys(parts)))
	if err := p.putParts(ctx, parts, change.Base.Root.Generation); err != nil {
		return config.Root{}, err
	}
	if err := p.keepFormer(ctx, change.Base); err != nil {
		return config.Root{}, err
	}
	return p.putRoot(ctx, change.Base, root)
}

// putParts writes the parts that the base does not name.
func (p *Publisher) putParts(ctx context.Context, parts map[string][]byte, base uint64) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)
	for hash, text := range parts {
		group.Go(func() error { return p.putPart(ctx, hash, text, base) })
	}
	return group.Wait()
}

// putPart makes sure that a part is there and that no sweep deletes it before the root names it.
func (p *Publisher) putPart(ctx context.Context, hash string, text []byte, base uint64) error {
	object := platform.PartObject(hash, text)
	object.Annotations = map[string]string{baseAnnotation: strconv.FormatUint(base, 10)}
	for range touchAttempts {
		err := p.create(ctx, platform.Parts, object)
		if !errors.Is(err, platform.ErrExists) {
			return err
		}
		done, err := p.touchPart(ctx, object, base)
		if done || err != nil {
			return err
		}
	}
	return errBusy
}

// touchPart marks a part that exists as needed by a change from the given generation; false if it must be tried again.
func (p *Publisher) touchPart(ctx context.Context, object platform.Object, base uint64) (bool, error) {
	present, err := retry(ctx, p, func(ctx context.Context) (platform.Object, error) {
		return p.config.Platform.Head(ctx, platform.Parts, object.Name)
	})
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if baseOf(present) >= base {
		return true, nil
	}
	object.Version = present.Version
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = p.config.Platform.Update(ctx, platform.Parts, object)
	var unavailable *platform.ErrUnavailable
	if errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrNotFound) || errors.As(err, &unavailable) {
		return false, nil
	}
	return err == nil, err
}

// baseOf returns the generation that a part was last marked with.
func baseOf(part platform.Object) uint64 {
	base, err := strconv.ParseUint(part.Annotations[baseAnnotation], 10, 64)
	if err != nil {
		return 0
	}
	return base
}

// create writes an object that others may write alike; a lost answer counts as ErrExists if the object is there.
func (p *Publisher) create(ctx context.Context, kind platform.Kind, object platform.Object) error {
	_, err := retry(ctx, p, func(ctx context.Context) (platform.Object, error) {
		created, err := p.config.Platform.Create(ctx, kind, object)
		if !mayHaveWritten(err) {
			return created, err
		}
		if _, unread := p.config.Platform.Head(ctx, kind, object.Name); unread == nil {
			return created, platform.ErrExists
		}
		return created, err
	})
	return err
}

// mayHaveWritten reports whether a write may have taken effect although it failed.
func mayHaveWritten(err error) bool {
	var unavailable *platform.ErrUnavailable
	return errors.As(err, &unavailable) && unavailable.Unknown
}

// putRoot replaces the root if it still is the one that the change was made from.
func (p *Publisher) putRoot(ctx context.Context, base Snapshot, root config.Root) (config.Root, error) {
	object := platform.Object{Name: platform.CurrentRoot, Version: base.version, Data: root.Encode()}
	lost := false
	_, err := retry(ctx, p, func(ctx context.Context) (platform.Object, error) {
		written, err := p.writeRoot(ctx, object)
		if !mayHaveWritten(err) {
			return written, err
		}
		lost = true
		if now, unread := p.version(ctx); unread == nil && now != base.version {
			return written, platform.ErrConflict
		}
		return written, err
	})
	var unavailable *platform.ErrUnavailable
	switch {
	case err == nil:
		return root, nil
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrExists), errors.Is(err, platform.ErrNotFound):
		return p.settle(ctx, root, lost)
	case lost && (errors.As(err, &unavailable) || ctx.Err() != nil):
		return config.Root{}, &ErrUnknown{ChangeID: root.ChangeID, Cause: err}
	}
	return config.Root{}, err
}

// version returns the version of the root, and an empty one if there is no root.
func (p *Publisher) version(ctx context.Context) (string, error) {
	head, err := p.config.Platform.Head(ctx, platform.Roots, platform.CurrentRoot)
	if errors.Is(err, platform.ErrNotFound) {
		return "", nil
	}
	return head.Version, err
}

func (p *Publisher) writeRoot(ctx context.Context, object platform.Object) (platform.Object, error) {
	if object.Version == "" {
		return p.config.Platform.Create(ctx, platform.Roots, object)
	}
	return p.config.Platform.Update(ctx, platform.Roots, object)
}

// settle finds out whether this change or another one has replaced the base.
func (p *Publisher) settle(ctx context.Context, root config.Root, lost bool) (config.Root, error) {
	now, err := p.ReadRoot(ctx)
	if err != nil {
		return config.Root{}, &ErrUnknown{ChangeID: root.ChangeID, Cause: err}
	}
	if now.Root.ChangeID == root.ChangeID {
		p.config.Notice("an answer of the platform was lost; the root names this change, it is in force")
		return root, nil
	}
	if lost {
		former, found, err := p.former(ctx, root.Generation)
		if err != nil {
			return config.Root{}, &ErrUnknown{ChangeID: root.ChangeID, Cause: err}
		}
		if found && former.ChangeID == root.ChangeID {
			p.config.Notice("an answer of the platform was lost; this change was in force and another one has followed")
			return root, nil
		}
	}
	return config.Root{}, &ErrConflict{ChangeID: root.ChangeID, Winner: now.Root}
}
