package publish

import (
	"context"

	"golang.org/x/time/rate"

	"ryelug/io/platform"
)

// Calls a second of one Publisher, and how many may come at once. The platform
// takes about 2,000 reads and several hundred writes a second of the whole system.
const (
	readRate   = 500
	readBurst  = 100
	writeRate  = 100
	writeBurst = 50
)

// paced bounds the rates of calls, so that a large document leaves the platform to others too.
type paced struct {
	to     Platform
	reads  *rate.Limiter
	writes *rate.Limiter
}

func newPaced(to Platform) *paced {
	return &paced{to: to, reads: rate.NewLimiter(readRate, readBurst), writes: rate.NewLimiter(writeRate, writeBurst)}
}

// at makes a call when its pace allows it.
func at[T any](ctx context.Context, pace *rate.Limiter, call func() (T, error)) (T, error) {
	if err := pace.Wait(ctx); err != nil {
		var none T
		return none, context.DeadlineExceeded
	}
	return call()
}

// Get implements Platform.
func (p *paced) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	return at(ctx, p.reads, func() (platform.Object, error) { return p.to.Get(ctx, kind, name) })
}

// Head implements Platform.
func (p *paced) Head(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	return at(ctx, p.reads, func() (platform.Object, error) { return p.to.Head(ctx, kind, name) })
}

// List implements Platform.
func (p *paced) List(ctx context.Context, kind platform.Kind) (platform.List, error) {
	return at(ctx, p.reads, func() (platform.List, error) { return p.to.List(ctx, kind) })
}

// ListNames implements Platform.
func (p *paced) ListNames(ctx context.Context, kind platform.Kind) (platform.List, error) {
	return at(ctx, p.reads, func() (platform.List, error) { return p.to.ListNames(ctx, kind) })
}

// Create implements Platform.
func (p *paced) Create(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error) {
	return at(ctx, p.writes, func() (platform.Object, error) { return p.to.Create(ctx, kind, o) })
}

// Update implements Platform.
func (p *paced) Update(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error) {
	return at(ctx, p.writes, func() (platform.Object, error) { return p.to.Update(ctx, kind, o) })
}

// Delete implements Platform.
func (p *paced) Delete(ctx context.Context, kind platform.Kind, name, version string) error {
	_, err := at(ctx, p.writes, func() (struct{}, error) { return struct{}{}, p.to.Delete(ctx, kind, name, version) })
	return err
}
