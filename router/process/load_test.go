package process

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/router"
)

func TestLoad(t *testing.T) {
	before := load{at: time.Unix(1, 0), processor: time.Second, overloaded: 3, ready: 1, traffic: router.Traffic{Accepted: 7, HandedOver: 2, Taken: 1}}
	t.Run("a log line has the changes since the last one", func(t *testing.T) {
		is, now := is.New(t), before
		now.at, now.processor, now.overloaded, now.notReady = time.Unix(2, 0), 1080*time.Millisecond, 8, 1
		now.traffic = router.Traffic{Accepted: 107, HandedOver: 42, Taken: 1, InFlight: 30, LastDelay: 60 * time.Millisecond}
		fields := now.fields(&before)
		is.Equal(fields["processor_ms"], int64(80))
		is.Equal(fields["accepted"], int64(100))
		is.Equal(fields["handed_over"], int64(40))
		is.Equal(fields["overloaded"], int64(5))
		is.Equal(fields["not_ready"], int64(1))
		is.Equal(fields["waited_ms"], int64(60))
	})
	t.Run("a router without callers is idle", func(t *testing.T) {
		is, now := is.New(t), before
		is.True(now.isIdle(&before))
		now.traffic.Taken++
		is.True(!now.isIdle(&before))
	})
}
