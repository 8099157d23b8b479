package router_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"ryelug/core/entry"
	"ryelug/core/member"
	"ryelug/core/result"
	"ryelug/io/platform"
	"ryelug/router"
	"ryelug/router/coordination"
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

func (*brokenCounter) Retried(entry.Reason) {}
func (*brokenCounter) Completed()           {}
func (*brokenCounter) Abandoned()           {}

// noHosts is a list of hosts that is always empty.
type noHosts struct{}

func (noHosts) Hosts(context.Context) ([]member.Member, error) { return nil, nil }

// TestPanicIsCounted logs and counts a request that panics; the router goes on and shuts down in order.
func TestPanicIsCounted(t *testing.T) {
	is := is.New(t)
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	counter, logged := &brokenCounter{}, &bytes.Buffer{}
	log := logrus.New()
	log.SetOutput(logged) // The logger locks its output.
	log.SetLevel(logrus.ErrorLevel)
	one := router.New(router.Config{Host: "a", Incarnation: "1", DataCentre: "dc", Environment: "trial", PeerKey: []byte("a key of sixteen bytes"),
		PeerListener: peers, CallersOn: callers, Hosts: noHosts{}, Counter: counter, Timings: coordination.DefaultTimings(), Log: log,
		Platform: platform.New(platform.Config{Address: netip.MustParseAddrPort("127.0.0.1:1"), Environment: "trial"})})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- one.Run(ctx) }()
	for range 2 {
		resp, err := http.Post("http://"+callers.Addr().String(), "", strings.NewReader("{}"))
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusInternalServerError)
		is.True(strings.Contains(string(body), `"code":3999`))
	}
	cancel()
	is.NoErr(<-ended)
	is.Equal(counter.codes, []result.Code{result.InternalFailure, result.InternalFailure})
	is.Equal(strings.Count(logged.String(), "A request panicked."), 2)
	is.True(strings.Contains(logged.String(), "a broken counter"))
}
