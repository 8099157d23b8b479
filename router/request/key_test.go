package request_test

import (
	"context"
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
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/core/result"
	"ryelug/io/endpoint"
	"ryelug/io/platform"
	"ryelug/router/keyed"
	"ryelug/router/request"
	standin "ryelug/standin/platform"
)

// mortal is a router's way to the world; after its death nothing comes back.
type mortal struct {
	keyed.Records
	request.Endpoints
	dead atomic.Bool
}

func (m *mortal) alive() {
	if m.dead.Load() {
		select {}
	}
}

func (m *mortal) Create(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error) {
	m.alive()
	created, err := m.Records.Create(ctx, kind, o)
	m.alive()
	return created, err
}

func (m *mortal) Update(ctx context.Context, kind platform.Kind, o platform.Object) (platform.Object, error) {
	m.alive()
	return m.Records.Update(ctx, kind, o)
}

func (m *mortal) Send(ctx context.Context, call endpoint.Call) (*endpoint.Answer, error) {
	m.alive()
	answer, err := m.Endpoints.Send(ctx, call)
	m.alive()
	return answer, err
}

// startPlatform serves a stand-in of the platform and returns a client for each of n routers.
func startPlatform(t testing.TB, n int) (*standin.Server, []*platform.Client) {
	server := standin.New(standin.Config{Environment: "trial"})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(server.Close)
	clients := make([]*platform.Client, n)
	for i := range clients {
		address := netip.MustParseAddrPort(ln.Addr().String())
		clients[i] = platform.New(platform.Config{Address: address, Environment: "trial", Timeout: 300 * time.Millisecond})
	}
	return server, clients
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

// keyHistory collects a history of concurrent calls and runs.
type keyHistory struct {
	mu    sync.Mutex
	began time.Time
	ops   []porcupine.Operation
	codes map[result.Code]int
}

func (h *keyHistory) add(client int, in keyInput, call time.Time, out keyOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: int64(call.Sub(h.began)), Output: out, Return: int64(time.Since(h.began))})
}

// call sends one keyed call and notes what the caller was told; it returns whether to stop repeating.
func (h *keyHistory) call(t testing.TB, caller int, url, key string) bool {
	began := time.Now()
	req, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(key))
	req.Header.Set("Idempotency-Key", key)
	client := http.Client{Timeout: 1200 * time.Millisecond}
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
		h.add(0, in, time.Now(), keyOutput{})
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

// TestKeyedCallsRunOnce repeats keyed calls through three routers that share a platform
// with outages and lost answers; one router dies. The history is checked key by key.
func TestKeyedCallsRunOnce(t *testing.T) {
	const seed, keys, callers, repeats = 1, 120, 3, 8
	is := is.New(t)
	server, clients := startPlatform(t, 3)
	history := &keyHistory{began: time.Now(), codes: map[result.Code]int{}}
	service := newFakeEndpoint(t, history.unreliable(seed))
	var urls []string
	var routers []*mortal
	for _, client := range clients {
		router := &mortal{Records: client, Endpoints: endpoint.New(endpoint.Config{})}
		routers = append(routers, router)
		grants := &fakeGrants{endpoints: []target{service}, valid: 300 * time.Millisecond}
		config := request.Config{Endpoints: router, Grants: grants,
			Keys: keyed.New(keyed.Config{Records: router, Rate: 1e6, Timeout: 200 * time.Millisecond})}
		urls = append(urls, serveCallers(t, config, request.Route{Service: true, QueueTimeout: time.Second, LongestRequest: 250 * time.Millisecond}))
	}
	stop := make(chan struct{})
	go func() {
		faults := []standin.Faults{{LoseAnswers: 20}, {}, {Slow: 30 * time.Millisecond}, {LoseAnswers: 10, Slow: 20 * time.Millisecond}, {Down: true}, {Down: true}, {Down: true}, {Down: true}, {}, {}}
		for i := 0; ; i++ {
			server.SetFaults(faults[i%len(faults)])
			routers[2].dead.Store(i >= 16)
			select {
			case <-stop:
				return
			case <-time.After(60 * time.Millisecond):
			}
		}
	}()
	var group sync.WaitGroup
	for key := range keys {
		for caller := range callers {
			group.Go(func() {
				time.Sleep(time.Duration(key) * 20 * time.Millisecond)
				for n := range repeats {
					if history.call(t, key*callers+caller+1, urls[(caller+n)%len(urls)], fmt.Sprintf("key-%d", key)) {
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	close(stop)
	t.Logf("%d operations, %d sends, refusals by code %v, platform %+v", len(history.ops), service.sends(), history.codes, server.Calls())
	is.Equal(porcupine.CheckOperationsTimeout(keyModel, history.ops, time.Minute), porcupine.Ok)
	is.True(len(history.ops) > keys)
	for _, code := range []result.Code{result.KeyInProgress, result.PlatformUnavailable, result.EndpointRefused, result.OutcomeUnknown, result.KeyOutcomeUnknown} {
		is.True(history.codes[code] > 0) // The run must have met every kind of refusal.
	}
}
