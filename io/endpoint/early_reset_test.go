package endpoint_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/standin/raw"
)

// An endpoint that answers a long upload at once, without a length, and resets the connection while the upload is being
// written, has sent no complete answer.
func TestResetDuringALongUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + ownFields
	answers := map[string]string{
		"plain":  head + "\r\npart of an answer",
		"stream": head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
	}
	for name, text := range answers {
		for _, size := range []int{4 << 10, 100 << 10, 1 << 20, 15 << 20} {
			for _, wait := range []time.Duration{0, 5 * time.Millisecond, 200 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d KiB, %s", name, size>>10, wait), func(t *testing.T) {
					t.Parallel()
					is.New(t).Equal(sendTo(t, startRaw(t, raw.AnswerEarly(text, wait)), make([]byte, size)), "unknown")
				})
			}
		}
	}
}
