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

// expiresAnnotation holds the Unix time after which a record may be deleted.
const expiresAnnotation = "expires"

// Defaults of a SweeperConfig.
const (
	defaultSweepEvery = 10 * time.Minute
	defaultSweepRate  = 20
	sweepMargin       = 10 * time.Minute // sweepMargin covers the difference of hosts' wall clocks.
)

// OldRecords lists and deletes records of keys.
type OldRecords interface {
	ListNames(ctx context.Context, kind platform.Kind) (platform.List, error)
	Delete(ctx context.Context, kind platform.Kind, name, version string) error
}

// SweeperConfig sets up a Sweeper; zero numbers take defaults.
type SweeperConfig struct {
	Records OldRecords
	Turn    func() bool   // Turn tells whether this router is the one that sweeps now.
	Every   time.Duration // Every is the time between two sweeps.
	Rate    float64       // Rate bounds the deletes a second.
}

// Sweeper deletes records of keys whose time is over. Two of them at once do no harm:
// each delete holds only for the version that was listed.
type Sweeper struct {
	config SweeperConfig
}

// NewSweeper returns a Sweeper.
func NewSweeper(config SweeperConfig) *Sweeper {
	config.Every = cmp.Or(config.Every, defaultSweepEvery)
	config.Rate = cmp.Or(config.Rate, defaultSweepRate)
	return &Sweeper{config: config}
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	for pause.For(ctx, s.config.Every) {
		if s.config.Turn() {
			s.Sweep(ctx, time.Now())
		}
	}
	return nil
}

// Sweep deletes the records that expired before now and returns their number. What it
// can't delete is left to the next sweep.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) int {
	list, err := s.config.Records.ListNames(ctx, platform.Calls)
	if err != nil {
		return 0
	}
	pace := rate.NewLimiter(rate.Limit(s.config.Rate), 1)
	deleted := 0
	for _, object := range list.Items {
		if !expired(object, now) {
			continue
		}
		if pace.Wait(ctx) != nil {
			return deleted
		}
		if s.config.Records.Delete(ctx, platform.Calls, object.Name, object.Version) == nil {
			deleted++
		}
	}
	return deleted
}

// expired leaves records alone that do not say when they expire.
func expired(object platform.Object, now time.Time) bool {
	seconds, err := strconv.ParseInt(object.Annotations[expiresAnnotation], 10, 64)
	return err == nil && time.Unix(seconds, 0).Add(sweepMargin).Before(now)
}
