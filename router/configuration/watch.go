package configuration

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"ryelug/core/spread"
	"ryelug/io/pause"
	"ryelug/io/platform"
)

// errMissed ends a watch that did not tell of a change.
var errMissed = errors.New("the watch missed a change")

// watch follows the root in the platform while it is wanted.
type watch struct {
	duty     *Duty
	versions versions
	mu       sync.Mutex
	on       bool
	cancel   context.CancelCauseFunc // cancel ends the open watch; nil if none is open.
	change   chan struct{}           // change has room for one signal that on has changed.
}

func newWatch(d *Duty) *watch {
	return &watch{duty: d, change: make(chan struct{}, 1)}
}

func (w *watch) set(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.on = on
	if !on && w.cancel != nil {
		w.cancel(context.Canceled)
	}
	select {
	case w.change <- struct{}{}:
	default:
	}
}

// missed notes a version that a read has found; an open watch that has not told of it is closed.
func (w *watch) missed(version string) {
	if !w.versions.set(version) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel(errMissed)
	}
}

// run opens the watch again and again while it is wanted.
func (w *watch) run(ctx context.Context) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = rewatch
	pauses.MaxInterval = maxRewatch
	for {
		one, wanted := w.open(ctx)
		if !wanted {
			select {
			case <-ctx.Done():
				return nil
			case <-w.change:
				continue
			}
		}
		opened := time.Now()
		err := w.follow(one)
		w.close()
		if time.Since(opened) > maxRewatch || errors.Is(err, errMissed) {
			pauses.Reset()
		}
		if !pause.For(ctx, pauses.NextBackOff()) {
			return nil
		}
	}
}

func (w *watch) open(ctx context.Context) (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.on || ctx.Err() != nil {
		return ctx, false
	}
	one, cancel := context.WithCancelCause(ctx)
	w.cancel = cancel
	return one, true
}

func (w *watch) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel(nil)
	w.cancel = nil
}

// follow hands changes of the root to the duty until the watch ends.
func (w *watch) follow(ctx context.Context) error {
	w.duty.counters.watches.Add(1)
	err := w.duty.config.Platform.Watch(ctx, platform.Roots, "", func(e platform.Event) error {
		changed := e.Type == platform.Added || e.Type == platform.Modified
		if changed && e.Object.Name == platform.CurrentRoot && w.versions.differs(e.Object.Version) {
			w.versions.set(e.Object.Version)
			w.duty.inbox.put(&spread.RootRead{Root: e.Object.Data, Watched: true})
		}
		return nil
	})
	if cause := context.Cause(ctx); errors.Is(cause, errMissed) {
		err = cause
	}
	if errors.Is(err, errMissed) || errors.Is(err, platform.ErrSilent) {
		w.duty.counters.silentWatches.Add(1)
		w.duty.config.Log.WithError(err).Warn("The watch is opened again.")
	}
	return err
}
