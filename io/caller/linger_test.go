package caller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/result"
	"ryelug/io/caller"
)

// Guards against the end of the process while a caller still sends the rest of a refused request, which resets the
// connection and may destroy the refusal.
func TestShutdownWaitsForCallersOfLastAnswers(t *testing.T) {
	is := is.New(t)
	config, r := record(caller.Config{MaxBody: 4 << 10}, echo)
	server, ln := caller.New(config), listen(t)
	go func() { _ = server.Serve(ln) }()
	conn := send(t, ln.Addr().String(), head+fmt.Sprintf("Content-Length: %d\r\n\r\n", 64<<10)+strings.Repeat("x", 32<<10))
	is.Equal(<-r.refused, result.TooLarge)
	time.Sleep(settle)
	ended := make(chan struct{})
	go func() {
		_ = server.Shutdown(t.Context())
		close(ended)
	}()
	select {
	case <-ended:
		t.Error("Shutdown has returned while the caller still sends")
	case <-time.After(2 * settle):
	}
	assertEnd(is, conn, statusOf(result.TooLarge))
	conn.Close()
	<-ended
}
