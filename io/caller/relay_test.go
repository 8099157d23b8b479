package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"ryelug/core/neighbour"
	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/io/handover"
)

// pair is a server (near) that relays all its connections to another server (far).
type pair struct {
	near, far               *caller.Server
	address                 string
	nearHandler, farHandler *handlerFunc
	ended                   chan bool
	release, received       chan struct{} // release is closed to end the stream; received signals that the stream has started.
}

func newPair(t *testing.T) *pair {
	is := is.New(t)
	p := &pair{ended: make(chan bool, 1), release: make(chan struct{}), received: make(chan struct{}, 1)}
	p.nearHandler = &handlerFunc{serve: echo}
	p.farHandler = &handlerFunc{serve: func(_ context.Context, req *caller.Request, w caller.Writer) {
		switch req.Path {
		case "/refused":
			_ = w.Refuse(caller.Refusal{Code: result.Overloaded, NotRun: true})
		case "/stream":
			_ = w.Event(caller.Event{Data: []byte("one")})
			p.received <- struct{}{}
			<-p.release
			_ = w.Event(caller.Event{Data: []byte("two")})
			_ = w.Close()
		default:
			_ = w.Whole(caller.Answer{Status: http.StatusOK, ContentType: "text/plain", Body: req.Body})
		}
	}}
	p.far = caller.New(caller.Config{Handler: p.farHandler})
	p.near = handsOver(t, takesOver(t, p.far), p.nearHandler, func(served bool) { p.ended <- served })
	ln := listen(t)
	go func() { _ = p.near.Serve(ln) }()
	p.address = ln.Addr().String()
	is.True(p.address != "")
	return p
}

// key is the authentication key that both routers share.
var key = []byte("a key of the routers")

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// takesOver makes far serve connections that other routers hand over, and returns the address for them.
func takesOver(t *testing.T, far *caller.Server) netip.AddrPort {
	ln := listen(t)
	acceptor := handover.NewAcceptor(handover.AcceptorConfig{
		Listener: ln, Identity: handover.Identity{Router: "far/1", Key: key}, Load: func() int { return 100 }, Log: quiet(),
	})
	go func() { _ = acceptor.Run(t.Context()) }()
	go func() { _ = far.ServeOthers(acceptor) }()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// handsOver waits for a link to the router at address to, and returns a server that hands all its connections over to it.
func handsOver(t *testing.T, to netip.AddrPort, own *handlerFunc, ended func(served bool), change ...func(*caller.Config)) *caller.Server {
	dialer := handover.NewDialer(handover.DialerConfig{
		Identity: handover.Identity{Router: "near/1", Key: key}, Log: quiet(),
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address.String())
		},
	})
	t.Cleanup(dialer.Close)
	one := neighbour.Router{Host: "far", Address: to}
	for linked := false; !linked; time.Sleep(time.Millisecond) {
		dialer.SetTargets(time.Now(), []neighbour.Router{one})
		_, linked = dialer.Load(&one)
	}
	config := caller.Config{
		Handler: own, MaxConns: 100,
		Elsewhere: func(age time.Duration) (caller.Relay, bool) {
			stream, ok := dialer.Open(to, age)
			return caller.Relay{Conn: stream, Ended: ended}, ok
		},
	}
	for _, one := range change {
		one(&config)
	}
	return caller.New(config)
}

func listen(t testing.TB) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	return ln
}

func (p *pair) ask(is *is.I, conn net.Conn, path string) *http.Response {
	is.Helper()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", path)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	return resp
}

// Checks that a router without capacity relays new connections to another router and sends nothing of its own on them.
func TestConnectionsAreHandedOver(t *testing.T) {
	t.Run("an answer", func(t *testing.T) {
		is, p := is.New(t), newPair(t)
		resp := p.ask(is, dial(t, p.address), "/")
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), "{}")
		is.True(resp.Close) // The relayed connection is closed, so that the first router may serve the next request itself.
		is.True(<-p.ended)
		is.Equal([]int64{p.nearHandler.calls.Load(), p.farHandler.calls.Load()}, []int64{0, 1})
	})
	t.Run("a refusal", func(t *testing.T) {
		is, p := is.New(t), newPair(t)
		is.Equal(p.ask(is, dial(t, p.address), "/refused").StatusCode, http.StatusServiceUnavailable)
		is.True(!<-p.ended)
	})
	t.Run("a stream, and a shutdown that waits for it", func(t *testing.T) {
		is, p := is.New(t), newPair(t)
		resp := p.ask(is, dial(t, p.address), "/stream")
		<-p.received
		down := make(chan error)
		go func() { down <- p.near.Shutdown(t.Context()) }()
		select {
		case <-down:
			t.Fatal("the shutdown did not wait for the relayed stream")
		case <-time.After(100 * time.Millisecond):
		}
		close(p.release)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), "data: one\n\ndata: two\n\n")
		is.NoErr(<-down)
	})
	t.Run("a caller that leaves", func(t *testing.T) {
		is, p := is.New(t), newPair(t)
		conn := dial(t, p.address)
		p.ask(is, conn, "/stream")
		<-p.received
		conn.Close()
		is.True(<-p.ended) // The disconnect ended the connection to the other router.
		close(p.release)
	})
	t.Run("the other router is down", func(t *testing.T) {
		is, p := is.New(t), newPair(t)
		is.NoErr(p.far.Shutdown(t.Context()))
		is.Equal(p.ask(is, dial(t, p.address), "/").StatusCode, http.StatusOK)
		is.True(!<-p.ended)
		is.Equal([]int64{p.nearHandler.calls.Load(), p.farHandler.calls.Load()}, []int64{1, 0})
	})
}

// Checks that the time which a request waited before it was handed over counts at the next router, whose deadline starts
// from its arrival at the first router.
func TestHandedOverRequestKeepsItsAge(t *testing.T) {
	const late = 300 * time.Millisecond // late is how long the connection waits before the first router accepts it.
	is := is.New(t)
	received := make(chan time.Time, 1)
	far := caller.New(caller.Config{Handler: &handlerFunc{serve: func(_ context.Context, req *caller.Request, w caller.Writer) {
		received <- req.Received
		_ = w.Refuse(caller.Refusal{Code: result.Overloaded, NotRun: true})
	}}})
	near := handsOver(t, takesOver(t, far), &handlerFunc{serve: echo}, func(bool) {})
	ln := listen(t)
	conn := dial(t, ln.Addr().String())
	sent := time.Now()
	_, err := fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
	is.NoErr(err)
	time.Sleep(late)
	go func() { _ = near.Serve(ln) }()
	is.True((<-received).Sub(sent) < late/2)
}
