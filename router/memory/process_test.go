package memory_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/router/process"
	"ryelug/standin/engine"
	"ryelug/standin/local"
	"ryelug/standin/platform"
)

const (
	memoryLimit    = 144 // memoryLimit is the memory_limit of the router, in MiB.
	maxDescriptors = 512 // maxDescriptors is the max_descriptors of the router.
	fakeEndpoints  = 8   // fakeEndpoints is the number of endpoints of the pool that the client set calls.
	startLimit     = 30 * time.Second
	answerLimit    = 60 * time.Second
	pollInterval   = 50 * time.Millisecond
	settleTime     = 2 * time.Second
	settleGrowth   = 1 << 20 // settleGrowth is more than an idle router grows by in settleTime.
)

// routerProcess is a router that runs as a process of its own, with stand-ins of all else in the process of the test.
type routerProcess struct {
	t                 *testing.T
	cmd               *exec.Cmd
	ended             chan struct{} // ended is closed when the process has ended.
	callers, operator netip.AddrPort
}

// buildRouter builds the program and returns its path.
func buildRouter(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "ryelug")
	if out, err := exec.Command("go", "build", "-o", binary, "ryelug/cmd/ryelug").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// server is what all stand-ins are.
type server interface {
	Serve(listener net.Listener) error
	Close()
}

// listen opens a listener on a free port of loopback.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := process.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	is.New(t).NoErr(err)
	return listener
}

// serve starts a stand-in on a free port, and closes it at the end of the test.
func serve(t *testing.T, one server) netip.AddrPort {
	t.Helper()
	listener := listen(t)
	go func() { _ = one.Serve(listener) }()
	t.Cleanup(one.Close)
	return netip.MustParseAddrPort(listener.Addr().String())
}

// freePort returns an address that nothing listened on a moment ago.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	listener := listen(t)
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// startRouter starts a router whose service pool consists of fake endpoints with the given behaviour.
func startRouter(t *testing.T, binary string, behaviour fakeBehaviour) *routerProcess {
	t.Helper()
	is := is.New(t)
	one := &routerProcess{t: t, ended: make(chan struct{}), callers: freePort(t), operator: freePort(t)}
	peers := freePort(t)
	store := serve(t, platform.New(platform.Config{
		Environment: local.Environment,
		Hosts:       []platform.Host{{Host: "router-1", DataCentre: local.DataCentres[0], PeerAddress: peers}},
	}))
	model := serve(t, engine.New(engine.Config{Name: "engine-1", WarmLimit: 8, ColdLimit: 2, WarmUp: 10}))
	endpoints := []local.Endpoint{{Name: "engine-1", Pool: local.EnginePool, DataCentre: local.DataCentres[0], Address: model}}
	for i := range fakeEndpoints {
		endpoints = append(endpoints, local.Endpoint{
			Name: fmt.Sprintf("fake-%d", i+1), Pool: local.ServicePool, DataCentre: local.DataCentres[0], Address: serve(t, newFakeEndpoint(behaviour)),
		})
	}
	is.NoErr(local.Publish(context.Background(), store, endpoints))
	settings := fmt.Sprintf("host = \"router-1\"\ndata_centre = %q\nenvironment = %q\ncallers_address = %q\noperator_address = %q\n"+
		"peer_address = %q\nplatform_address = %q\npeer_key = \"a key for this test\"\nbalancer_lag = \"100ms\"\nlog_level = \"error\"\n"+
		"memory_limit = %d\nmax_descriptors = %d\n",
		local.DataCentres[0], local.Environment, one.callers, one.operator, peers, store, memoryLimit, maxDescriptors)
	file := filepath.Join(t.TempDir(), "router.toml")
	is.NoErr(os.WriteFile(file, []byte(settings), 0o600))
	one.cmd = exec.Command(binary, "router", "-settings", file)
	one.cmd.Stderr = os.Stderr
	is.NoErr(one.cmd.Start())
	go func() {
		_ = one.cmd.Wait()
		close(one.ended)
	}()
	t.Cleanup(func() {
		_ = one.cmd.Process.Kill()
		<-one.ended
	})
	one.await("healthy router", startLimit, func() bool {
		status, _, err := fasthttp.Get(nil, "http://"+one.operator.String()+"/healthz")
		return err == nil && status == fasthttp.StatusOK
	})
	one.checkOrdinary()
	return one
}

// await waits until a condition holds, and fails the test if that takes longer than the limit.
func (r *routerProcess) await(what string, limit time.Duration, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			r.t.Fatalf("no %s within %v", what, limit)
		}
	}
}

// checkOrdinary checks that an ordinary caller gets its answer; it may be refused before, as it would be by a busy router.
func (r *routerProcess) checkOrdinary() {
	r.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":2,"messages":[{"role":"user","content":"x"}]}`, local.Model)
	r.checkAnswered("/v1/chat/completions", []byte(body))
}

// checkAnswered checks that a request is answered with 200; it may be refused before.
func (r *routerProcess) checkAnswered(path string, body []byte) {
	r.t.Helper()
	r.await("answer to an ordinary request", answerLimit, func() bool {
		var req fasthttp.Request
		var resp fasthttp.Response
		req.SetRequestURI("http://" + r.callers.String() + path)
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.Set("Authorization", "Bearer "+local.Teams[0].Key)
		req.SetConnectionClose()
		req.SetBodyRaw(body)
		err := fasthttp.DoTimeout(&req, &resp, answerLimit)
		return err == nil && resp.StatusCode() == fasthttp.StatusOK
	})
}

// settle waits until the peak memory has grown by less than settleGrowth for settleTime, because responses and calls to endpoints are still in
// progress when all clients have sent.
func (r *routerProcess) settle() {
	r.t.Helper()
	peak, since := r.peakMemory(), time.Now()
	r.await("end of the growth of the memory", answerLimit, func() bool {
		if now := r.peakMemory(); now >= peak+settleGrowth {
			peak, since = now, time.Now()
		}
		return time.Since(since) >= settleTime
	})
}

// checkBounds checks that the process is alive, and that its peak memory and its open descriptors are within the bounds.
func (r *routerProcess) checkBounds() {
	r.t.Helper()
	select {
	case <-r.ended:
		r.t.Fatalf("the router has ended: %v", r.cmd.ProcessState)
	default:
	}
	peak := r.peakMemory()
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	is.New(r.t).NoErr(err)
	r.t.Logf("peak memory %d MiB, %d descriptors", peak>>20, len(descriptors))
	if peak > memoryLimit<<20 {
		r.t.Errorf("the peak memory is %d MiB, the limit is %d", peak>>20, memoryLimit)
	}
	if len(descriptors) > maxDescriptors {
		r.t.Errorf("%d descriptors are open, %d are allowed", len(descriptors), maxDescriptors)
	}
}

// peakMemory returns the peak resident memory of the process in bytes.
func (r *routerProcess) peakMemory() int {
	r.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	is.New(r.t).NoErr(err)
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			is.New(r.t).NoErr(err)
			return kilobytes << 10
		}
	}
	select {
	case <-r.ended:
		r.t.Fatalf("the router has ended: %v", r.cmd.ProcessState)
	default:
		r.t.Fatal("the status of the process has no VmHWM")
	}
	return 0
}
