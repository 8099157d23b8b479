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

// errDead is what a dead router's calls end with once nobody is left to see it.
var errDead = errors.New("router is dead")

// mortal is a router's way to the world; after its death nothing comes back until the test is over.
type mortal struct {
	keyed.Records
	request.Endpoints
	dead atomic.Bool
	over <-chan struct{} // over closes when all callers are done and the history is checked.
}

// alive blocks a dead router; it returns an error when the test is over.
func (m *mortal) alive() error {
	if !m.dead.Load() {
		return nil
	}
	<-m.over
	return errDead
}

func (m *mortal) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if err := m.alive(); err != nil {
		return platform.Object{}, err
	}
	object, err := m.Records.Get(ctx, kind, name)
	return object, cmp.Or(m.alive(), err)
}

func (m *mortal) Create(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error) {
	if err := m.alive(); err != nil {
		return platform.Object{}, err
	}
	created, err := m.Records.Create(ctx, kind, o)
	return created, cmp.Or(m.alive(), err)
}

func (m *mortal) Update(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error) {
	if err := m.alive(); err != nil {
		return platform.Object{}, err
	}
	return m.Records.Update(ctx, kind, o)
}

func (m *mortal) Send(ctx context.Context, call endpoint.Call) (*endpoint.Answer, error) {
	if err := m.alive(); err != nil {
		return nil, err
	}
	answer, err := m.Endpoints.Send(ctx, call)
	return answer, cmp.Or(m.alive(), err)
}

// keyInput is a run at the service, or a call of a caller.
type keyInput struct {
	key, attempt string
	run          bool
}

// keyOutput is what the caller of a call was told.
type keyOutput struct {
	ranBy  string // ranBy is the attempt whose answer came.
	notRun bool
}

// keyState is the truth about one key: who ran it, and who was told that it did not run.
type keyState struct{ ranBy, refused string }

// keyModel: one run at most; an answer only of the run; no run of an attempt refused as not run.
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

// keyHistory collects a history of concurrent calls and runs. Its clock counts the
// moments that it notes, since in virtual time many of them are at one time.
type keyHistory struct {
	clock atomic.Int64
	mu    sync.Mutex
	ops   []porcupine.Operation
	codes map[result.Code]int
}

func (h *keyHistory) add(client int, in keyInput, call int64, out keyOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: h.clock.Add(1)})
}

// call sends one keyed call and notes what the caller was told; it returns whether to stop repeating.
func (h *keyHistory) call(t testing.TB, transport http.RoundTripper, caller int, url, key string) bool {
	began := h.clock.Add(1)
	req, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(key))
	req.Header.Set("Idempotency-Key", key)
	client := http.Client{Transport: transport, Timeout: 1200 * time.Millisecond}
	resp, err := client.Do(req)
	if err != nil {
		return false // No answer tells nothing.
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

// unreliable runs a call, or not, and answers it, or not, as the seed has it.
func (h *keyHistory) unreliable(seed uint64) func(net.Conn, *fasthttp.Request, int) bool {
	return func(conn net.Conn, req *fasthttp.Request, nth int) bool {
		dice := rand.New(rand.NewPCG(seed, uint64(nth))).IntN(100)
		if dice < 8 {
			return false
		}
		if dice < 30 {
			fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		in := keyInput{key: string(req.Body()), attempt: requestID(req), run: true}
		h.add(0, in, h.clock.Add(1), keyOutput{})
		if dice < 38 {
			return false
		}
		if dice < 46 {
			time.Sleep(400 * time.Millisecond)
		}
		write(conn, "text/plain", requestID(req), requestID(req))
		return true
	}
}

// keySite is a platform, a service and routers on a network of virtual time.
type keySite struct {
	*testing.T
	network  *network.Network
	platform *standin.Server
	service  *fakeEndpoint
	routers  []*mortal
	urls     []string
}

var (
	platformAddress = netip.MustParseAddrPort("192.0.2.1:80")
	serviceAddress  = netip.MustParseAddrPort("192.0.2.2:80")
)

// hostAddress returns the address of host number i of a kind.
func hostAddress(kind, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{192, 0, 2, byte(10*kind + i)})
}

const (
	routerHosts = 1 + iota
	callerHosts
)

// hostDelay differs from path to path, so that calls that begin together meet in the same order in each run.
func hostDelay(from, to netip.Addr) time.Duration {
	return time.Duration(from.As4()[3]+to.As4()[3]) * 10 * time.Microsecond
}

// startKeySite must be called in a bubble; all that it starts ends with the test.
func startKeySite(t *testing.T, routers int, script func(net.Conn, *fasthttp.Request, int) bool) *keySite {
	t.Helper()
	s := &keySite{T: t, network: network.New(network.Config{Delay: hostDelay})}
	t.Cleanup(func() { time.Sleep(2 * time.Minute) }) // Idle connections end.
	s.platform = standin.New(standin.Config{Environment: "trial"})
	t.Cleanup(s.platform.Close)
	ln := s.listen(platformAddress)
	go func() { _ = s.platform.Serve(ln) }()
	s.service = newFakeEndpoint(t, s.listen(serviceAddress), script)
	over := make(chan struct{})
	for i := range routers {
		s.startRouter(hostAddress(routerHosts, i), over)
	}
	t.Cleanup(func() { close(over) })
	return s
}

func (s *keySite) listen(address netip.AddrPort) net.Listener {
	s.Helper()
	ln, err := s.network.Listen(address)
	is.New(s.T).NoErr(err)
	return ln
}

func (s *keySite) startRouter(host netip.Addr, over <-chan struct{}) {
	s.Helper()
	dial := s.network.Dialer(host)
	client := platform.New(platform.Config{Address: platformAddress, Environment: "trial", Timeout: 300 * time.Millisecond, Dial: dial})
	s.Cleanup(client.Close)
	router := &mortal{Records: client, Endpoints: endpoint.New(endpoint.Config{Dial: dial}), over: over}
	s.routers = append(s.routers, router)
	config := request.Config{
		Endpoints: router,
		Grants:    &fakeGrants{endpoints: []target{s.service}, valid: 300 * time.Millisecond},
		Keys:      keyed.New(keyed.Config{Records: router, Rate: 1e6, Timeout: 200 * time.Millisecond}),
	}
	route := request.Route{Service: true, QueueTimeout: time.Second, LongestRequest: 250 * time.Millisecond}
	s.urls = append(s.urls, serveCallersOn(s.T, s.listen(netip.AddrPortFrom(host, 80)), config, route))
}

// transport returns a caller's way to the routers.
func (s *keySite) transport(host netip.Addr) *http.Transport {
	dial := s.network.Dialer(host)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
		return dial(ctx, netip.MustParseAddrPort(to))
	}}
	s.Cleanup(transport.CloseIdleConnections)
	return transport
}

// trouble switches the faults of the platform until stop; the last router dies.
func (s *keySite) trouble(stop <-chan struct{}) {
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

// callAll repeats a call with each key from each caller through all routers in turn.
func (s *keySite) callAll(history *keyHistory, keys, callers, repeats int) {
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

// TestKeyedCallsRunOnce repeats keyed calls through three routers that share a platform
// with outages and lost answers; one router dies. The history is checked key by key.
func TestKeyedCallsRunOnce(t *testing.T) {
	const seed, keys, callers, repeats, routers = 1, 120, 3, 8, 3
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		history := &keyHistory{codes: map[result.Code]int{}}
		site := startKeySite(t, routers, history.unreliable(seed))
		stop := make(chan struct{})
		go site.trouble(stop)
		site.callAll(history, keys, callers, repeats)
		close(stop)
		time.Sleep(5 * time.Second) // Calls whose callers gave up may still run.
		history.mu.Lock()
		defer history.mu.Unlock()
		t.Logf("%d operations, %d sends, refusals by code %v, platform %+v", len(history.ops), site.service.sends(), history.codes, site.platform.Calls())
		is.Equal(porcupine.CheckOperationsTimeout(keyModel, history.ops, time.Minute), porcupine.Ok)
		is.True(len(history.ops) > keys)
		for _, code := range []result.Code{result.KeyInProgress, result.PlatformUnavailable, result.EndpointRefused, result.OutcomeUnknown, result.KeyOutcomeUnknown} {
			is.True(history.codes[code] > 0) // The run must have met every kind of refusal.
		}
	})
}
