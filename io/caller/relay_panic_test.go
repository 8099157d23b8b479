package caller_test

import (
	"bufio"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"

	"ryelug/io/caller"
)

// Guards against the end of the process by a panic while the request of a relayed connection is decoded to refuse it.
func TestPanicAfterARelayIsAnswered(t *testing.T) {
	panics := make(chan caller.Panic, 1)
	r := newRelaying(t, closingStream(len("POST /v1 HTTP/1.1\r\nHost: a\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\n{}")), func(config *caller.Config) {
		config.Panicked = func(p caller.Panic) { panics <- p }
		config.Protocol = &caller.Protocol{
			Decode: func(*fasthttp.RequestHeader, *caller.Request) { panic("a broken callback") },
			Refuse: func(to *fasthttp.Response, _ *caller.Request, refusal caller.Refusal) {
				to.SetStatusCode(statusOf(refusal.Code))
			},
		}
	})
	conn := dial(t, r.address)
	post(conn, "{}")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	r.NoErr(err)
	r.Equal(resp.StatusCode, http.StatusBadGateway)
	r.Equal((<-panics).Cause, "a broken callback")
}
