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

// hosts is a network in virtual time and a caller on it.
type hosts struct {
	*testing.T
	network *network.Network
	dial    func(context.Context, netip.AddrPort) (net.Conn, error)
	client  *http.Client
	served  byte // served is the number of listeners.
}

// onHosts runs a test in a bubble on a network of its own; all that it starts there must end with it.
func onHosts(t *testing.T, test func(h *hosts)) {
	t.Helper()
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(func() { time.Sleep(2 * time.Minute) }) // Idle connections end.
		h := &hosts{T: t, network: network.New(network.Config{})}
		h.dial = h.network.Dialer(netip.MustParseAddr("192.0.2.250"))
		transport := &http.Transport{DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
			return h.dial(ctx, netip.MustParseAddrPort(to))
		}}
		t.Cleanup(transport.CloseIdleConnections)
		h.client = &http.Client{Transport: transport}
		test(h)
	})
}

// listen opens a listener on a host of its own.
func (h *hosts) listen() net.Listener {
	h.Helper()
	h.served++
	ln, err := h.network.Listen(netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, h.served}), 80))
	is.New(h.T).NoErr(err)
	return ln
}

// endpoints returns a client of endpoints.
func (h *hosts) endpoints() *endpoint.Client {
	return endpoint.New(endpoint.Config{Dial: h.dial})
}

// serveCallers starts a callers' server before a Runner and returns its URL.
func (h *hosts) serveCallers(config request.Config, route request.Route) string {
	h.Helper()
	if config.Endpoints == nil {
		config.Endpoints = h.endpoints()
	}
	return serveCallersOn(h.T, h.listen(), config, route)
}

// startPlatform serves a stand-in of the platform and returns a client of it.
func (h *hosts) startPlatform() (*standin.Server, *platform.Client) {
	h.Helper()
	server, ln := standin.New(standin.Config{Environment: "trial"}), h.listen()
	go func() { _ = server.Serve(ln) }()
	h.Cleanup(server.Close)
	address := ln.Addr().(*net.TCPAddr).AddrPort()
	client := platform.New(platform.Config{Address: address, Environment: "trial", Timeout: 300 * time.Millisecond, Dial: h.dial})
	h.Cleanup(client.Close)
	return server, client
}

// post sends a body and returns the whole answer.
func (h *hosts) post(url, body string, header ...string) (int, string) {
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
