package caller_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"ryelug/io/caller"
)

// Checks that a busy router does not run the request of a caller that disconnected before its connection was accepted.
func TestCallerThatGaveUpIsNotServed(t *testing.T) {
	is := is.New(t)
	handler := &handlerFunc{serve: echo}
	server := caller.New(caller.Config{Handler: handler, Busy: func() bool { return true }})
	ln := listen(t)
	gone := dial(t, ln.Addr().String())
	_, err := fmt.Fprint(gone, request)
	is.NoErr(err)
	is.NoErr(gone.Close())
	stays := dial(t, ln.Addr().String())
	_, err = fmt.Fprint(stays, request)
	is.NoErr(err)
	go func() { _ = server.Serve(ln) }()
	resp, err := http.ReadResponse(bufio.NewReader(stays), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(handler.calls.Load(), int64(1))
}
