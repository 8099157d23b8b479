package publish

import (
	"context"

	"golang.org/x/time/rate"

	"ryelug/io/platform"
)

// Limits of one Publisher, in calls a second and calls in a burst. The platform
// takes about 2,000 reads and several hundred writes a second from the whole system.
const (
	readRate   = 500
	readBurst  = 100
	writeRate  = 100
	writeBurst = 50
)

// rateLimited limits the rates of reads and writes, so that publishing a large document
// leaves most of the platform's capacity to others.
type rateLimited struct {
	next   Platform
	reads  *rate.Limiter
	writes *rate.Limiter
}

func newRateLimited(next Platform) *rateLimited {
	return &rateLimited{next: next, reads: rate.NewLimiter(readRate, readBurst), writes: rate.NewLimiter(writeRate, writeBurst)}
}

// limit makes a call as soon as the limiter allows it. It returns context.DeadlineExceeded
// without calling if ctx ends, or would end, before that.
func limit[T any](ctx context.Context, limiter *rate.Limiter, call func() (T, error)) (T, error) {
	if err := limiter.Wait(ctx); err != nil {
		var none T
		return none, context.DeadlineExceeded
	}
	return call()
}

// Get implements Platform; it counts as a read.
func (p *rateLimited) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	return limit(ctx, p.reads, func() (platform.Object, error) { return p.next.Get(ctx, kind, name) })
}

// Head implements Platform; it counts as a read.
func (p *rateLimited) Head(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	return limit(ctx, p.reads, func() (platform.Object, error) { return p.next.Head(ctx, kind, name) })
}

// List implements Platform; it counts as a read.
func (p *rateLimited) List(ctx context.Context, kind platform.Kind) (platform.List, error) {
	return limit(ctx, p.reads, func() (platform.List, error) { return p.next.List(ctx, kind) })
}

// ListNames implements Platform; it counts as a read.
func (p *rateLimited) ListNames(ctx context.Context, kind platform.Kind) (platform.List, error) {
	return limit(ctx, p.reads, func() (platform.List, error) { return p.next.ListNames(ctx, kind) })
}

// Create implements Platform; it counts as a write.
func (p *rateLimited) Create(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error) {
	return limit(ctx, p.writes, func() (platform.Object, error) { return p.next.Create(ctx, kind, o) })
}

// Update implements Platform; it counts as a write.
func (p *rateLimited) Update(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error) {
	return limit(ctx, p.writes, func() (platform.Object, error) { return p.next.Update(ctx, kind, o) })
}

// Delete implements Platform; it counts as a write.
func (p *rateLimited) Delete(ctx context.Context, kind platform.Kind, name, version string) error {
	_, err := limit(ctx, p.writes, func() (struct{}, error) { return struct{}{}, p.next.Delete(ctx, kind, name, version) })
	return err
}
