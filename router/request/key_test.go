package request_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/core/result"
	"ryelug/io/endpoint"
	"ryelug/io/platform"
	"ryelug/router/keyed"
	"ryelug/router/request"
	"ryelug/standin/bubble"
	"ryelug/standin/network"
	standin "ryelug/standin/platform"
)

// errRouterDead is returned to a dead router by the calls that are blocked when the test ends.
var errRouterDead = errors.New("router is dead")

// killableRouter gives a router access to the platform and to endpoints. Once dead is set, calls
// return nothing until the test is over.
type killableRouter struct {
	keyed.Records
	request.Endpoints
	dead     atomic.Bool
	testDone <-chan struct{} // closed when all callers are done and the history is checked
}

// blockIfDead returns nil at once for a live router. For a dead one it blocks until the test is
// over and returns an error.
func (m *killableRouter) blockIfDead() error {
	if !m.dead.Load() {
		return nil
	}
	<-m.testDone
	return errRouterDead
}

func (m *killableRouter) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if err := m.blockIfDead(); err != nil {
		return platform.Object{}, err
	}
	object, err := m.Records.Get(ctx, kind, name)
	return object, cmp.Or(m.blockIfDead(), err)
}

func (m *killableRouter) Create(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error) {
	if err := m.blockIfDead(); err != nil {
		return platform.Object{}, err
	}
	created, err := m.Records.Create(ctx, kind, o)
	return created, cmp.Or(m.blockIfDead(), err)
}

func (m *killableRouter) Update(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error) {
	if err := m.blockIfDead(); err != nil {
		return platform.Object{}, err
	}
	return m.Records.Update(ctx, kind, o)
}

func (m *killableRouter) Send(ctx context.Context, call endpoint.Call) (*endpoint.Answer, error) {
	if err := m.blockIfDead(); err != nil {
		return nil, err
	}
	answer, err := m.Endpoints.Send(ctx, call)
	return answer, cmp.Or(m.blockIfDead(), err)
}

// keyInput is the input of one operation in the history: a run at the service if run is set, else a
// caller's call.
type keyInput struct {
	key, attempt string
	run          bool
}

// keyOutput is what a caller was told. It is zero for a run at the service and for a refusal that
// leaves the outcome open.
type keyOutput struct {
	ranBy  string // ID of the attempt whose answer the caller got
	notRun bool   // whether the caller was told that its request did not run
}

// keyState is the model's state of one key: ranBy is the attempt that ran, and refused lists the
// attempts whose callers were told that they did not run, each followed by a semicolon.
type keyState struct{ ranBy, refused string }

// keyModel allows at most one run per key, and answers from that run only. An attempt whose caller
// was told that it did not run must not have run, and must not run later.
var keyModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(keyInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(keyState), input.(keyInput), output.(keyOutput)
		switch {
		case in.run:
			ok := s.ranBy == "" && !strings.Contains(s.refused, in.attempt+";")
			s.ranBy = in.attempt
			return ok, s
		case out.notRun:
			s.refused += in.attempt + ";"
			return s.ranBy != in.attempt, s
		case out.ranBy != "":
			return s.ranBy == out.ranBy, s
		}
		return true, s
	},
}

// keyHistory records concurrent calls and runs. Its clock is a counter and not a time, because in
// virtual time many operations share one instant.
type keyHistory struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
	codes map[result.Code]int
}

// add records an operation that began at the clock value call and ends now.
func (h *keyHistory) add(client int, in keyInput, call int64, out keyOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: h.clock.Add(1)})
}

// call sends one keyed request and records what the caller was told. It reports whether the caller
// must stop repeating it.
func (h *keyHistory) call(t testing.TB, transport http.RoundTripper, caller int, url, key string) bool {
	began := h.clock.Add(1)
	req, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(key))
	req.Header.Set("Idempotency-Key", key)
	client := http.Client{Transport: transport, Timeout: 1200 * time.Millisecond}
	resp, err := client.Do(req)
	if err != nil {
		return false // Without an answer the caller knows nothing.
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	in := keyInput{key: key, attempt: resp.Header.Get("X-Request-Id")}
	if resp.StatusCode == http.StatusOK {
		h.add(caller, in, began, keyOutput{ranBy: string(body)})
		return true
	}
	refused := parseRefusal(t, string(body)).Error
	h.mu.Lock()
	h.codes[refused.Code]++
	h.mu.Unlock()
	h.add(caller, in, began, keyOutput{notRun: refused.NotRun})
	return refused.Code == result.KeyOutcomeUnknown
}

// unreliableService returns a script for a service that refuses, runs or drops a request, and
// answers it in time, late or never, by random numbers from seed.
func (h *keyHistory) unreliableService(seed uint64) func(net.Conn, *fasthttp.Request, int) bool {
	return func(conn net.Conn, req *fasthttp.Request, nth int) bool {
		roll := rand.New(rand.NewPCG(seed, uint64(nth))).IntN(100)
		if roll < 8 {
			return false
		}
		if roll < 30 {
			fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		in := keyInput{key: string(req.Body()), attempt: requestID(req), run: true}
		h.add(0, in, h.clock.Add(1), keyOutput{})
		if roll < 38 {
			return false
		}
		if roll < 46 {
			time.Sleep(400 * time.Millisecond)
		}
		write(conn, "text/plain", requestID(req), requestID(req))
		return true
	}
}

// keyedCluster is a platform, a service and several routers on a network in virtual time.
type keyedCluster struct {
	*testing.T
	network  *network.Network
	platform *standin.Server
	service  *fakeEndpoint
	routers  []*killableRouter
	urls     []string
}

var (
	platformAddress = netip.MustParseAddrPort("192.0.2.1:80")
	serviceAddress  = netip.MustParseAddrPort("192.0.2.2:80")
)

// hostAddress returns the address of host i of the kind routerHosts or callerHosts.
func hostAddress(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{192, 0, 2, byte(10*kind + i)})
}

// Kinds of hosts, each with its own range of addresses.
const (
	routerHosts = 1 + iota
	callerHosts
)

// hostDelay varies with the pair of hosts, so that calls sent at the same instant arrive in the
// same order in every run.
func hostDelay(from, to netip.Addr) time.Duration {
	return time.Duration(from.As4()[3]+to.As4()[3]) * 10 * time.Microsecond
}

// startKeyedCluster starts all servers; they end with the test. It must be called in a synctest
// bubble.
func startKeyedCluster(t *testing.T, routers int, script func(net.Conn, *fasthttp.Request, int) bool) *keyedCluster {
	t.Helper()
	s := &keyedCluster{T: t, network: network.New(network.Config{Delay: hostDelay})}
	t.Cleanup(func() { time.Sleep(2 * time.Minute) }) // Lets idle connections time out.
	s.platform = standin.New(standin.Config{Environment: "trial"})
	t.Cleanup(s.platform.Close)
	ln := s.listen(platformAddress)
	go func() { _ = s.platform.Serve(ln) }()
	s.service = newFakeEndpoint(t, s.listen(serviceAddress), script)
	testDone := make(chan struct{})
	for i := range routers {
		s.startRouter(hostAddress(routerHosts, i), testDone)
	}
	t.Cleanup(func() { close(testDone) })
	return s
}

func (s *keyedCluster) listen(address netip.AddrPort) net.Listener {
	s.Helper()
	ln, err := s.network.Listen(address)
	is.New(s.T).NoErr(err)
	return ln
}

// startRouter starts a router on host. Its calls to the platform and the service block once it is
// marked dead.
func (s *keyedCluster) startRouter(host netip.Addr, testDone <-chan struct{}) {
	s.Helper()
	dial := s.network.Dialer(host)
	client := platform.New(platform.Config{Address: platformAddress, Environment: "trial", Timeout: 300 * time.Millisecond, Dial: dial})
	s.Cleanup(client.Close)
	router := &killableRouter{Records: client, Endpoints: endpoint.New(endpoint.Config{Dial: dial}), testDone: testDone}
	s.routers = append(s.routers, router)
	config := request.Config{
		Endpoints: router,
		Grants:    &fakeGrants{endpoints: []grantedEndpoint{s.service}, valid: 300 * time.Millisecond},
		Keys:      keyed.New(keyed.Config{Records: router, Rate: 1e6, Timeout: 200 * time.Millisecond}),
	}
	route := request.Route{Service: true, QueueTimeout: time.Second, LongestRequest: 250 * time.Millisecond}
	s.urls = append(s.urls, serveCallersOn(s.T, s.listen(netip.AddrPortFrom(host, 80)), config, route))
}

// transport returns an HTTP transport that dials the routers from host.
func (s *keyedCluster) transport(host netip.Addr) *http.Transport {
	dial := s.network.Dialer(host)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
		return dial(ctx, netip.MustParseAddrPort(to))
	}}
	s.Cleanup(transport.CloseIdleConnections)
	return transport
}

// injectFaults changes the platform's faults every 60 ms until stop closes. The last router dies
// about one second after the start.
func (s *keyedCluster) injectFaults(stop <-chan struct{}) {
	faults := []standin.Faults{{LoseAnswers: 20}, {}, {Slow: 30 * time.Millisecond}, {LoseAnswers: 10, Slow: 20 * time.Millisecond}, {Down: true}, {Down: true}, {Down: true}, {Down: true}, {}, {}}
	for i := 0; ; i++ {
		s.platform.SetFaults(faults[i%len(faults)])
		s.routers[len(s.routers)-1].dead.Store(i >= 16)
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
	}
}

// callAll lets each caller repeat a call for each key, through the routers in turn, until its
// outcome is settled or the repeats are used up.
func (s *keyedCluster) callAll(history *keyHistory, keys, callers, repeats int) {
	var group sync.WaitGroup
	for caller := range callers {
		transport := s.transport(hostAddress(callerHosts, caller))
		for key := range keys {
			group.Go(func() {
				time.Sleep(time.Duration(key) * 20 * time.Millisecond)
				for n := range repeats {
					if history.call(s.T, transport, key*callers+caller+1, s.urls[(caller+n)%len(s.urls)], fmt.Sprintf("key-%d", key)) {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
}

// TestKeyedCallsRunOnce checks that each key runs at most once, and that answers and refusals say
// what happened. Callers repeat calls through three routers, one of which dies; their platform has
// outages and loses answers. The history of each key is checked against keyModel.
func TestKeyedCallsRunOnce(t *testing.T) {
	const seed, keys, callers, repeats, routers = 1, 120, 3, 8, 3
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		history := &keyHistory{codes: map[result.Code]int{}}
		cluster := startKeyedCluster(t, routers, history.unreliableService(seed))
		stop := make(chan struct{})
		go cluster.injectFaults(stop)
		cluster.callAll(history, keys, callers, repeats)
		close(stop)
		time.Sleep(5 * time.Second) // Requests whose callers gave up may still be running.
		history.mu.Lock()
		defer history.mu.Unlock()
		t.Logf("%d operations, %d sends, refusals by code %v, platform %+v", len(history.ops), cluster.service.sends(), history.codes, cluster.platform.Calls())
		is.Equal(porcupine.CheckOperationsTimeout(keyModel, history.ops, time.Minute), porcupine.Ok)
		is.True(len(history.ops) > keys)
		for _, code := range []result.Code{result.KeyInProgress, result.PlatformUnavailable, result.EndpointRefused, result.OutcomeUnknown, result.KeyOutcomeUnknown} {
			is.True(history.codes[code] > 0) // The faults must have caused each kind of refusal.
		}
	})
}
