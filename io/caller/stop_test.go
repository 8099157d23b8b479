package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"ryelug/io/caller"
	"ryelug/io/listener"
)

const (
	waiting       = 20                    // waiting is the number of requests that wait at a Shutdown.
	shutdownDelay = 50 * time.Millisecond // shutdownDelay is longer than a Shutdown needs to begin.
	answerLimit   = 2 * time.Second       // answerLimit is how long an answer may take to arrive.
)

// listeners are the kinds of listeners that a server is used with.
var listeners = map[string]func(net.Listener) net.Listener{
	"TCP listener": func(ln net.Listener) net.Listener { return ln },
	"listener that retries": func(ln net.Listener) net.Listener {
		log := logrus.New()
		log.SetOutput(io.Discard)
		return listener.New(listener.Config{Listener: ln, Log: log})
	},
}

// assertAllAnswered checks that a whole HTTP answer arrives on each connection.
func assertAllAnswered(t *testing.T, conns []net.Conn) {
	t.Helper()
	answered := 0
	var last error
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(answerLimit))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			last = err
			continue
		}
		answered++
	}
	if answered != len(conns) {
		t.Errorf("%d of %d requests were answered; last error: %v", answered, len(conns), last)
	}
}

// shutdown runs Shutdown in the background; the returned function waits for its end.
func shutdown(ctx context.Context, t *testing.T, server *caller.Server) (wait func()) {
	ended := make(chan struct{})
	go func() {
		_ = server.Shutdown(ctx) // An ended context is its error.
		close(ended)
	}()
	return func() {
		t.Helper()
		select {
		case <-ended:
		case <-time.After(answerLimit):
			t.Errorf("Shutdown has not returned within %v", answerLimit)
		}
	}
}

// stopWithQueue shuts a server down while connections with whole requests wait in the queue of its listener.
func stopWithQueue(ctx context.Context, t *testing.T, wrap func(net.Listener) net.Listener) {
	is := is.New(t)
	accepting, release := make(chan struct{}, 1+waiting), make(chan struct{})
	server := caller.New(caller.Config{Handler: &handlerFunc{serve: echo}, Busy: func() bool {
		accepting <- struct{}{}
		<-release // Holds the goroutine that accepts.
		return false
	}})
	ln := listen(t)
	go func() { _ = server.Serve(wrap(ln)) }()
	conns := []net.Conn{dial(t, ln.Addr().String())}
	<-accepting
	for range waiting {
		conns = append(conns, dial(t, ln.Addr().String()))
	}
	for _, conn := range conns {
		_, err := fmt.Fprint(conn, request)
		is.NoErr(err)
	}
	wait := shutdown(ctx, t, server)
	time.Sleep(shutdownDelay)
	close(release)
	assertAllAnswered(t, conns)
	wait()
}

// stopWithUnread shuts a server down while next requests have arrived on kept connections and have not been read.
func stopWithUnread(ctx context.Context, t *testing.T) {
	is := is.New(t)
	server := caller.New(caller.Config{Handler: &handlerFunc{serve: echo}})
	ln := listen(t)
	go func() { _ = server.Serve(ln) }()
	var conns []net.Conn
	for range waiting {
		conn := dial(t, ln.Addr().String())
		(&pair{}).ask(is, conn, "/")
		conns = append(conns, conn)
	}
	time.Sleep(shutdownDelay) // The server's goroutines wait for the next requests.
	processors := runtime.GOMAXPROCS(1)
	several := sync.OnceFunc(func() { runtime.GOMAXPROCS(processors) })
	defer several()
	for _, conn := range conns { // These writes don't block, so the server's goroutines don't run before Shutdown does.
		_, err := io.WriteString(conn, request)
		is.NoErr(err)
	}
	wait := shutdown(ctx, t, server)
	time.Sleep(shutdownDelay)
	several()
	assertAllAnswered(t, conns)
	wait()
}

// Guards against a shutdown that drops connections from the listener's queue.
func TestShutdownAnswersQueuedConnections(t *testing.T) {
	for name, wrap := range listeners {
		t.Run(name, func(t *testing.T) { stopWithQueue(t.Context(), t, wrap) })
	}
}

// Guards against a shutdown that closes kept connections with a request that has arrived.
func TestShutdownAnswersUnreadRequests(t *testing.T) {
	stopWithUnread(t.Context(), t)
}

// Guards against a shutdown that drops requests because its grace period has run out.
func TestShutdownWithoutTimeStillAnswers(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for name, wrap := range listeners {
		t.Run("the queue of a "+name, func(t *testing.T) { stopWithQueue(ended, t, wrap) })
	}
	t.Run("unread requests", func(t *testing.T) { stopWithUnread(ended, t) })
}

// Checks that a shutdown closes idle connections at once, and that a request in progress is answered whole.
func TestShutdownClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	handler := &handlerFunc{serve: func(ctx context.Context, req *caller.Request, w caller.Writer) {
		if req.Path == "/slow" {
			close(started)
			<-release
		}
		echo(ctx, req, w)
	}}
	server := caller.New(caller.Config{Handler: handler})
	ln := listen(t)
	go func() { _ = server.Serve(ln) }()
	idle, working := dial(t, ln.Addr().String()), dial(t, ln.Addr().String())
	(&pair{}).ask(is, idle, "/")
	_, err := fmt.Fprint(working, "POST /slow HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nwhole")
	is.NoErr(err)
	<-started
	time.Sleep(shutdownDelay)
	wait := shutdown(t.Context(), t, server)
	_ = idle.SetReadDeadline(time.Now().Add(answerLimit / 4))
	_, err = idle.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(working), nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "whole")
	wait()
}

// Guards against a shutdown that drops requests which are in progress, or of which a part has arrived, at its end.
func TestShutdownAnswersRequestsInProgress(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	server := caller.New(caller.Config{Handler: &handlerFunc{serve: func(ctx context.Context, _ *caller.Request, _ caller.Writer) {
		close(started)
		<-ctx.Done()
	}}})
	ln := listen(t)
	go func() { _ = server.Serve(ln) }()
	working, partial := dial(t, ln.Addr().String()), dial(t, ln.Addr().String())
	_, err := fmt.Fprint(working, request)
	is.NoErr(err)
	<-started
	_, err = fmt.Fprint(partial, head)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), 4*shutdownDelay)
	defer cancel()
	is.NoErr(server.Shutdown(ctx))
	status := func(conn net.Conn) int {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		return resp.StatusCode
	}
	is.Equal([]int{status(working), status(partial)}, []int{http.StatusBadGateway, http.StatusServiceUnavailable})
}

// Guards against an answer that leaves its connection open although the server has begun to drain.
func TestAnswerOfARequestReadBeforeDrainClosesItsConnection(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	server := caller.New(caller.Config{Handler: &handlerFunc{serve: func(ctx context.Context, req *caller.Request, w caller.Writer) {
		close(started)
		<-release
		echo(ctx, req, w)
	}}})
	ln := listen(t)
	go func() { _ = server.Serve(ln) }()
	conn := dial(t, ln.Addr().String())
	_, err := fmt.Fprint(conn, request)
	is.NoErr(err)
	<-started
	server.Drain()
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.True(resp.Close)
}
