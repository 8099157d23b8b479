package caller_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/io/caller"
)

// Checks that a caller that closes only its sending side after its request gets an answer from a busy router too.
func TestHalfClosedCallerIsRefusedByABusyRouter(t *testing.T) {
	is := is.New(t)
	config, r := record(caller.Config{Busy: func() bool { return true }}, echo)
	ln := listen(t)
	conn := send(t, ln.Addr().String(), request)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	time.Sleep(10 * time.Millisecond)
	serveOn(ln, config)
	assertEnd(is, conn, http.StatusServiceUnavailable)
	is.Equal(r.handler.calls.Load(), int64(0))
	is.Equal((<-r.ends).Cause, caller.CallerClosed) // Most such callers have closed the whole connection.
}

// Checks that the context of a request ends when its caller closes its sending side, which can't be told from a full close,
// and that an answer given then is still delivered.
func TestHalfClosedCallerStillGetsWhatTheHandlerAnswers(t *testing.T) {
	is := is.New(t)
	config, r := record(caller.Config{}, func(ctx context.Context, req *caller.Request, w caller.Writer) {
		<-ctx.Done()
		echo(ctx, req, w)
	})
	conn := send(t, serveOn(listen(t), config), request)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(r.handler.calls.Load(), int64(1))
	is.Equal(len(r.ends), 0)
}
