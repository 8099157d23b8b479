package router_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"ryelug/core/entry"
	"ryelug/core/member"
	"ryelug/core/result"
	"ryelug/io/platform"
	"ryelug/router"
	"ryelug/router/coordination"
	"ryelug/router/request"
	standin "ryelug/standin/platform"
)

// brokenCounter panics when it counts a refusal with code NoConfiguration, and records all other codes.
type brokenCounter struct {
	mu    sync.Mutex
	codes []result.Code
}

func (b *brokenCounter) Refused(code result.Code) {
	if code == result.NoConfiguration {
		panic("a broken counter")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.codes = append(b.codes, code)
}

func (*brokenCounter) Retried(entry.Reason)      {}
func (*brokenCounter) Completed(request.Latency) {}
func (*brokenCounter) Abandoned()                {}

// noHosts is a host lister whose list is always empty.
type noHosts struct{}

func (noHosts) Hosts(context.Context) ([]member.Member, error) { return nil, nil }

// startBareRouter starts a router that has no peers and no endpoints and reads its configuration from the platform
// at platformAddress. It runs until stop is called.
func startBareRouter(t *testing.T, platformAddress netip.AddrPort, counter request.Counter) (callersURL string, logged *logtest.Hook, stop func()) {
	is := is.New(t)
	callersOn, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	log, logged := logtest.NewNullLogger()
	instance := router.New(router.Config{Host: "a", Incarnation: "1", DataCentre: "dc", Environment: "trial", PeerKey: []byte("a key of sixteen bytes"),
		PeerListener: peers, CallerListener: callersOn, Hosts: noHosts{}, Counter: counter, Timings: coordination.DefaultTimings(), Log: log,
		Platform: platform.New(platform.Config{Address: platformAddress, Environment: "trial"})})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- instance.Run(ctx) }()
	return "http://" + callersOn.Addr().String(), logged, func() {
		cancel()
		is.NoErr(<-ended)
	}
}

// errorEntries returns the entries that were logged at level error.
func errorEntries(logged *logtest.Hook) (entries []*logrus.Entry) {
	for _, entry := range logged.AllEntries() {
		if entry.Level == logrus.ErrorLevel {
			entries = append(entries, entry)
		}
	}
	return entries
}

// A panic while a request is served is logged and counted as an internal failure; the router keeps serving and
// shuts down cleanly.
func TestPanicIsCounted(t *testing.T) {
	is := is.New(t)
	counter := &brokenCounter{}
	url, logged, stop := startBareRouter(t, netip.MustParseAddrPort("127.0.0.1:1"), counter)
	for range 2 {
		resp, err := http.Post(url, "", strings.NewReader("{}"))
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusInternalServerError)
		is.True(strings.Contains(string(body), `"code":3999`))
	}
	stop()
	is.Equal(counter.codes, []result.Code{result.InternalFailure, result.InternalFailure})
	entries := errorEntries(logged)
	is.Equal(len(entries), 2)
	for _, entry := range entries {
		is.Equal([]any{entry.Message, entry.Data["cause"]}, []any{"A request panicked.", "a broken counter"})
		is.True(strings.Contains(entry.Data["stack"].(string), "bare_test.go"))
	}
}

// A generation that the router can't adopt is logged once, not on each read of the platform.
func TestRejectedIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	server := standin.New(standin.Config{Environment: "trial"})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	address := netip.MustParseAddrPort(ln.Addr().String())
	client := platform.New(platform.Config{Address: address, Environment: "trial"})
	_, err = client.Create(t.Context(), platform.Roots, platform.Object{Name: platform.CurrentRoot, Data: []byte(`{"generation":7}`)})
	is.NoErr(err)
	_, logged, stop := startBareRouter(t, address, &brokenCounter{})
	for deadline := time.Now().Add(10 * time.Second); len(errorEntries(logged)) == 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	stop()
	entries := errorEntries(logged)
	is.Equal(len(entries), 1)
	is.Equal(entries[0].Data["part"], "config")
	is.Equal(entries[0].Message, "A configuration can't be adopted.")
}
