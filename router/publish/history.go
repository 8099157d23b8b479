package publish

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"ryelug/core/config"
	"ryelug/io/platform"
)

// sweepEvery is the number of generations from one deletion of unneeded parts to the next.
const sweepEvery = 16

// formerName returns the name of a former root in the history. Names sort in the order of generations.
func formerName(generation uint64) string {
	return fmt.Sprintf("generation-%020d", generation)
}

// archiveRoot copies the root that is about to be replaced into the history. An
// existing copy is no error, since all operators who copy this root write the same.
func (p *Publisher) archiveRoot(ctx context.Context, base Snapshot) error {
	if base.rootVersion == "" || base.Broken != nil {
		return nil
	}
	object := platform.Object{Name: formerName(base.Root.Generation), Data: base.rootData}
	err := p.create(ctx, platform.History, object)
	if errors.Is(err, platform.ErrExists) {
		return nil
	}
	return err
}

// formerRoot reads the root of a generation from the history and reports whether it is there.
func (p *Publisher) formerRoot(ctx context.Context, generation uint64) (config.Root, bool, error) {
	object, err := retry(ctx, p, func(ctx context.Context) (platform.Object, error) {
		return p.config.Platform.Get(ctx, platform.History, formerName(generation))
	})
	if errors.Is(err, platform.ErrNotFound) {
		return config.Root{}, false, nil
	}
	if err != nil {
		return config.Root{}, false, err
	}
	root, err := config.ParseRoot(object.Data)
	return root, err == nil, err
}

// History returns the root in force and the kept former roots, newest first. It
// returns none if there is no root, and leaves the root in force out if it can't be read.
func (p *Publisher) History(ctx context.Context) ([]config.Root, error) {
	current, err := p.ReadRoot(ctx)
	if err != nil || current.rootVersion == "" {
		return nil, err
	}
	former, err := p.listFormerRoots(ctx)
	if err != nil {
		return nil, err
	}
	roots := []config.Root{current.Root}
	if current.Broken != nil {
		roots = nil
	}
	for _, f := range former {
		if f.root.Generation < current.Root.Generation && len(roots) <= p.config.Keep {
			roots = append(roots, f.root)
		}
	}
	return roots, nil
}

// DocumentOf returns the document of a generation, or platform.ErrNotFound if that is neither in force nor kept.
func (p *Publisher) DocumentOf(ctx context.Context, generation uint64) (*config.Document, error) {
	roots, err := p.History(ctx)
	if err != nil {
		return nil, err
	}
	for _, root := range roots {
		if root.Generation == generation {
			document, _, err := p.document(ctx, root)
			return document, err
		}
	}
	return nil, platform.ErrNotFound
}

// formerRoot is a root in the history, with the object that holds it.
type formerRoot struct {
	root   config.Root
	object platform.Object
}

// listFormerRoots returns the roots in the history that can be read, newest first.
func (p *Publisher) listFormerRoots(ctx context.Context) ([]formerRoot, error) {
	list, err := retry(ctx, p, func(ctx context.Context) (platform.List, error) {
		return p.config.Platform.List(ctx, platform.History)
	})
	if err != nil {
		return nil, err
	}
	var former []formerRoot
	for _, object := range list.Items {
		root, err := config.ParseRoot(object.Data)
		if err == nil {
			former = append(former, formerRoot{root, object})
		}
	}
	slices.SortFunc(former, func(a, b formerRoot) int { return cmp.Compare(b.root.Generation, a.root.Generation) })
	return former, nil
}

// SweepIfDue calls Sweep once in every sweepEvery generations.
func (p *Publisher) SweepIfDue(ctx context.Context, generation uint64) error {
	if generation%sweepEvery != 0 {
		return nil
	}
	return p.Sweep(ctx)
}

// Sweep deletes former roots beyond the configured number, and the parts that
// neither the root in force nor a kept one names.
//
// It must not delete parts of a change that is in progress. Such a change marks its
// parts with the generation that it starts from. A part is deleted only if its mark
// is lower than the generation in force: the root of the part's writer is then bound
// to be rejected. The part must also still have the version that was listed, so one
// that another change has marked in the meantime stays.
func (p *Publisher) Sweep(ctx context.Context) error {
	current, err := p.ReadRoot(ctx)
	if err != nil || current.rootVersion == "" || current.Broken != nil {
		return err
	}
	former, err := p.listFormerRoots(ctx)
	if err != nil {
		return err
	}
	needed := map[string][]byte{}
	if err := p.addNeededParts(ctx, needed, current.Root); err != nil {
		return err
	}
	for i, f := range former {
		if i < p.config.Keep || f.root.Generation >= current.Root.Generation {
			if err := p.addNeededParts(ctx, needed, f.root); err != nil && !isBroken(err) {
				return err
			}
			continue
		}
		if err := p.deleteUnchanged(ctx, platform.History, f.object); err != nil {
			return err
		}
	}
	return p.sweepParts(ctx, needed, current.Root.Generation)
}

// addNeededParts adds the hashes of all parts of a root to needed. The value of an
// index part is its text, and that of a leaf part is nil.
func (p *Publisher) addNeededParts(ctx context.Context, needed map[string][]byte, root config.Root) error {
	var unread []string
	for _, hash := range root.Parts {
		if _, done := needed[hash]; !done {
			unread = append(unread, hash)
		}
	}
	if err := p.readParts(ctx, unread, needed); err != nil {
		return err
	}
	for _, hash := range unread {
		for _, leaf := range config.Leaves(needed[hash]) {
			needed[leaf] = nil
		}
	}
	return nil
}

// sweepParts deletes the parts that are not in needed and are marked with a generation lower than the given one.
func (p *Publisher) sweepParts(ctx context.Context, needed map[string][]byte, generation uint64) error {
	list, err := retry(ctx, p, func(ctx context.Context) (platform.List, error) {
		return p.config.Platform.ListNames(ctx, platform.Parts)
	})
	if err != nil {
		return err
	}
	for _, part := range list.Items {
		if _, kept := needed[part.Name]; kept || markedGeneration(part) >= generation {
			continue
		}
		if err := p.deleteUnchanged(ctx, platform.Parts, part); err != nil {
			return err
		}
	}
	return nil
}

// deleteUnchanged deletes an object. It is no error if somebody else has changed or deleted it.
func (p *Publisher) deleteUnchanged(ctx context.Context, kind platform.Kind, o platform.Object) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := p.config.Platform.Delete(ctx, kind, o.Name, o.Version)
	if errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}
