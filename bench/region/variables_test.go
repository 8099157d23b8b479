package region

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"ryelug/standin/raw"
)

// Metrics in an answer with a malformed head are not used.
func TestMalformedAnswerHasNoVariables(t *testing.T) {
	for head, want := range map[string]string{
		"HTTP/1.1 200 OK\r\nX-Foo: 1\r\n":  "{}",
		"HTTP/1.1 000 X\r\nX-Foo: 1\r\n":   "",
		"HTTP/1.1 200 OK\r\nX Foo: 1\r\n":  "",
		"HTTP/1.1 200 OK\r\nX-Foo : 1\r\n": "",
	} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			s, err := raw.Start(raw.Answer(head + "Content-Length: 2\r\n\r\n{}"))
			is.NoErr(err)
			defer s.Close()
			dial := func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
			}
			is.Equal(string(readVariables(t.Context(), dial, s.Address())), want)
		})
	}
}
