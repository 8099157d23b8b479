package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/result"
	"ryelug/io/caller"
)

// recorder collects what a server reports about its requests.
type recorder struct {
	handler *handlerFunc
	refused chan result.Code
	ends    chan caller.Unanswered
}

// record adds the callbacks of a recorder to a configuration; serve is its handler.
func record(config caller.Config, serve func(context.Context, *caller.Request, caller.Writer)) (caller.Config, *recorder) {
	r := &recorder{handler: &handlerFunc{serve: serve}, refused: make(chan result.Code, 1000), ends: make(chan caller.Unanswered, 1000)}
	config.Handler = r.handler
	config.Refused = func(code result.Code) { r.refused <- code }
	config.Unanswered = func(end caller.Unanswered) { r.ends <- end }
	return config, r
}

// serveOn starts a server on ln and returns the address.
func serveOn(ln net.Listener, config caller.Config) string {
	server := caller.New(config)
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String()
}

// send writes text to a new connection.
func send(t *testing.T, address, text string) net.Conn {
	conn := dial(t, address)
	_, err := io.WriteString(conn, text)
	is.New(t).NoErr(err)
	return conn
}

// assertEnd checks that a connection ends after one answer with the status, without a reset, and returns the answer.
func assertEnd(is *is.I, conn net.Conn, status int) *http.Response {
	is.Helper()
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, status)
	is.True(resp.Close)
	rest, err := io.ReadAll(reader)
	is.NoErr(err) // An error is a reset, which may destroy the answer on its way.
	is.Equal(len(rest), 0)
	return resp
}

// statusOf returns the HTTP status of a code.
func statusOf(code result.Code) int {
	info, _ := result.Lookup(code)
	return info.Status
}

// assertAnswered reads an answer with status 200.
func assertAnswered(is *is.I, reader *bufio.Reader) {
	is.Helper()
	resp, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// Checks that nothing is written on a kept connection that ends without a further request.
func TestKeptConnectionEndsWithoutAnAnswer(t *testing.T) {
	for name, one := range map[string]struct {
		end     func(net.Conn)
		reports int
	}{
		"the idle time ends":              {end: func(net.Conn) {}},
		"the caller closes its send side": {end: func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() }},
		"an empty line follows":           {end: func(c net.Conn) { _, _ = io.WriteString(c, "\r\n") }, reports: 1}, // It may be the start of a request.
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config, r := record(caller.Config{IdleTimeout: 50 * time.Millisecond, ReadTimeout: 50 * time.Millisecond}, echo)
			conn := send(t, serveOn(listen(t), config), request)
			reader := bufio.NewReader(conn)
			assertAnswered(is, reader)
			one.end(conn)
			rest, err := io.ReadAll(reader)
			is.NoErr(err)
			is.Equal(string(rest), "")
			is.Equal([]int{len(r.refused), len(r.ends)}, []int{0, one.reports})
		})
	}
}

// Checks that a request that arrives in parts is answered, also on a kept connection.
func TestRequestInPartsIsAnswered(t *testing.T) {
	is := is.New(t)
	config, r := record(caller.Config{IdleTimeout: 50 * time.Millisecond, ReadTimeout: time.Second}, echo)
	conn := dial(t, serveOn(listen(t), config))
	reader := bufio.NewReader(conn)
	for range 2 {
		for part := range 7 {
			_, err := io.WriteString(conn, request[part*len(request)/7:(part+1)*len(request)/7])
			is.NoErr(err)
			time.Sleep(15 * time.Millisecond) // Longer than IdleTimeout for all parts together.
		}
		assertAnswered(is, reader)
	}
	is.Equal(r.handler.calls.Load(), int64(2))
	is.Equal(len(r.refused)+len(r.ends), 0)
}

// Checks that a request of which only a part arrives is refused, and counted as such, also when it is the second one.
func TestIncompleteRequestIsRefused(t *testing.T) {
	for _, requests := range []int{0, 1} {
		for name, end := range map[string]func(net.Conn){
			"in time":                        func(net.Conn) {},
			"before the send side is closed": func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
		} {
			t.Run(fmt.Sprintf("%s, after %d requests", name, requests), func(t *testing.T) {
				is := is.New(t)
				config, r := record(caller.Config{ReadTimeout: 50 * time.Millisecond}, echo)
				conn := dial(t, serveOn(listen(t), config))
				reader := bufio.NewReader(conn)
				for range requests {
					_, err := io.WriteString(conn, request)
					is.NoErr(err)
					assertAnswered(is, reader)
				}
				_, err := io.WriteString(conn, head)
				is.NoErr(err)
				end(conn)
				assertEnd(is, conn, statusOf(result.BadRequest))
				is.Equal(<-r.refused, result.BadRequest)
				is.Equal(r.handler.calls.Load(), int64(requests))
			})
		}
	}
}
