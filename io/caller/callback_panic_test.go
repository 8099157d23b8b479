package caller_test

import (
	"bufio"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/io/caller"
)

// Checks that a panic in a callback of the server ends only the request at hand, with an answer.
func TestPanicOfACallbackIsAnswered(t *testing.T) {
	for name, config := range map[string]caller.Config{
		"shed": {Shed: func(*caller.Request) (caller.Refusal, bool) { panic("a broken callback") }},
		"decode": {Protocol: &caller.Protocol{
			Decode: func(*fasthttp.RequestHeader, *caller.Request) { panic("a broken callback") },
			Refuse: func(to *fasthttp.Response, _ *caller.Request, _ caller.Refusal) {
				to.SetStatusCode(http.StatusInternalServerError)
			},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config, r := record(config, echo)
			panics := make(chan caller.Panic, 1)
			config.Panicked = func(p caller.Panic) { panics <- p }
			conn := send(t, serveOn(listen(t), config), request)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusInternalServerError)
			is.Equal((<-panics).Cause, "a broken callback")
			is.Equal(r.handler.calls.Load(), int64(0))
		})
	}
}
