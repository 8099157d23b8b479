package region

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// rawDialer returns a dial function to a server that answers one request with text and closes the connection.
func rawDialer(text string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(context.Context, netip.AddrPort) (net.Conn, error) {
		local, remote := net.Pipe()
		go func() {
			defer remote.Close()
			if _, err := http.ReadRequest(bufio.NewReader(remote)); err == nil {
				_, _ = io.WriteString(remote, text)
			}
		}()
		return local, nil
	}
}

// Metrics in an answer with a malformed head are not used.
func TestMalformedAnswerHasNoVariables(t *testing.T) {
	for head, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nX-Foo: 1\r\n":  "{}",
		"HTTP/1.1 000 X\r\nX-Foo: 1\r\n":   "",
		"HTTP/1.1 200 OK\r\nX Foo: 1\r\n":  "",
		"HTTP/1.1 200 OK\r\nX-Foo : 1\r\n": "",
	} {
		t.Run(head, func(t *testing.T) {
			got := readVariables(t.Context(), rawDialer(head+"Content-Length: 2\r\n\r\n{}"), netip.MustParseAddrPort("192.0.2.1:80"))
			is.New(t).Equal(string(got), want)
		})
	}
}
