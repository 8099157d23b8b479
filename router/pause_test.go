package router_test

import (
	"slices"
	"time"
)

// longestPause returns the longest time between two successive times, and when it began.
func longestPause(times []time.Duration) (longest, since time.Duration) {
	slices.Sort(times)
	for i := 1; i < len(times); i++ {
		if pause := times[i] - times[i-1]; pause > longest {
			longest, since = pause, times[i-1]
		}
	}
	return longest, since
}
