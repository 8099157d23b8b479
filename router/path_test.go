package router_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/core/entry"
	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/io/endpoint"
	"ryelug/io/platform"
	"ryelug/router"
	"ryelug/standin/engine"
	platformstandin "ryelug/standin/platform"
)

const (
	testEnvironment = "trial"
	testKey         = "key-of-schools"
)

// uncounted counts nothing.
type uncounted struct{}

func (uncounted) Refused(result.Code)  {}
func (uncounted) Retried(entry.Reason) {}
func (uncounted) Completed()           {}
func (uncounted) Abandoned()           {}

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return ln, ln.Addr().(*net.TCPAddr).AddrPort()
}

// testFleet is a platform, an engine and some routers on loopback.
type testFleet struct {
	platform *platformstandin.Server
	engine   *engine.Engine
	routers  []*router.Router
	callers  []netip.AddrPort
	address  netip.AddrPort
}

// withTestFleet runs f with a fleet of count routers in force.
func withTestFleet(t *testing.T, count int, f func(*testFleet)) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fleet := &testFleet{platform: platformstandin.New(platformstandin.Config{Environment: testEnvironment})}
	ln, address := listen(t)
	fleet.address = address
	go func() { _ = fleet.platform.Serve(ln) }()
	defer fleet.platform.Close()
	fleet.engine = engine.New(engine.Config{Name: "engine-1", WarmLimit: 4, ColdLimit: 1, WarmUp: 2, Cold: true, Tokens: 8, TokenGap: time.Millisecond})
	engineLn, engineAddress := listen(t)
	go func() { _ = fleet.engine.Serve(engineLn) }()
	defer fleet.engine.Close()
	fleet.apply(t, testDocument(engineAddress))
	done := make(chan error, count)
	for i := range count {
		fleet.start(ctx, t, fmt.Sprintf("host-%d", i+1), done)
	}
	fleet.await(t)
	f(fleet)
	cancel()
	for range count {
		is.New(t).NoErr(<-done)
	}
}

func (f *testFleet) start(ctx context.Context, t *testing.T, host string, done chan<- error) {
	t.Helper()
	peers, peerAddress := listen(t)
	callers, callersAddress := listen(t)
	client := platform.New(platform.Config{Address: f.address, Environment: testEnvironment})
	f.platform.SetHost(platformstandin.Host{Host: host, PeerAddress: peerAddress, DataCentre: "dc-1"})
	log := logrus.New()
	log.SetOutput(io.Discard)
	timings := router.DefaultTimings()
	timings.BalancerLag = 10 * time.Millisecond
	timings.ListLag = 500 * time.Millisecond
	timings.HostsPoll = 100 * time.Millisecond
	conf := router.Config{
		Host: cell.HostID(host), Incarnation: "1", DataCentre: "dc-1", Environment: testEnvironment,
		PeerKey: []byte("a key of all routers"), PeerListener: peers, CallersOn: callers,
		Platform: client, Hosts: router.PlatformHosts{Client: client},
		Endpoints: endpoint.New(endpoint.Config{}), Counter: uncounted{}, Timings: timings, Log: log,
	}
	r := router.New(conf)
	f.routers = append(f.routers, r)
	f.callers = append(f.callers, callersAddress)
	go func() { done <- r.Run(ctx) }()
}

// await waits until every router has its configuration.
func (f *testFleet) await(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		ready := 0
		for _, r := range f.routers {
			if r.Health().Configured {
				ready++
			}
		}
		if ready == len(f.routers) {
			return
		}
	}
	t.Fatal("the routers have no configuration after 10 s")
}

func (f *testFleet) apply(t *testing.T, doc *config.Document) {
	t.Helper()
	is := is.New(t)
	ctx := context.Background()
	client := platform.New(platform.Config{Address: f.address, Environment: testEnvironment})
	root, parts := config.Split(doc)
	for hash, part := range parts {
		_, err := client.Create(ctx, platform.Parts, platform.PartObject(hash, part))
		is.NoErr(err)
	}
	root.Generation, root.ChangeID, root.Changed = 1, "first", time.Now()
	_, err := client.Create(ctx, platform.Roots, platform.Object{Name: "current", Data: root.Encode()})
	is.NoErr(err)
}

func testDocument(engineAddress netip.AddrPort) *config.Document {
	sum := sha256.Sum256([]byte(testKey))
	return &config.Document{
		Environment: testEnvironment,
		Teams:       []config.Team{{Name: "schools", Share: 1, KeyHashes: []string{hex.EncodeToString(sum[:])}}},
		DataCentres: []config.DataCentre{{Name: "dc-1", Region: "khomas"}},
		Pools: []config.Pool{{
			Name: "chat", Kind: config.Engine, Model: "plans", QueueLimit: 10, QueueTimeout: 20 * time.Second,
			LongestRequest: time.Minute, LargestCost: 1000, WarmUpRequests: 2,
		}},
		Endpoints: []config.Endpoint{{
			Name: "engine-1", Pool: "chat", DataCentre: "dc-1", Address: engineAddress, WarmLimit: 4, ColdLimit: 1,
		}},
	}
}

func (f *testFleet) chat(t *testing.T, i int) string {
	t.Helper()
	is := is.New(t)
	body := strings.NewReader(`{"model":"plans","stream":true,"messages":[{"role":"user","content":"a plan"}]}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+f.callers[i].String()+"/v1/chat/completions", body)
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return string(answer)
}

var _ caller.Handler = (*router.Router)(nil)

// A request gets its whole stream whichever router it enters.
func TestWholePath(t *testing.T) {
	withTestFleet(t, 2, func(f *testFleet) {
		for i := range f.callers {
			answer := f.chat(t, i)
			is.New(t).True(strings.HasSuffix(strings.TrimSpace(answer), "data: [DONE]"))
		}
	})
}
