package pause

import (
	"context"
	"time"
)

// For waits for d or until ctx is done, and reports whether d passed first. If d is not positive, it reports immediately
// whether ctx is not done, without a timer: in a synctest bubble the race detector fails on a timer that has expired when
// it is created.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
