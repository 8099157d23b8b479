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

// errMissedChange ends a watch that did not deliver a change which a read of the root has found.
var errMissedChange = errors.New("the watch missed a change")

// watch keeps a watch on the root object open while wanted is set, and opens it again whenever it ends.
type watch struct {
	syncer        *Syncer
	versions      versions // versions holds the last version of the root that a read or the watch delivered.
	mu            sync.Mutex
	wanted        bool                    // wanted is true while this router is to watch the platform.
	cancel        context.CancelCauseFunc // cancel ends the open watch; nil if none is open.
	wantedChanged chan struct{}           // wantedChanged holds one signal that wanted was set.
}

func newWatch(d *Syncer) *watch {
	return &watch{syncer: d, wantedChanged: make(chan struct{}, 1)}
}

// setWanted starts or stops watching. An open watch is closed when it is no longer wanted.
func (w *watch) setWanted(wanted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wanted = wanted
	if !wanted && w.cancel != nil {
		w.cancel(context.Canceled)
	}
	select {
	case w.wantedChanged <- struct{}{}:
	default:
	}
}

// detectMissed records the root's version that a read has found, and closes an
// open watch that should have delivered this version but has not.
func (w *watch) detectMissed(version string) {
	if !w.versions.record(version) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel(errMissedChange)
	}
}

// run opens a watch whenever one is wanted, until ctx ends. The pause between two
// watches starts over after one that lasted longer than maxWatchBackoff or missed a change.
func (w *watch) run(ctx context.Context) error {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = minWatchBackoff
	backOff.MaxInterval = maxWatchBackoff
	for {
		watchCtx, wanted := w.open(ctx)
		if !wanted {
			select {
			case <-ctx.Done():
				return nil
			case <-w.wantedChanged:
				continue
			}
		}
		opened := time.Now()
		err := w.follow(watchCtx)
		w.close()
		if time.Since(opened) > maxWatchBackoff || errors.Is(err, errMissedChange) {
			backOff.Reset()
		}
		if !pause.For(ctx, backOff.NextBackOff()) {
			return nil
		}
	}
}

// open prepares a new watch: it returns the context under which the watch runs, and whether a watch is wanted.
func (w *watch) open(ctx context.Context) (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.wanted || ctx.Err() != nil {
		return ctx, false
	}
	watchCtx, cancel := context.WithCancelCause(ctx)
	w.cancel = cancel
	return watchCtx, true
}

// close releases the context of the watch that has ended.
func (w *watch) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel(nil)
	w.cancel = nil
}

// follow opens a watch and passes new versions of the root to the machine, until
// the watch fails, misses a change or ctx ends. It returns the reason.
func (w *watch) follow(ctx context.Context) error {
	w.syncer.counters.watches.Add(1)
	err := w.syncer.config.Platform.Watch(ctx, platform.Roots, "", func(e platform.Event) error {
		changed := e.Type == platform.Added || e.Type == platform.Modified
		if changed && e.Object.Name == platform.CurrentRoot && w.versions.differs(e.Object.Version) {
			w.versions.record(e.Object.Version)
			w.syncer.inbox.put(&spread.RootRead{Root: e.Object.Data, Watched: true})
		}
		return nil
	})
	if cause := context.Cause(ctx); errors.Is(cause, errMissedChange) {
		err = cause
	}
	if errors.Is(err, errMissedChange) || errors.Is(err, platform.ErrSilent) {
		w.syncer.counters.silentWatches.Add(1)
		w.syncer.config.Log.WithError(err).Warn("The watch is opened again.")
	}
	return err
}
