package configuration

import (
	"context"
	"errors"
	"sync"
	"time"

	"ryelug/core/spread"
	"ryelug/io/platform"
)

// read is a queued read from the platform: a readRoot or a readPart.
type read interface{ read() }

// readRoot is a read of the root that the machine requested at the time began.
type readRoot struct{ began time.Time }

// readPart is a read of the part named by hash.
type readPart struct{ hash string }

func (readRoot) read() {}
func (readPart) read() {}

// enqueue queues a read. If the queue is full, the read fails at once, and the machine requests it again later.
func enqueue[T read](d *Syncer, queue chan T, r T) {
	select {
	case queue <- r:
	default:
		d.reportFailure(r, platform.ErrSilent)
	}
}

func (d *Syncer) readRoots(ctx context.Context) error {
	return processReads(ctx, d, d.roots)
}

func (d *Syncer) readParts(ctx context.Context) error {
	return processReads(ctx, d, d.parts)
}

// processReads performs queued reads one after the other until ctx ends.
func processReads[T read](ctx context.Context, d *Syncer, queue chan T) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-queue:
			d.fetch(ctx, next)
		}
	}
}

// fetch performs one read and tells the machine if it has failed.
func (d *Syncer) fetch(ctx context.Context, next read) {
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
		d.reportFailure(next, err)
	}
}

// call makes one call to the platform. Its timeout doubles with each call that times
// out, from minTimeout up to eight times that, so that a slow platform can still
// answer. A call that takes less than half of minTimeout resets it.
func (d *Syncer) call(ctx context.Context, get func(ctx context.Context) (platform.Object, error)) (platform.Object, error) {
	timeout := min(maxTimeout, minTimeout<<min(d.timeouts.Load(), 3))
	started := time.Now()
	callCtx, cancel := context.WithDeadline(ctx, started.Add(timeout))
	defer cancel()
	object, err := get(callCtx)
	switch took := time.Since(started); {
	case took >= timeout:
		d.timeouts.Add(1)
	case took < minTimeout/2:
		d.timeouts.Store(0)
	}
	return object, err
}

// reportFailure tells the machine that a read has failed, and for a part whether the platform lacks it.
func (d *Syncer) reportFailure(r read, err error) {
	switch r := r.(type) {
	case readRoot:
		d.inbox.put(&spread.RootFailed{})
	case readPart:
		d.inbox.put(&spread.PartFailed{Hash: r.hash, Missing: errors.Is(err, platform.ErrNotFound)})
	}
}

// readRoot reads the root's version, and the root itself only if the version has changed.
func (d *Syncer) readRoot(ctx context.Context, began time.Time) error {
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
	d.watch.detectMissed(root.Version)
	d.inbox.put(&spread.RootRead{Root: root.Data, Began: began})
	return nil
}

// readPart reads a part and passes its text to the machine, which checks it.
func (d *Syncer) readPart(ctx context.Context, hash string) error {
	part, err := d.call(ctx, func(ctx context.Context) (platform.Object, error) {
		return d.config.Platform.Get(ctx, platform.Parts, hash)
	})
	if err != nil {
		return err
	}
	d.inbox.put(&spread.PartRead{Hash: hash, Data: platform.PartText(part)})
	return nil
}

// versions holds the version of the root that was last passed to the machine.
type versions struct {
	mu   sync.Mutex
	last string
}

// differs reports whether version is not the last one. An older version counts as
// different too, since a restored platform may have gone back to it.
func (v *versions) differs(version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return version != v.last
}

// record stores the version and reports whether it is newer than the one before; the first one is not.
func (v *versions) record(version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	newer := v.last != "" && platform.Newer(version, v.last)
	v.last = version
	return newer
}
