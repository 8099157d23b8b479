package caller_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/result"
	"ryelug/io/caller"
)

// Checks that the refusal of a request that is too large is not destroyed by a reset while the rest of it arrives.
func TestTooLargeRequestGetsItsRefusal(t *testing.T) {
	const size = 300 << 10
	for name, one := range map[string]string{
		"a body with a length": head + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("x", size),
		"a body in chunks":     head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("10\r\n0123456789abcdef\r\n", size/16) + "0\r\n\r\n",
		"a header":             head + "X: " + strings.Repeat("x", size) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config, r := record(caller.Config{MaxBody: 4 << 10, MaxHeader: 2 << 10}, echo)
			conn := dial(t, serveOn(listen(t), config))
			for rest := one; rest != ""; {
				part := rest[:min(len(rest), size/10)]
				rest = rest[len(part):]
				_, err := io.WriteString(conn, part)
				is.NoErr(err) // The rest is accepted, although it isn't used.
				time.Sleep(time.Millisecond)
			}
			resp := assertEnd(is, conn, statusOf(result.TooLarge))
			is.True(resp.Close)
			is.Equal(<-r.refused, result.TooLarge)
			is.Equal(r.handler.calls.Load(), int64(0))
		})
	}
}

// Checks that a request sent behind one whose answer closes the connection is not run, and that this answer arrives whole.
func TestPipelinedRequestAfterTheLastAnswerIsNotRun(t *testing.T) {
	const size = 1 << 20
	serve := func(_ context.Context, req *caller.Request, w caller.Writer) {
		if req.Path == "/refused" {
			_ = w.Refuse(caller.Refusal{Code: result.Overloaded, NotRun: true})
			return
		}
		_ = w.Whole(caller.Answer{Status: http.StatusOK, Body: make([]byte, size)})
	}
	first := func(path, field string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: a\r\n" + field + "Content-Length: 2\r\n\r\n{}"
	}
	for name, one := range map[string]struct {
		text   string
		drain  bool
		status int
	}{
		"an overloaded refusal":     {text: first("/refused", ""), status: http.StatusServiceUnavailable},
		"the server drains":         {text: first("/", ""), drain: true, status: http.StatusOK},
		"the caller asked for it":   {text: first("/", "Connection: close\r\n"), status: http.StatusOK},
		"more than one buffer read": {text: first("/refused", "") + strings.Repeat(request, 1000), status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config, r := record(caller.Config{}, serve)
			server, ln := caller.New(config), listen(t)
			go func() { _ = server.Serve(ln) }()
			if one.drain {
				server.Drain()
			}
			assertEnd(is, send(t, ln.Addr().String(), one.text+request), one.status)
			is.Equal(r.handler.calls.Load(), int64(1))
		})
	}
}
