package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/core/member"
	"ryelug/standin/local"
)

const (
	startLimit  = 20 * time.Second
	answerLimit = 20 * time.Second
	poll        = 50 * time.Millisecond
	callTime    = time.Second // callTime is how long the service works on a call.
)

// program is one started process.
type program struct {
	*exec.Cmd
	ended chan error
}

// fleet is the processes of one test.
type fleet struct {
	t       *testing.T
	binary  string
	dir     string
	routers []*routerProgram
}

// routerProgram is a router process with its addresses.
type routerProgram struct {
	program
	callers, operator, peers netip.AddrPort
}

// answer is what a request got.
type answer struct {
	status int
	body   string
	err    error
}

func (f *fleet) start(args ...string) program {
	f.t.Helper()
	started := program{Cmd: exec.Command(f.binary, args...), ended: make(chan error, 1)}
	started.Stderr = os.Stderr
	return started
}

// run starts a program and ends it with the test.
func (f *fleet) run(started program) {
	f.t.Helper()
	is.New(f.t).NoErr(started.Start())
	go func() { started.ended <- started.Wait() }()
	f.t.Cleanup(func() { _ = started.Process.Kill() })
}

// standin starts a stand-in and returns where it listens.
func (f *fleet) standin(args ...string) netip.AddrPort {
	f.t.Helper()
	is := is.New(f.t)
	started := f.start(append([]string{"standin"}, args...)...)
	out, err := started.StdoutPipe()
	is.NoErr(err)
	is.NoErr(started.Start())
	f.t.Cleanup(func() { _ = started.Process.Kill(); _ = started.Wait() })
	line, err := bufio.NewReader(out).ReadString('\n')
	is.NoErr(err)
	return netip.MustParseAddrPort(strings.TrimSpace(strings.TrimPrefix(line, "listening on ")))
}

// freePort returns an address that nothing listened on a moment ago.
func freePort(is *is.I) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// newFleet builds the program and starts two routers with stand-ins of all else.
func newFleet(t *testing.T) *fleet {
	is := is.New(t)
	f := &fleet{t: t, dir: t.TempDir()}
	f.binary = filepath.Join(f.dir, "ryelug")
	out, err := exec.Command("go", "build", "-o", f.binary, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	platformArgs := []string{"platform", "-listen", "127.0.0.1:0", "-environment", local.Environment}
	for i := range 2 {
		one := &routerProgram{callers: freePort(is), operator: freePort(is), peers: freePort(is)}
		f.routers = append(f.routers, one)
		platformArgs = append(platformArgs, "-host", fmt.Sprintf("router-%d,%s,%s", i+1, local.DataCentres[i], one.peers))
	}
	platform := f.standin(platformArgs...)
	endpoints := []local.Endpoint{
		{Name: "engine-1", Pool: local.EnginePool, DataCentre: local.DataCentres[0], Address: f.standin("engine", "-listen", "127.0.0.1:0", "-name", "engine-1")},
		{Name: "tickets-1", Pool: local.ServicePool, DataCentre: local.DataCentres[0], Address: f.standin("service", "-listen", "127.0.0.1:0", "-name", "tickets-1", "-duration", callTime.String())},
	}
	is.NoErr(local.Publish(context.Background(), platform, endpoints))
	for i, one := range f.routers {
		f.startRouter(i, one, platform)
	}
	for _, one := range f.routers {
		f.await("a healthy router", func() bool { return get(one.operator, "/healthz").status == fasthttp.StatusOK })
	}
	return f
}

func (f *fleet) startRouter(i int, one *routerProgram, platform netip.AddrPort) {
	file := filepath.Join(f.dir, fmt.Sprintf("router-%d.toml", i+1))
	text := fmt.Sprintf("host = \"router-%d\"\ndata_centre = %q\nenvironment = %q\ncallers_address = %q\noperator_address = %q\n"+
		"peer_address = %q\nplatform_address = %q\npeer_key = \"a key for this test\"\nbalancer_lag = \"100ms\"\nlog_level = \"error\"\n",
		i+1, local.DataCentres[i], local.Environment, one.callers, one.operator, one.peers, platform)
	is.New(f.t).NoErr(os.WriteFile(file, []byte(text), 0o600))
	one.program = f.start("router", "-settings", file)
	f.run(one.program)
}

func (f *fleet) await(what string, holds func() bool) {
	f.t.Helper()
	for limit := time.Now().Add(startLimit); !holds(); time.Sleep(poll) {
		if time.Now().After(limit) {
			f.t.Fatalf("no %s within %v", what, startLimit)
		}
	}
}

// client sends each request once, on a connection of its own.
var client = fasthttp.Client{
	MaxIdemponentCallAttempts: 1,
	StreamResponseBody:        true,
	MaxConnsPerHost:           64,
	ReadTimeout:               answerLimit,
}

// send sends a request with the headers, which are names and values in turn.
func send(method string, to netip.AddrPort, path, body string, first chan<- struct{}, headers ...string) answer {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + to.String() + path)
	req.Header.SetMethod(method)
	req.Header.Set("Authorization", "Bearer "+local.Teams[0].Key)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	req.SetConnectionClose()
	req.SetBodyString(body)
	if err := client.DoTimeout(&req, &resp, answerLimit); err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.CloseBodyStream() }() // An open one keeps its connection.
	var text strings.Builder
	lines := bufio.NewScanner(resp.BodyStream())
	for lines.Scan() {
		if first != nil {
			close(first)
			first = nil
		}
		text.WriteString(lines.Text() + "\n")
	}
	return answer{status: resp.StatusCode(), body: text.String(), err: lines.Err()}
}

func get(to netip.AddrPort, path string) answer {
	return send("GET", to, path, "", nil)
}

// chat asks for a streamed answer; first closes when its first line has come.
func chat(to netip.AddrPort, tokens int, first chan<- struct{}) answer {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, local.Model, tokens)
	return send("POST", to, "/v1/chat/completions", body, first)
}

// buy calls the service under a key.
func buy(to netip.AddrPort, key string) answer {
	return send("POST", to, local.CallPath, "{}", nil, "Idempotency-Key", key)
}

// checkWhole checks that a streamed answer has all its tokens and its end.
func checkWhole(t *testing.T, got answer, tokens int) {
	t.Helper()
	whole := strings.HasSuffix(got.body, "data: [DONE]\n\n") && strings.Count(got.body, "\"content\":\"") == tokens+1
	if got.err != nil || got.status != fasthttp.StatusOK || !whole {
		t.Errorf("the answer is not whole: status %d, error %v, body %s", got.status, got.err, got.body)
	}
}

// vars is what the tests read of a router's variables.
type vars struct {
	Cells map[string]struct {
		StakesHeld int `json:"stakes_held"`
	} `json:"cells"`
	Peers struct {
		Out map[string]struct {
			Messages int `json:"messages"`
		} `json:"out"`
	} `json:"peers"`
}

func (r *routerProgram) vars() vars {
	var read vars
	_ = json.Unmarshal([]byte(get(r.operator, "/debug/vars").body), &read) // A router that is down dispatches nothing.
	return read
}

// roles returns the router that dispatches the engine pool with all stakes, and the other one.
func (f *fleet) roles() (dispatcher, entry *routerProgram) {
	f.await("dispatcher that holds both stakes", func() bool {
		for i, one := range f.routers {
			if one.vars().Cells[local.EnginePool].StakesHeld == len(f.routers) {
				dispatcher, entry = one, f.routers[1-i]
				return true
			}
		}
		return false
	})
	return dispatcher, entry
}

// stream starts a streamed answer and waits for its first line.
func stream(to netip.AddrPort, tokens int) <-chan answer {
	first, got := make(chan struct{}), make(chan answer, 1)
	go func() { got <- chat(to, tokens, first) }()
	select {
	case <-first:
	case <-time.After(answerLimit):
	}
	return got
}

// TestProcesses runs the whole path as separate processes, and then lets them fail one after the other.
func TestProcesses(t *testing.T) {
	f := newFleet(t)
	time.Sleep(member.DefaultDamping + time.Second) // Young processes dispatch only for want of others, so roles may change before.
	dispatcher, entry := f.roles()
	t.Run("an answer under a grant of the other router", func(t *testing.T) {
		is := is.New(t)
		before := dispatcher.vars().Peers.Out["grants"].Messages
		checkWhole(t, chat(entry.callers, 10, nil), 10)
		is.True(dispatcher.vars().Peers.Out["grants"].Messages > before)
	})
	t.Run("a service's call", func(t *testing.T) {
		got := send("POST", entry.callers, local.CallPath, "{}", nil)
		if got.err != nil || !strings.Contains(got.body, `"number":1`) {
			t.Errorf("status %d, error %v, body %s", got.status, got.err, got.body)
		}
	})
	t.Run("settings that are read again", func(t *testing.T) {
		is := is.New(t)
		running := stream(entry.callers, 50)
		is.NoErr(entry.Process.Signal(syscall.SIGHUP))
		checkWhole(t, <-running, 50)
		checkWhole(t, chat(entry.callers, 5, nil), 5)
	})
	t.Run("a dispatcher that is stopped and goes on", func(t *testing.T) {
		is := is.New(t)
		running := stream(entry.callers, 50)
		is.NoErr(dispatcher.Process.Signal(syscall.SIGSTOP))
		checkWhole(t, chat(entry.callers, 5, nil), 5)
		checkWhole(t, <-running, 50)
		is.NoErr(dispatcher.Process.Signal(syscall.SIGCONT))
		checkWhole(t, chat(entry.callers, 5, nil), 5)
		checkWhole(t, chat(dispatcher.callers, 5, nil), 5)
	})
	t.Run("a dispatcher that is killed in the middle of a keyed call", func(t *testing.T) {
		is := is.New(t)
		running := stream(entry.callers, 50)
		lost := make(chan answer, 1)
		go func() { lost <- buy(dispatcher.callers, "visit-1") }()
		time.Sleep(callTime / 2)
		is.NoErr(dispatcher.Process.Kill())
		checkWhole(t, <-running, 50)
		checkWhole(t, chat(entry.callers, 5, nil), 5)
		is.True((<-lost).err != nil)
		is.Equal(buy(entry.callers, "visit-1").status, fasthttp.StatusConflict) // It may have run, and does not run again.
		next := buy(entry.callers, "visit-2")
		if !strings.Contains(next.body, `"number":3`) { // The service's own count of what it ran.
			t.Errorf("the call after the lost one: status %d, error %v, body %s", next.status, next.err, next.body)
		}
	})
	t.Run("a graceful shutdown with a stream in flight", func(t *testing.T) {
		is := is.New(t)
		running := stream(entry.callers, 50)
		is.NoErr(entry.Process.Signal(syscall.SIGTERM))
		checkWhole(t, <-running, 50)
		select {
		case err := <-entry.ended:
			is.NoErr(err) // The exit status is 0.
		case <-time.After(startLimit):
			t.Errorf("the router has not ended within %v", startLimit)
		}
	})
}
