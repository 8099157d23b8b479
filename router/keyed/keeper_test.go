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

// takenRecords takes each record and keeps when it expires.
type takenRecords struct {
	keyed.Records
	expires []time.Time
}

func (r *takenRecords) Create(_ context.Context, _ platform.Kind, object platform.Object) (platform.Object, error) {
	seconds, err := strconv.ParseInt(object.Annotations["expires"], 10, 64)
	r.expires = append(r.expires, time.Unix(seconds, 0))
	return object, err
}

// TestRecordOutlivesAttempt keeps the record of a request that may still run, however short the retention.
func TestRecordOutlivesAttempt(t *testing.T) {
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		records := &takenRecords{}
		keeper := keyed.New(keyed.Config{Records: records, Retention: 10 * time.Minute})
		for _, longest := range []time.Duration{time.Minute, 24 * time.Hour} {
			_, action := keeper.Claim(t.Context(), keyed.Request{Team: "team", Key: "key", Attempt: "1", Longest: longest})
			is.True(action != nil)
		}
		is.True(time.Until(records.expires[0]) < 11*time.Minute)
		is.True(time.Until(records.expires[1]) >= 24*time.Hour)
	})
}
