package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ryelug/io/caller"
)

// Guards against a relayed request without an answer because its caller has closed its sending side.
func TestHalfClosedCallerOfARelayIsAnswered(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	r := newRelaying(t, near, unchanged)
	conn := dial(t, r.address)
	_, err := io.WriteString(conn, request)
	r.NoErr(err)
	r.NoErr(conn.(*net.TCPConn).CloseWrite())
	_ = conn.SetReadDeadline(time.Now().Add(answerLimit))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	r.NoErr(err)
	r.Equal(resp.StatusCode, http.StatusBadGateway)
	r.Equal((<-r.ends).Cause, caller.CallerClosed) // Most such callers have closed the whole connection.
}
