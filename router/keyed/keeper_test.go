package keyed_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/io/platform"
	"ryelug/router/keyed"
	"ryelug/standin/bubble"
)

// expiryRecorder accepts each new record and keeps its expiry.
type expiryRecorder struct {
	keyed.Records
	expires []time.Time
}

func (r *expiryRecorder) Create(_ context.Context, _ platform.Kind, object platform.Object) (platform.Object, error) {
	seconds, err := strconv.ParseInt(object.Annotations["expires"], 10, 64)
	r.expires = append(r.expires, time.Unix(seconds, 0))
	return object, err
}

// TestRecordOutlivesAttempt checks that a record is kept for as long as its request may run, even
// if the retention is shorter.
func TestRecordOutlivesAttempt(t *testing.T) {
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		records := &expiryRecorder{}
		keeper := keyed.New(keyed.Config{Records: records, Retention: 10 * time.Minute})
		for _, longest := range []time.Duration{time.Minute, 24 * time.Hour} {
			_, action := keeper.Claim(t.Context(), keyed.Request{Team: "team", Key: "key", Attempt: "1", MaxDuration: longest})
			is.True(action != nil)
		}
		is.True(time.Until(records.expires[0]) < 11*time.Minute)
		is.True(time.Until(records.expires[1]) >= 24*time.Hour)
	})
}
