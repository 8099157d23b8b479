package http1_test

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"ryelug/io/http1"
)

// connOf returns a Conn that receives the pieces in a read each, and the number of malformed answers that it reported.
func connOf(t *testing.T, pieces ...string) (conn *http1.Conn, malformed *int) {
	t.Helper()
	local, remote := net.Pipe()
	t.Cleanup(func() { local.Close() })
	go func() {
		defer remote.Close()
		for _, piece := range pieces {
			if _, err := io.WriteString(remote, piece); err != nil {
				return
			}
		}
	}()
	malformed = new(int)
	return http1.NewConn(local, func() { *malformed++ }), malformed
}

// readAll expects an answer and reads a connection to its end.
func readAll(conn *http1.Conn) (string, error) {
	conn.ExpectAnswer()
	text, err := io.ReadAll(conn)
	return string(text), err
}

const goodAnswer = "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nHTTP/1.1 000 X\r\nX Y: z\r\n"

func TestConnPassesWellFormedAnswers(t *testing.T) {
	for name, pieces := range map[string][]string{"one read": {goodAnswer}, "byte by byte": strings.Split(goodAnswer, "")} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, malformed := connOf(t, pieces...)
			text, err := readAll(conn)
			is.NoErr(err)
			is.Equal(text, goodAnswer)
			is.Equal(*malformed, 0)
		})
	}
}

// No head that breaks a rule passes as a whole, and reading ends for good.
func TestConnEndsAtMalformedHeads(t *testing.T) {
	for text, rule := range map[string]http1.Rule{
		"HTTP/1.1 000 X\r\n\r\n":                                   http1.RuleStatusCode,
		"HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n":                        http1.RuleFieldName,
		"HTTP/1.1 200 OK\nContent-Length: 0\n\n":                   http1.RuleLineEnd,
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 X\r\n\r\n":             http1.RuleStatusCode,
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 70<<10):     http1.RuleSize,
		strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 101) + goodAnswer: http1.RuleInterim,
	} {
		for name, pieces := range map[string][]string{"one read": {text}, "byte by byte": strings.Split(text, "")} {
			t.Run(string(rule)+", "+name, func(t *testing.T) {
				is := is.New(t)
				conn, malformed := connOf(t, pieces...)
				passed, err := readAll(conn)
				var broken *http1.ErrHead
				is.True(errors.As(err, &broken))
				is.Equal(broken.Rule, rule)
				is.True(len(passed) < len(text))
				_, err = conn.Read(make([]byte, 1))
				is.True(http1.IsMalformed(err))
				is.Equal(*malformed, 1)
			})
		}
	}
}

// Each answer that is expected is checked, and nothing else.
func TestConnChecksEachExpectedAnswer(t *testing.T) {
	is := is.New(t)
	conn, malformed := connOf(t, "X Y: z\r\n", goodAnswer, "HTTP/1.1 000 X\r\n\r\n")
	buffer := make([]byte, 1<<10)
	_, err := conn.Read(buffer)
	is.NoErr(err)
	conn.ExpectAnswer()
	_, err = conn.Read(buffer)
	is.NoErr(err)
	conn.ExpectAnswer()
	_, err = conn.Read(buffer)
	is.True(http1.IsMalformed(err))
	is.Equal(*malformed, 1)
}

// scriptedConn ends for its reader once a write waits, which then fails if writeErr is set.
type scriptedConn struct {
	net.Conn
	writes   chan struct{}
	writeErr error
}

func (c *scriptedConn) Read([]byte) (int, error) {
	<-c.writes
	return 0, io.EOF
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	c.writes <- struct{}{}
	return len(p), c.writeErr
}

// The end of a connection whose write has failed, or is about to, is no orderly end.
func TestConnEndsAsItsWriteFailed(t *testing.T) {
	for _, writeErr := range []error{nil, syscall.ECONNRESET} {
		t.Run(fmt.Sprint(writeErr), func(t *testing.T) {
			is := is.New(t)
			conn := http1.NewConn(&scriptedConn{writes: make(chan struct{}), writeErr: writeErr}, func() {})
			go func() { _, _ = conn.Write([]byte("body")) }()
			_, err := conn.Read(make([]byte, 1))
			is.True(errors.Is(err, cmp.Or[error](writeErr, io.EOF)))
		})
	}
}
