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

// sweepEvery is how many generations lie between two searches for parts that no root names.
const sweepEvery = 16

// formerName returns the name of a former root; names sort as generations do.
func formerName(generation uint64) string {
	return fmt.Sprintf("generation-%020d", generation)
}

// keepFormer copies the root that is about to be replaced into the history; all who try write the same.
func (p *Publisher) keepFormer(ctx context.Context, base Snapshot) error {
	if base.version == "" || base.Broken != nil {
		return nil
	}
	object := platform.Object{Name: formerName(base.Root.Generation), Data: base.raw}
	err := p.create(ctx, platform.History, object)
	if errors.Is(err, platform.ErrExists) {
		return nil
	}
	return err
}

// former reads one former root.
func (p *Publisher) former(ctx context.Context, generation uint64) (config.Root, bool, error) {
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

// History returns the kept roots, the one in force first.
func (p *Publisher) History(ctx context.Context) ([]config.Root, error) {
	now, err := p.ReadRoot(ctx)
	if err != nil || now.version == "" {
		return nil, err
	}
	former, err := p.formerRoots(ctx)
	if err != nil {
		return nil, err
	}
	roots := []config.Root{now.Root}
	if now.Broken != nil {
		roots = nil
	}
	for _, f := range former {
		if f.root.Generation < now.Root.Generation && len(roots) <= p.config.Keep {
			roots = append(roots, f.root)
		}
	}
	return roots, nil
}

// DocumentOf returns the document of a kept generation.
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

// formerRoot is a root in the history.
type formerRoot struct {
	root   config.Root
	object platform.Object
}

// formerRoots returns the history, the newest first.
func (p *Publisher) formerRoots(ctx context.Context) ([]formerRoot, error) {
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

// SweepIfDue deletes what is no longer needed, once in a number of generations.
func (p *Publisher) SweepIfDue(ctx context.Context, generation uint64) error {
	if generation%sweepEvery != 0 {
		return nil
	}
	return p.Sweep(ctx)
}

// Sweep deletes former roots beyond the kept ones, and the parts that neither
// the root in force nor a kept one names.
//
// A change that is under way marks its parts with the generation that it starts
// from. A part is deleted only if its mark is lower than the generation in
// force, so its writer's change of the root must fail, and only at the version
// that was listed, so a part that another change has marked since stays.
func (p *Publisher) Sweep(ctx context.Context) error {
	now, err := p.ReadRoot(ctx)
	if err != nil || now.version == "" || now.Broken != nil {
		return err
	}
	former, err := p.formerRoots(ctx)
	if err != nil {
		return err
	}
	needed := map[string][]byte{}
	if err := p.need(ctx, needed, now.Root); err != nil {
		return err
	}
	for i, f := range former {
		if i < p.config.Keep || f.root.Generation >= now.Root.Generation {
			if err := p.need(ctx, needed, f.root); err != nil && !isBroken(err) {
				return err
			}
			continue
		}
		if err := p.remove(ctx, platform.History, f.object); err != nil {
			return err
		}
	}
	return p.sweepParts(ctx, needed, now.Root.Generation)
}

// need adds the names of all parts of a root; those of its indexes with their texts.
func (p *Publisher) need(ctx context.Context, needed map[string][]byte, root config.Root) error {
	var unread []string
	for _, hash := range root.Parts {
		if _, read := needed[hash]; !read {
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

func (p *Publisher) sweepParts(ctx context.Context, needed map[string][]byte, generation uint64) error {
	list, err := retry(ctx, p, func(ctx context.Context) (platform.List, error) {
		return p.config.Platform.ListNames(ctx, platform.Parts)
	})
	if err != nil {
		return err
	}
	for _, part := range list.Items {
		if _, kept := needed[part.Name]; kept || baseOf(part) >= generation {
			continue
		}
		if err := p.remove(ctx, platform.Parts, part); err != nil {
			return err
		}
	}
	return nil
}

// remove deletes an object unless somebody has changed or deleted it.
func (p *Publisher) remove(ctx context.Context, kind platform.Kind, o platform.Object) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := p.config.Platform.Delete(ctx, kind, o.Name, o.Version)
	if errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}
