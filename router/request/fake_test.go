package request_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/core/cell"
	"ryelug/io/caller"
	"ryelug/router/request"
)

// fakeEndpoint reads requests and leaves the answering, byte by byte, to a script.
type fakeEndpoint struct {
	ln     net.Listener
	start  string
	script func(conn net.Conn, req *fasthttp.Request, nth int) bool // script tells whether to keep the connection.

	mu   sync.Mutex
	seen []string       // seen lists the ids of requests that were read.
	runs map[string]int // runs counts runs by request id.
}

func newFakeEndpoint(t testing.TB, ln net.Listener, script func(net.Conn, *fasthttp.Request, int) bool) *fakeEndpoint {
	f := &fakeEndpoint{ln: ln, start: "s1", script: script, runs: map[string]int{}}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go f.serve(conn)
		}
	}()
	return f
}

func (f *fakeEndpoint) address() netip.AddrPort { return f.ln.Addr().(*net.TCPAddr).AddrPort() }

func (f *fakeEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for keep := true; keep; {
		req := &fasthttp.Request{}
		if req.Read(reader) != nil {
			return
		}
		if string(req.RequestURI()) == "/load" {
			write(conn, "application/json", "", fmt.Sprintf(`{"start":%q}`, f.start))
			continue
		}
		id := string(req.Header.Peek("X-Request-Id"))
		f.mu.Lock()
		f.seen = append(f.seen, id)
		nth := len(f.seen)
		f.mu.Unlock()
		keep = f.script(conn, req, nth)
	}
}

func (f *fakeEndpoint) run(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[id]++
}

func (f *fakeEndpoint) runsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

func (f *fakeEndpoint) sends() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.seen)
}

func write(conn net.Conn, contentType, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", contentType, id, len(body), body)
}

func requestID(req *fasthttp.Request) string { return string(req.Header.Peek("X-Request-Id")) }

// target is an endpoint that fakeGrants grants.
type target interface {
	address() netip.AddrPort
	startID() cell.StartID
}

func (f *fakeEndpoint) startID() cell.StartID { return cell.StartID(f.start) }

// fakeGrants grants the endpoints in turn, at once, and keeps how attempts ended.
type fakeGrants struct {
	endpoints []target
	valid     time.Duration

	mu    sync.Mutex
	late  int // late is the number of grants to come that have expired already.
	asked int
	ends  []cell.Outcome
	cost  cell.Cost // cost is that of the latest end.
}

func (g *fakeGrants) Ask(_ context.Context, wanted request.Wanted) (request.Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range g.endpoints {
		n := g.asked % len(g.endpoints)
		g.asked++
		id := cell.EndpointID(fmt.Sprintf("e%d", n))
		if id != wanted.Avoid || len(g.endpoints) == 1 {
			expires := time.Now()
			if g.late--; g.late < 0 {
				expires = expires.Add(g.valid)
			}
			return &fakePermit{grants: g, id: id, endpoint: g.endpoints[n], start: g.endpoints[n].startID(), expires: expires}, nil
		}
	}
	return nil, context.Canceled
}

// ended waits for n attempts to end, since a refusal goes out before its permit ends.
func (g *fakeGrants) ended(n int) []cell.Outcome {
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		g.mu.Lock()
		ends := append([]cell.Outcome(nil), g.ends...)
		g.mu.Unlock()
		if len(ends) >= n || time.Now().After(deadline) {
			return ends
		}
	}
}

type fakePermit struct {
	grants   *fakeGrants
	id       cell.EndpointID
	endpoint target
	start    cell.StartID
	expires  time.Time
}

func (p *fakePermit) Endpoint() (cell.EndpointID, netip.AddrPort, cell.StartID) {
	return p.id, p.endpoint.address(), p.start
}
func (p *fakePermit) Expires() time.Time       { return p.expires }
func (p *fakePermit) Attempt() cell.AttemptID  { return 1 }
func (p *fakePermit) Fetch() netip.AddrPort    { return netip.AddrPort{} }
func (p *fakePermit) Predicted() time.Duration { return 0 }
func (p *fakePermit) Begun(time.Duration)      {}
func (p *fakePermit) Progress(cell.Cost)       {}

func (p *fakePermit) AwaitCounted(context.Context) bool { return true }
func (p *fakePermit) End(outcome cell.Outcome, cost cell.Cost, _ time.Duration) {
	p.grants.mu.Lock()
	defer p.grants.mu.Unlock()
	p.grants.ends, p.grants.cost = append(p.grants.ends, outcome), cost
}

// handler serves every request on one route.
type handler struct {
	runner *request.Runner
	route  request.Route
}

func (h *handler) Serve(ctx context.Context, req *caller.Request, w caller.Writer) {
	h.runner.Serve(ctx, h.route, req, w)
}
