package timeline_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/standin/timeline"
)

func TestQueue(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	var queue timeline.Queue[string]
	for _, what := range []string{"late", "first", "second"} {
		at := start
		if what == "late" {
			at = start.Add(time.Minute)
		}
		queue.Add(at, what)
	}
	take := func(until time.Time, want string) timeline.Event[string] {
		next, ok := queue.Next(until)
		is.Equal(next.What, want)
		is.Equal(ok, want != "")
		return next
	}
	queue.Postpone(take(start, "first"), start.Add(time.Minute))
	take(start, "second")
	take(start, "")
	take(start.Add(time.Minute), "late") // It was added before the one that is postponed.
	take(start.Add(time.Minute), "first")
	is.Equal(queue.Added(), 3)
}
