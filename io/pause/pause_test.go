package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/io/pause"
	"ryelug/standin/bubble"
)

// Checks how long For waits and what it reports, in virtual time.
func TestFor(t *testing.T) {
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		is.True(pause.For(ctx, 0))
		is.True(pause.For(ctx, -time.Second))
		is.Equal(time.Since(start), 0*time.Second)
		is.True(pause.For(ctx, 600*time.Millisecond))
		is.True(!pause.For(ctx, 600*time.Millisecond))
		is.Equal(time.Since(start), time.Second)
		is.True(!pause.For(ctx, 0))
	})
}
