package pause

import (
	"context"
	"time"
)

// For waits for d and tells whether ctx goes on. It does not wait at all if d is
// not positive: in a synctest bubble the race detector breaks on a timer that is
// due when it is made.
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
