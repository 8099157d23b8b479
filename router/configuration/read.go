package configuration

import (
	"context"
	"errors"
	"sync"
	"time"

	"ryelug/core/spread"
	"ryelug/io/platform"
)

// read is one thing to read from the platform.
type read interface{ read() }

type readRoot struct{ began time.Time }

type readPart struct{ hash string }

func (readRoot) read() {}
func (readPart) read() {}

// enqueue adds a read; if too many wait, it fails at once and is tried again later.
func enqueue[T read](d *Duty, ring chan T, r T) {
	select {
	case ring <- r:
	default:
		d.failed(r, platform.ErrSilent)
	}
}

func (d *Duty) readRoots(ctx context.Context) error {
	return serve(ctx, d, d.roots)
}

func (d *Duty) readParts(ctx context.Context) error {
	return serve(ctx, d, d.parts)
}

// serve performs reads one after the other.
func serve[T read](ctx context.Context, d *Duty, ring chan T) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-ring:
			d.fetch(ctx, next)
		}
	}
}

func (d *Duty) fetch(ctx context.Context, next read) {
	d.counters.reads.Add(1)
	var err error
	switch r := next.(type) {
	case readRoot:
		err = d.readRoot(ctx, r.began)
	case readPart:
		err = d.readPart(ctx, r.hash)
	}
	if err != nil {
		d.counters.failedReads.Add(1)
		d.failed(next, err)
	}
}

// call makes one call to the platform; a platform that is slow is given more time by and by.
func (d *Duty) call(ctx context.Context, get func(ctx context.Context) (platform.Object, error)) (platform.Object, error) {
	wait := min(maxTimeout, readTimeout<<min(d.timeouts.Load(), 3))
	started := time.Now()
	bounded, cancel := context.WithDeadline(ctx, started.Add(wait))
	defer cancel()
	object, err := get(bounded)
	switch took := time.Since(started); {
	case took >= wait:
		d.timeouts.Add(1)
	case took < readTimeout/2:
		d.timeouts.Store(0)
	}
	return object, err
}

func (d *Duty) failed(r read, err error) {
	switch r := r.(type) {
	case readRoot:
		d.inbox.put(&spread.RootFailed{})
	case readPart:
		d.inbox.put(&spread.PartFailed{Hash: r.hash, Missing: errors.Is(err, platform.ErrNotFound)})
	}
}

// readRoot reads the root's version, and the root itself only if that is new.
func (d *Duty) readRoot(ctx context.Context, began time.Time) error {
	head, err := d.call(ctx, func(ctx context.Context) (platform.Object, error) {
		return d.config.Platform.Head(ctx, platform.Roots, platform.CurrentRoot)
	})
	if errors.Is(err, platform.ErrNotFound) {
		d.inbox.put(&spread.RootRead{Began: began})
		return nil
	}
	if err != nil {
		return err
	}
	if !d.watch.versions.differs(head.Version) {
		d.inbox.put(&spread.RootRead{Same: true, Began: began})
		return nil
	}
	root, err := d.call(ctx, func(ctx context.Context) (platform.Object, error) {
		return d.config.Platform.Get(ctx, platform.Roots, platform.CurrentRoot)
	})
	if err != nil {
		return err
	}
	d.watch.missed(root.Version)
	d.inbox.put(&spread.RootRead{Root: root.Data, Began: began})
	return nil
}

func (d *Duty) readPart(ctx context.Context, hash string) error {
	part, err := d.call(ctx, func(ctx context.Context) (platform.Object, error) {
		return d.config.Platform.Get(ctx, platform.Parts, hash)
	})
	if err != nil {
		return err
	}
	d.inbox.put(&spread.PartRead{Hash: hash, Data: platform.PartText(part)})
	return nil
}

// versions remembers the version of the root that was handed to the machine last.
type versions struct {
	mu   sync.Mutex
	last string
}

// differs reports whether a version is not the last one; a platform that was restored may have gone back.
func (v *versions) differs(version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return version != v.last
}

// set notes a version and reports whether it is newer than one before; the first is not.
func (v *versions) set(version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	newer := v.last != "" && platform.Newer(version, v.last)
	v.last = version
	return newer
}
