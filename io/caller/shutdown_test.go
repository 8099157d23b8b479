package caller_test

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"ryelug/io/caller"
)

// Checks that Serve returns immediately if Shutdown was called before it.
func TestShutdownBeforeServe(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := caller.New(caller.Config{})
	is.NoErr(server.Shutdown(context.Background()))
	is.NoErr(server.Serve(ln))
}
