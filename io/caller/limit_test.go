package caller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/core/result"
	"ryelug/io/caller"
)

// blocking returns a handler that waits for release before it answers, and the channel that gets each start.
func blocking(release chan struct{}) (serve func(context.Context, *caller.Request, caller.Writer), started chan struct{}) {
	started = make(chan struct{}, 100)
	return func(ctx context.Context, req *caller.Request, w caller.Writer) {
		started <- struct{}{}
		<-release
		echo(ctx, req, w)
	}, started
}

// Checks that a connection above the limit gets a whole refusal in the encoding of the others, whenever its request arrives.
func TestConnectionAboveTheLimitGetsItsRefusal(t *testing.T) {
	const conns = 2
	full := func(t *testing.T, protocol *caller.Protocol) (*gatedListener, *recorder) {
		release := make(chan struct{})
		t.Cleanup(func() { close(release) })
		serve, started := blocking(release)
		config, r := record(caller.Config{MaxConns: conns, Protocol: protocol}, serve)
		ln := &gatedListener{Listener: listen(t), next: make(chan struct{}, 1000)}
		ln.admit(conns)
		address := serveOn(ln, config)
		for range conns {
			send(t, address, request)
			<-started
		}
		return ln, r
	}
	for name, one := range map[string]struct{ before, after string }{
		"a whole request has arrived":         {before: request},
		"a request with a body of many reads": {before: head + "Content-Length: 60000\r\n\r\n" + strings.Repeat("x", 60000)},
		"the request arrives after the close": {after: request},
		"the request arrives in two parts":    {before: request[:20], after: request[20:]},
		"two requests have arrived":           {before: request + request},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, r := full(t, nil)
			conn := send(t, ln.Addr().String(), one.before)
			time.Sleep(10 * time.Millisecond) // The bytes arrive before the connection is accepted.
			ln.admit(1)
			time.Sleep(10 * time.Millisecond)
			if one.after != "" {
				_, err := io.WriteString(conn, one.after)
				is.NoErr(err)
			}
			resp := assertEnd(is, conn, http.StatusServiceUnavailable)
			is.True(resp.Header.Get("Retry-After") != "")
			is.Equal(<-r.refused, result.Overloaded)
			is.Equal(r.handler.calls.Load(), int64(conns))
			is.Equal(len(r.ends), 0)
		})
	}
	t.Run("it is encoded by the protocol", func(t *testing.T) {
		is := is.New(t)
		ln, _ := full(t, &caller.Protocol{
			Decode: func(*fasthttp.RequestHeader, *caller.Request) {},
			Refuse: func(to *fasthttp.Response, req *caller.Request, refusal caller.Refusal) {
				is.True(req == nil && refusal.NotRun && refusal.Code == result.Overloaded)
				to.SetStatusCode(http.StatusTooManyRequests)
				to.Header.Set("X-Protocol", "yes")
			},
		})
		ln.admit(1)
		resp := assertEnd(is, send(t, ln.Addr().String(), request), http.StatusTooManyRequests)
		is.Equal(resp.Header.Get("X-Protocol"), "yes")
	})
	t.Run("many at once", func(t *testing.T) {
		const many = 300
		is := is.New(t)
		ln, r := full(t, nil)
		goroutines := runtime.NumGoroutine()
		var waiting [many]net.Conn
		for n := range waiting {
			waiting[n] = send(t, ln.Addr().String(), request)
		}
		ln.admit(many)
		for _, conn := range waiting {
			assertEnd(is, conn, http.StatusServiceUnavailable)
		}
		is.Equal(r.handler.calls.Load(), int64(conns))
		is.True(runtime.NumGoroutine() < goroutines+many/2) // The cost of a refusal is bounded.
	})
}

// gatedListener accepts as many connections as admit allows.
type gatedListener struct {
	net.Listener
	next chan struct{}
}

func (l *gatedListener) admit(conns int) {
	for range conns {
		l.next <- struct{}{}
	}
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.next
	return l.Listener.Accept()
}

// Checks that a connection that ends frees its place in the limit.
func TestClosedConnectionsFreeTheirPlaces(t *testing.T) {
	is := is.New(t)
	config, _ := record(caller.Config{MaxConns: 8}, echo)
	address := serveOn(listen(t), config)
	for range 200 {
		conn := send(t, address, strings.Replace(request, "Host: a", "Host: a\r\nConnection: close", 1))
		assertEnd(is, conn, http.StatusOK)
	}
}
