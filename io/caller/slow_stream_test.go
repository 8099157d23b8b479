package caller_test

import (
	"bufio"
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/io/caller"
)

// Guards against a shutdown that outlasts its context, and leaves other requests unanswered, because the caller of a stream
// reads too slowly.
func TestShutdownIsNotHeldUpByASlowStream(t *testing.T) {
	for name, protocol := range map[string]*caller.Protocol{
		"own protocol": nil,
		"callers' protocol": {
			Decode: func(*fasthttp.RequestHeader, *caller.Request) {},
			Refuse: func(to *fasthttp.Response, _ *caller.Request, _ caller.Refusal) {
				to.SetStatusCode(http.StatusBadGateway)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var events atomic.Int64
			working := make(chan struct{}, 1)
			event := caller.Event{Data: make([]byte, 64<<10)}
			config, _ := record(caller.Config{Buffer: 1, Protocol: protocol, WriteTimeout: time.Minute}, func(ctx context.Context, req *caller.Request, w caller.Writer) {
				if req.Path != "/stream" {
					working <- struct{}{}
					<-ctx.Done()
					return
				}
				for w.Event(event) == nil {
					events.Add(1)
				}
			})
			server, ln := caller.New(config), listen(t)
			go func() { _ = server.Serve(ln) }()
			send(t, ln.Addr().String(), "POST /stream HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
			for before := int64(-1); before != events.Load(); time.Sleep(2 * shutdownDelay) {
				before = events.Load()
			}
			other := send(t, ln.Addr().String(), request)
			<-working
			ctx, cancel := context.WithTimeout(t.Context(), 4*shutdownDelay)
			defer cancel()
			wait := shutdown(ctx, t, server)
			_ = other.SetReadDeadline(time.Now().Add(answerLimit))
			resp, err := http.ReadResponse(bufio.NewReader(other), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			wait()
		})
	}
}
