package keyed

import (
	"cmp"
	"context"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"ryelug/io/pause"
	"ryelug/io/platform"
)

// expiresAnnotation names the annotation of a record that holds its expiry, in Unix seconds.
const expiresAnnotation = "expires"

// Defaults of SweeperConfig, and a fixed margin.
const (
	defaultSweepInterval = 10 * time.Minute
	defaultSweepRate     = 20               // deletes per second
	clockSkewMargin      = 10 * time.Minute // allows for differences between the wall clocks of hosts
)

// OldRecords lists and deletes records of Idempotency-Keys in the platform. Errors are those of
// io/platform.
type OldRecords interface {
	// ListNames lists all objects of a kind, without their data.
	ListNames(ctx context.Context, kind platform.Kind) (platform.List, error)
	// Delete deletes an object; the error is platform.ErrConflict if its version has changed.
	Delete(ctx context.Context, kind platform.Kind, name, version string) error
}

// SweeperConfig configures a Sweeper. Zero numbers are replaced by defaults.
type SweeperConfig struct {
	Records   OldRecords    // access to the platform
	IsSweeper func() bool   // reports whether it is this router that sweeps now
	Every     time.Duration // time between two sweeps; zero means 10 min
	Rate      float64       // limit of deletes per second; zero means 20
}

// Sweeper periodically deletes expired records of Idempotency-Keys. Two sweepers may run at the
// same time: a delete has no effect on a record that changed after it was listed.
type Sweeper struct {
	config SweeperConfig
}

// NewSweeper returns a Sweeper that starts with Run.
func NewSweeper(config SweeperConfig) *Sweeper {
	config.Every = cmp.Or(config.Every, defaultSweepInterval)
	config.Rate = cmp.Or(config.Rate, defaultSweepRate)
	return &Sweeper{config: config}
}

// Run sweeps after each interval of config.Every at whose end config.IsSweeper returns true, until ctx
// ends. The error is always nil.
func (s *Sweeper) Run(ctx context.Context) error {
	for pause.For(ctx, s.config.Every) {
		if s.config.IsSweeper() {
			s.Sweep(ctx, time.Now())
		}
	}
	return nil
}

// Sweep deletes the records that expired more than clockSkewMargin before now and returns how many.
// Records that it could not delete, or not even list, are left to the next sweep.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) int {
	list, err := s.config.Records.ListNames(ctx, platform.Calls)
	if err != nil {
		return 0
	}
	limiter := rate.NewLimiter(rate.Limit(s.config.Rate), 1)
	deleted := 0
	for _, object := range list.Items {
		if !expired(object, now) {
			continue
		}
		if limiter.Wait(ctx) != nil {
			return deleted
		}
		if s.config.Records.Delete(ctx, platform.Calls, object.Name, object.Version) == nil {
			deleted++
		}
	}
	return deleted
}

// expired reports whether a record expired more than clockSkewMargin before now. A record without a
// valid expiry never expires.
func expired(object platform.Object, now time.Time) bool {
	seconds, err := strconv.ParseInt(object.Annotations[expiresAnnotation], 10, 64)
	return err == nil && time.Unix(seconds, 0).Add(clockSkewMargin).Before(now)
}
