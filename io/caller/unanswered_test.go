package caller_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/io/caller"
)

// closingStream is a relayed connection whose other router reads a number of bytes and closes it.
func closingStream(bytes int) net.Conn {
	near, far := net.Pipe()
	go func() {
		_, _ = io.ReadFull(far, make([]byte, bytes))
		far.Close()
	}()
	return near
}

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conn   net.Conn
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *oneConn) Accept() (net.Conn, error) {
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *oneConn) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// Checks that each way in which a connection can end without an answer is reported once, with its cause.
func TestUnansweredConnectionsAreReported(t *testing.T) {
	blocked := func(ctx context.Context, _ *caller.Request, _ caller.Writer) { <-ctx.Done() }
	report := func(config caller.Config) (*caller.Server, net.Listener, chan caller.Unanswered) {
		ends := make(chan caller.Unanswered, 10)
		config.Unanswered = func(end caller.Unanswered) { ends <- end }
		server, ln := caller.New(config), listen(t)
		go func() { _ = server.Serve(ln) }()
		return server, ln, ends
	}
	t.Run("the caller resets the connection", func(t *testing.T) {
		is := is.New(t)
		_, ln, ends := report(caller.Config{Handler: &handlerFunc{serve: blocked}})
		conn := dial(t, ln.Addr().String())
		_, err := fmt.Fprint(conn, request)
		is.NoErr(err)
		is.NoErr(conn.(*net.TCPConn).SetLinger(0)) // The server only notices that a write fails if the connection is reset.
		is.NoErr(conn.Close())
		is.Equal((<-ends).Cause, caller.CallerClosed)
	})
	t.Run("the other router closes a relayed connection and the answer in its place can't be written", func(t *testing.T) {
		is := is.New(t)
		relay := caller.Relay{Conn: closingStream(len(request)), Ended: func(bool) {}}
		ends := make(chan caller.Unanswered, 10)
		server, ln := caller.New(caller.Config{
			Handler: &handlerFunc{serve: blocked}, MaxConns: 10, Unanswered: func(end caller.Unanswered) { ends <- end },
			Elsewhere: func(time.Duration) (caller.Relay, bool) { return relay, true },
		}), listen(t)
		go func() { _ = server.Serve(unwritableListener{ln}) }()
		_, err := fmt.Fprint(dial(t, ln.Addr().String()), request)
		is.NoErr(err)
		end := <-ends
		is.Equal(end.Cause, caller.RelayEnded)
		is.Equal(end.Received, len(request))
		is.True(errors.Is(end.Err, os.ErrDeadlineExceeded))
	})
	t.Run("the server stops while a caller does not read its answer", func(t *testing.T) {
		is := is.New(t)
		ends := make(chan caller.Unanswered, 10)
		server := caller.New(caller.Config{Handler: &handlerFunc{serve: echo}, Unanswered: func(end caller.Unanswered) { ends <- end }})
		near, far := net.Pipe()
		go func() { _ = server.Serve(&oneConn{conn: far, closed: make(chan struct{})}) }()
		_, err := fmt.Fprint(near, request)
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		is.True(server.Shutdown(ctx) != nil)
		end := <-ends
		is.Equal(end.Cause, caller.Stopped)
		is.Equal(end.Received, len(request))
		is.True(end.Request != "")
	})
	t.Run("an answered request is not reported", func(t *testing.T) {
		is := is.New(t)
		server, ln, ends := report(caller.Config{Handler: &handlerFunc{serve: echo}})
		conn := dial(t, ln.Addr().String())
		(&pair{}).ask(is, conn, "/")
		is.NoErr(server.Shutdown(t.Context()))
		is.Equal(len(ends), 0)
	})
}
