package request_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/io/endpoint"
	"ryelug/io/platform"
	"ryelug/router/request"
	"ryelug/standin/bubble"
	"ryelug/standin/network"
	standin "ryelug/standin/platform"
)

// harness is a network in virtual time with an HTTP client on it.
type harness struct {
	*testing.T
	network   *network.Network
	dial      func(context.Context, netip.AddrPort) (net.Conn, error)
	client    *http.Client
	listeners byte // number of listeners so far; gives the next one its address
}

// withHarness runs a test in a synctest bubble with a network of its own. Everything that the test
// starts must end with it.
func withHarness(t *testing.T, test func(h *harness)) {
	t.Helper()
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(2 * time.Minute) }) // Lets idle connections time out.
		h := &harness{T: t, network: network.New(network.Config{})}
		h.dial = h.network.Dialer(netip.MustParseAddr("192.0.2.250"))
		transport := &http.Transport{DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
			return h.dial(ctx, netip.MustParseAddrPort(to))
		}}
		t.Cleanup(transport.CloseIdleConnections)
		h.client = &http.Client{Transport: transport}
		test(h)
	})
}

// listen opens a listener on a new host.
func (h *harness) listen() net.Listener {
	h.Helper()
	h.listeners++
	ln, err := h.network.Listen(netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, h.listeners}), 80))
	is.New(h.T).NoErr(err)
	return ln
}

// endpoints returns a client for endpoints on the network.
func (h *harness) endpoints() *endpoint.Client {
	return endpoint.New(endpoint.Config{Dial: h.dial})
}

// serveCallers starts a server for callers that passes requests to a new Runner. It returns the
// server's URL.
func (h *harness) serveCallers(config request.Config, route request.Route) string {
	h.Helper()
	if config.Endpoints == nil {
		config.Endpoints = h.endpoints()
	}
	return serveCallersOn(h.T, h.listen(), config, route)
}

// startPlatform starts a stand-in for the platform and returns it with a client.
func (h *harness) startPlatform() (*standin.Server, *platform.Client) {
	h.Helper()
	server, ln := standin.New(standin.Config{Environment: "trial"}), h.listen()
	go func() { _ = server.Serve(ln) }()
	h.Cleanup(server.Close)
	address := ln.Addr().(*net.TCPAddr).AddrPort()
	client := platform.New(platform.Config{Address: address, Environment: "trial", Timeout: 300 * time.Millisecond, Dial: h.dial})
	h.Cleanup(client.Close)
	return server, client
}

// post sends a POST request and returns the status and body of the answer. The names and values of
// extra headers alternate.
func (h *harness) post(url, body string, header ...string) (int, string) {
	h.Helper()
	is := is.New(h.T)
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	is.NoErr(err)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := h.client.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer)
}
