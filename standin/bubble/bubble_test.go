package bubble_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ryelug/standin/bubble"
)

// TestTickersDueTogether has many goroutines receive from tickers that became due
// while they slept.
func TestTickersDueTogether(t *testing.T) {
	const workers, rounds = 64, 2000
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		var working sync.WaitGroup
		for range workers {
			working.Go(func() { receiveLate(rounds) })
		}
		working.Wait()
	})
}

func receiveLate(rounds int) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for range rounds {
		time.Sleep(3 * time.Millisecond)
		<-ticker.C
	}
}
