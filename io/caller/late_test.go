package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/io/caller"
)

const request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"

// Checks that the age of a request counts from its arrival, not from when a delayed router reads it, and that the next
// request on the connection does not inherit that age.
func TestLateRequestKeepsItsAge(t *testing.T) {
	const late = 300 * time.Millisecond
	is := is.New(t)
	ages := make(chan time.Duration, 2)
	server := caller.New(caller.Config{Handler: &handlerFunc{serve: func(ctx context.Context, req *caller.Request, w caller.Writer) {
		ages <- time.Since(req.Received)
		echo(ctx, req, w)
	}}})
	ln := listen(t)
	conn := dial(t, ln.Addr().String())
	reader := bufio.NewReader(conn)
	_, err := fmt.Fprint(conn, request)
	is.NoErr(err)
	time.Sleep(late)
	go func() { _ = server.Serve(ln) }()
	for _, isOld := range []bool{true, false} {
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(<-ages >= late/2, isOld)
		_, err = fmt.Fprint(conn, request)
		is.NoErr(err)
	}
}
