package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"ryelug/io/caller"
)

// TestPanic checks that a panic of the handler ends only its own request, with an answer to the caller, and is reported.
func TestPanic(t *testing.T) {
	cases := []struct {
		name   string
		before func(caller.Writer)
		want   string
		status int
	}{
		{"before an answer", func(caller.Writer) {}, `{"error":{"code":3999,`, 500},
		{"in a stream", func(w caller.Writer) { _ = w.Event(caller.Event{Data: []byte("a")}) }, "data: a\n\nevent: error\ndata: {\"error\":{\"code\":3999,", 200},
		{"after an answer", func(w caller.Writer) { _ = w.Whole(caller.Answer{Status: 200, Body: []byte("whole")}) }, "whole", 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, handler := startServer(t, func(ctx context.Context, req *caller.Request, w caller.Writer) {
				if req.Path != "/panic" {
					echo(ctx, req, w)
					return
				}
				c.before(w)
				panic("a broken handler")
			})
			conn := dial(t, address)
			answers := bufio.NewReader(conn)
			ask := func(path string) (int, string) {
				fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", path)
				resp, err := http.ReadResponse(answers, nil)
				is.NoErr(err)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				return resp.StatusCode, string(body)
			}
			status, body := ask("/panic")
			is.Equal(status, c.status)
			is.True(strings.HasPrefix(body, c.want))
			is.True(!strings.Contains(body, `"not_run":true`) && !strings.Contains(body, "broken handler"))
			told := <-handler.panics
			is.Equal(told.Cause, "a broken handler")
			is.True(told.Request != "" && strings.Contains(string(told.Stack), "panic_test.go"))
			status, body = ask("/next")
			is.Equal([]any{status, body}, []any{200, "{}"})
		})
	}
}
