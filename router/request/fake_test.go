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

// fakeEndpoint reads requests and lets a script write each answer, byte by byte if need be.
type fakeEndpoint struct {
	ln     net.Listener
	start  string
	script func(conn net.Conn, req *fasthttp.Request, nth int) bool // answers the request, the nth from 1, and reports whether to keep the connection open

	mu          sync.Mutex
	receivedIDs []string       // IDs of the requests read, in order
	runs        map[string]int // number of runs by request ID
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
		f.receivedIDs = append(f.receivedIDs, id)
		nth := len(f.receivedIDs)
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
	return len(f.receivedIDs)
}

func write(conn net.Conn, contentType, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", contentType, id, len(body), body)
}

func requestID(req *fasthttp.Request) string { return string(req.Header.Peek("X-Request-Id")) }

// grantedEndpoint is an endpoint that fakeGrants can grant.
type grantedEndpoint interface {
	address() netip.AddrPort
	startID() cell.StartID
}

func (f *fakeEndpoint) startID() cell.StartID { return cell.StartID(f.start) }

// fakeGrants grants the endpoints in turn without waiting, and records the outcomes of attempts.
type fakeGrants struct {
	endpoints []grantedEndpoint
	valid     time.Duration

	mu            sync.Mutex
	expiredGrants int // how many of the next grants are already expired
	asked         int // endpoints considered so far
	outcomes      []cell.Outcome
	closed        cell.EndpointID // the endpoint that the router's own configuration closes
	cost          cell.Cost       // cost of the attempt that ended last
}

func (g *fakeGrants) Ask(_ context.Context, wanted request.GrantRequest) (request.Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range g.endpoints {
		n := g.asked % len(g.endpoints)
		g.asked++
		id := cell.EndpointID(fmt.Sprintf("e%d", n))
		if id != wanted.Avoid || len(g.endpoints) == 1 {
			expires := time.Now()
			if g.expiredGrants--; g.expiredGrants < 0 {
				expires = expires.Add(g.valid)
			}
			return &fakePermit{grants: g, id: id, endpoint: g.endpoints[n], start: g.endpoints[n].startID(), expires: expires}, nil
		}
	}
	return nil, context.Canceled
}

// waitForOutcomes waits up to two seconds for n attempts to end and returns their outcomes. A
// refused caller gets its answer before the permit ends.
func (g *fakeGrants) waitForOutcomes(n int) []cell.Outcome {
	for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(time.Millisecond) {
		g.mu.Lock()
		outcomes := append([]cell.Outcome(nil), g.outcomes...)
		g.mu.Unlock()
		if len(outcomes) >= n || time.Now().After(deadline) {
			return outcomes
		}
	}
}

// fakePermit is a grant of fakeGrants, which records its end.
type fakePermit struct {
	grants   *fakeGrants
	id       cell.EndpointID
	endpoint grantedEndpoint
	start    cell.StartID
	expires  time.Time
}

func (p *fakePermit) Endpoint() (cell.EndpointID, netip.AddrPort, cell.StartID) {
	return p.id, p.endpoint.address(), p.start
}
func (p *fakePermit) IsOpen() bool                   { return p.id != p.grants.closed }
func (p *fakePermit) Expires() time.Time             { return p.expires }
func (p *fakePermit) Attempt() cell.AttemptID        { return 1 }
func (p *fakePermit) Fetch() netip.AddrPort          { return netip.AddrPort{} }
func (p *fakePermit) Predicted() time.Duration       { return 0 }
func (p *fakePermit) ReportFirstToken(time.Duration) {}
func (p *fakePermit) ReportTook(time.Duration)       {}
func (p *fakePermit) ReportBroken()                  {}

func (p *fakePermit) ReportLoad(cell.EndpointLoad, int, time.Duration) {}
func (p *fakePermit) ReportCost(cell.Cost)                             {}

func (p *fakePermit) AwaitConfirmed(context.Context) bool { return true }
func (p *fakePermit) End(outcome cell.Outcome, cost cell.Cost, _ time.Duration) {
	p.grants.mu.Lock()
	defer p.grants.mu.Unlock()
	p.grants.outcomes, p.grants.cost = append(p.grants.outcomes, outcome), cost
}

// handler runs every request on the same route.
type handler struct {
	runner *request.Runner
	route  request.Route
}

func (h *handler) Serve(ctx context.Context, req *caller.Request, w caller.Writer) {
	h.runner.Serve(ctx, h.route, req, w)
}
