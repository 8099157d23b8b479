package router

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/core/config"
	"ryelug/router/directory"
	"ryelug/router/lending"
)

// awaitKnown waits for an endpoint that is listed after the given time, under a grant that is valid for 400 ms, and
// returns whether the endpoint is known and how long that took.
func awaitKnown(t *testing.T, listedAfter time.Duration) (isKnown bool, took time.Duration) {
	t.Helper()
	const valid = 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		address := netip.MustParseAddrPort("192.0.2.1:80")
		before := directory.New(1, &config.Document{})
		after := directory.NewRegistered(&directory.Registry{
			Pools: []directory.Pool{{ID: "pool"}}, Endpoints: []directory.Endpoint{{ID: "e", Pool: "pool", Address: address}},
		})
		p := &permit{
			decision: lending.Decision{Endpoint: "e", Expires: began.Add(valid)},
			directory: func() *directory.Directory {
				if time.Since(began) < listedAfter {
					return before
				}
				return after
			},
		}
		isKnown, took = p.AwaitKnown(t.Context()), time.Since(began)
		_, got, _ := p.Endpoint()
		is.New(t).Equal(got.IsValid(), isKnown)
	})
	return isKnown, took
}

func TestGrantWaitsForItsEndpointToBeListedUntilItExpires(t *testing.T) {
	for _, c := range []struct {
		name        string
		listedAfter time.Duration
		isKnown     bool
		took        time.Duration
	}{
		{"listed", 0, true, 0},
		{"listed soon", 100 * time.Millisecond, true, 100 * time.Millisecond},
		{"never listed", time.Hour, false, 400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			isKnown, took := awaitKnown(t, c.listedAfter)
			is.Equal(isKnown, c.isKnown)
			is.Equal(took, c.took)
		})
	}
}
