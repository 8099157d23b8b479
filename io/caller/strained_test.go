package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"ryelug/core/result"
	"ryelug/io/caller"
)

// Checks that an overloaded router closes the connections of requests that it refuses and keeps those that it serves. If it
// closed all of them, the whole load would move to the next router and overload that one.
func TestStrainedRouterShedsWhatItRefuses(t *testing.T) {
	is := is.New(t)
	server := caller.New(caller.Config{
		Shed: func(req *caller.Request) (caller.Refusal, bool) {
			return caller.Refusal{Code: result.Overloaded, NotRun: true}, req.Path == "/shed"
		},
		Handler: &handlerFunc{serve: func(_ context.Context, req *caller.Request, w caller.Writer) {
			if req.Path == "/refused" {
				_ = w.Refuse(caller.Refusal{Code: result.Overloaded, NotRun: true})
				return
			}
			_ = w.Whole(caller.Answer{Status: http.StatusOK, ContentType: "text/plain", Body: req.Body})
		}},
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { ln.Close() })
	conn := dial(t, ln.Addr().String())
	reader := bufio.NewReader(conn)
	isClosed := func(path string) bool {
		_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", path)
		is.NoErr(err)
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		defer resp.Body.Close()
		return resp.Close
	}
	is.True(!isClosed("/served"))
	is.True(isClosed("/refused"))
	conn = dial(t, ln.Addr().String())
	reader = bufio.NewReader(conn)
	is.True(isClosed("/shed"))
}

// Checks that a server reports being crowded at three quarters of MaxConns, before it has to refuse a connection.
func TestServerIsCrowded(t *testing.T) {
	is := is.New(t)
	server := caller.New(caller.Config{MaxConns: 8, Handler: &handlerFunc{serve: echo}})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { ln.Close() })
	for n := range 6 {
		is.True(!server.IsCrowded())
		conn := dial(t, ln.Addr().String())
		_, err := fmt.Fprintf(conn, "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", n)
		is.NoErr(err)
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
	}
	is.True(server.IsCrowded())
}
