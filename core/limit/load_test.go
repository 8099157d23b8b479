package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/limit"
)

// used returns the load after a number of intervals of 0.1 s, in each of which the given work was done.
func used(share float64, tenths int, each limit.Work) *limit.Load {
	load := limit.NewLoad(share)
	now := time.Unix(1000, 0)
	var work limit.Work
	for range tenths + 1 {
		load.RecordWork(now, work)
		now = now.Add(100 * time.Millisecond)
		work.Connections += each.Connections
		work.Requests += each.Requests
		work.Events += each.Events
		work.Shared += each.Shared
		work.Processor += each.Processor
		work.Coordination += each.Coordination
	}
	return load
}

func TestLoad(t *testing.T) {
	flood := limit.Work{Connections: 100, Requests: 50}
	t.Run("a flood makes a small host busy within 0.2 s", func(t *testing.T) {
		is := is.New(t)
		is.True(used(0.192, 2, flood).IsBusy())
	})
	t.Run("the same flood is no load for a large host", func(t *testing.T) {
		is := is.New(t)
		is.True(!used(0.8, 20, flood).IsBusy())
	})
	t.Run("answers of other routers cost less", func(t *testing.T) {
		is := is.New(t)
		is.True(used(0.192, 20, limit.Work{Events: 300}).IsFull())
		is.True(!used(0.192, 20, limit.Work{Shared: 300}).IsBusy())
	})
	t.Run("measured processor time counts if it is more", func(t *testing.T) {
		is := is.New(t)
		is.True(used(0.192, 20, limit.Work{Processor: 18 * time.Millisecond}).IsFull())
	})
	t.Run("coordination counts with its elapsed time", func(t *testing.T) {
		is := is.New(t)
		is.True(used(0.8, 20, limit.Work{Coordination: 60 * time.Millisecond}).IsBusy())
		is.True(!used(0.8, 20, limit.Work{Coordination: 40 * time.Millisecond}).IsBusy())
	})
	t.Run("unknown processor capacity", func(t *testing.T) {
		is := is.New(t)
		is.True(!used(0, 20, flood).IsBusy())
	})
}
