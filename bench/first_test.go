package bench_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/bench"
	"ryelug/standin/bubble"
)

const seed = 1

// TestFirstToken holds the time that an idle fleet adds to the network's delays:
// the demand and the grant, and the first call on a new connection.
func TestFirstToken(t *testing.T) {
	for _, d := range bench.Deployments() {
		t.Run(d.Name, func(t *testing.T) {
			defer bubble.OneProcessor()()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				added, err := bench.FirstToken(context.Background(), d, seed)
				is.NoErr(err)
				t.Logf("added to the first token: %+v", added)
				roundTrip := float64(2*d.Delay) / float64(time.Millisecond)
				is.True(added.P99 <= 3*roundTrip+1) // Grant, connection, report, and a wake-up.
			})
		})
	}
}
