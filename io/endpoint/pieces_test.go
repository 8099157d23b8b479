package endpoint_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
)

// pipeDialer returns a dial function to a server that answers each request with the pieces, each in a write of its own that
// ends when the client has read it.
func pipeDialer(pieces []string) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(context.Context, netip.AddrPort) (net.Conn, error) {
		local, remote := net.Pipe()
		go func() {
			defer remote.Close()
			for in := bufio.NewReader(remote); ; {
				req, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				for _, piece := range pieces {
					if _, err := io.WriteString(remote, piece); err != nil {
						return
					}
				}
			}
		}()
		return local, nil
	}
}
