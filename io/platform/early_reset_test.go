package platform_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/io/platform"
	"ryelug/standin/raw"
)

// A platform that answers a long write at once, without a length, and resets the connection while the write is on its way, has
// acknowledged nothing.
func TestResetDuringALongWrite(t *testing.T) {
	for _, wait := range []time.Duration{0, 5 * time.Millisecond, 200 * time.Millisecond} {
		t.Run(wait.String(), func(t *testing.T) {
			is := is.New(t)
			client := newRawClient(t, raw.AnswerEarly("HTTP/1.1 200 OK\r\n\r\n{}", wait))
			long := platform.Object{Name: "a", Version: "1", Data: append(append([]byte(`"`), bytes.Repeat([]byte("x"), 16<<20)...), '"')}
			_, err := client.Update(t.Context(), platform.Calls, long)
			var unavailable *platform.ErrUnavailable
			is.True(errors.As(err, &unavailable))
			is.True(unavailable.Unknown)
		})
	}
}
