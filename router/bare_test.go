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

// brokenCounter panics when it is told that there is no configuration.
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

// noHosts is a list of hosts that is always empty.
type noHosts struct{}

func (noHosts) Hosts(context.Context) ([]member.Member, error) { return nil, nil }

// bareRouter runs a router without peers or endpoints before a platform until stop is called.
func bareRouter(t *testing.T, at netip.AddrPort, counter request.Counter) (callers string, logged *logtest.Hook, stop func()) {
	is := is.New(t)
	callersOn, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	log, logged := logtest.NewNullLogger()
	one := router.New(router.Config{Host: "a", Incarnation: "1", DataCentre: "dc", Environment: "trial", PeerKey: []byte("a key of sixteen bytes"),
		PeerListener: peers, CallersOn: callersOn, Hosts: noHosts{}, Counter: counter, Timings: coordination.DefaultTimings(), Log: log,
		Platform: platform.New(platform.Config{Address: at, Environment: "trial"})})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- one.Run(ctx) }()
	return "http://" + callersOn.Addr().String(), logged, func() {
		cancel()
		is.NoErr(<-ended)
	}
}

// failures returns what was logged as an error.
func failures(logged *logtest.Hook) (entries []*logrus.Entry) {
	for _, one := range logged.AllEntries() {
		if one.Level == logrus.ErrorLevel {
			entries = append(entries, one)
		}
	}
	return entries
}

// TestPanicIsCounted logs and counts a request that panics; the router goes on and shuts down in order.
func TestPanicIsCounted(t *testing.T) {
	is := is.New(t)
	counter := &brokenCounter{}
	url, logged, stop := bareRouter(t, netip.MustParseAddrPort("127.0.0.1:1"), counter)
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
	entries := failures(logged)
	is.Equal(len(entries), 2)
	for _, one := range entries {
		is.Equal([]any{one.Message, one.Data["cause"]}, []any{"A request panicked.", "a broken counter"})
		is.True(strings.Contains(one.Data["stack"].(string), "bare_test.go"))
	}
}

// TestRejectedIsLoggedOnce logs a generation that can't be adopted once.
func TestRejectedIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	server := standin.New(standin.Config{Environment: "trial"})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	at := netip.MustParseAddrPort(ln.Addr().String())
	client := platform.New(platform.Config{Address: at, Environment: "trial"})
	_, err = client.Create(t.Context(), platform.Roots, platform.Object{Name: platform.CurrentRoot, Data: []byte(`{"generation":7}`)})
	is.NoErr(err)
	_, logged, stop := bareRouter(t, at, &brokenCounter{})
	for deadline := time.Now().Add(10 * time.Second); len(failures(logged)) == 0 && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	stop()
	entries := failures(logged)
	is.Equal(len(entries), 1)
	is.Equal(entries[0].Data["part"], "config")
	is.Equal(entries[0].Message, "A configuration can't be adopted.")
}
