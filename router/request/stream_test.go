package request_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/core/cell"
	"ryelug/io/endpoint"
	"ryelug/router/request"
	"ryelug/standin/bubble"
	standin "ryelug/standin/endpoint"
	"ryelug/standin/engine"
	"ryelug/standin/network"
)

// servedEngine is a stand-in engine and the address at which it listens.
type servedEngine struct {
	*engine.Engine
	addr netip.AddrPort
}

func (e *servedEngine) address() netip.AddrPort { return e.addr }
func (e *servedEngine) startID() cell.StartID   { return cell.StartID(e.Load().Start) }

// startEngine starts an engine that ends with the test.
func startEngine(h *harness, config engine.Config) *servedEngine {
	h.Helper()
	ln := h.listen()
	config.WarmLimit = 10_000
	e := &servedEngine{engine.New(config), ln.Addr().(*net.TCPAddr).AddrPort()}
	go func() { _ = e.Serve(ln) }()
	h.Cleanup(e.Close)
	return e
}

// streamEnd is how a stream ended, as its caller saw it.
type streamEnd string

const (
	wholeStream   streamEnd = "whole"
	errorEvent    streamEnd = "error event"
	refusedStream streamEnd = "refused"
	unmarkedEnd   streamEnd = "end without a marker"
	wrongContent  streamEnd = "events crossed, repeated or missing"
)

// readStream reads a stream and returns how it ended. Every event must carry the request's ID and
// follow the event before it.
func readStream(resp *http.Response, tokens int) streamEnd {
	id, lines, want := resp.Header.Get("X-Request-Id"), bufio.NewScanner(resp.Body), 1
	if resp.StatusCode != http.StatusOK {
		return refusedStream
	}
	for lines.Scan() {
		switch line := lines.Text(); {
		case line == "event: error":
			return errorEvent
		case line == "data: [DONE]":
			if want != tokens+2 { // Each token is one event, and the usage one more.
				return wrongContent
			}
			return wholeStream
		case strings.HasPrefix(line, "id: "):
			if line != fmt.Sprintf("id: %d", want) {
				return wrongContent
			}
			want++
		case strings.HasPrefix(line, "data: ") && want <= tokens+1:
			if !strings.Contains(line, fmt.Sprintf("%q", fmt.Sprintf("%s:%d ", id, want-1))) {
				return wrongContent
			}
		}
	}
	return unmarkedEnd
}

// lostRuns counts the runs that were in progress when the engine restarted.
func lostRuns(e *servedEngine) int {
	lost, broken := 0, 0
	for _, event := range e.History().Events {
		switch event.Kind {
		case standin.BrokenRun:
			broken++
			continue
		case standin.Restarted:
			lost += broken
		}
		broken = 0
	}
	return lost
}

// startFaultyEngine starts an engine that breaks streams, sends answers of other requests, drops
// and refuses requests, and stops answering. It returns the number of faults to come.
func startFaultyEngine(t *testing.T, n *network.Network, number, tokens int) (e *servedEngine, faults int) {
	t.Helper()
	e = &servedEngine{addr: netip.MustParseAddrPort(fmt.Sprintf("192.0.2.%d:8000", number))}
	e.Engine = engine.New(engine.Config{
		Name: fmt.Sprintf("e%d", number), WarmLimit: 10_000, Tokens: tokens,
		FirstToken: 20 * time.Millisecond, TokenGap: 10 * time.Millisecond,
	})
	ln, err := n.Listen(e.addr)
	is.New(t).NoErr(err)
	go func() { _ = e.Serve(ln) }()
	for range 12 {
		for _, fault := range []standin.Fault{&standin.Break{After: 3}, &standin.Cross{}, &standin.Drop{}, &standin.Refuse{}, &standin.Break{After: 20}, &standin.Break{}} {
			e.Inject(fault, nil, nil, nil, nil)
			faults++
		}
	}
	e.Inject(&standin.Mute{}, &standin.Mute{})
	return e, faults + 2
}

// streamAll sends all requests at once and counts how their streams end.
func streamAll(t *testing.T, client *http.Client, url string, streams, tokens int) map[streamEnd]int {
	ends, group, mu := map[streamEnd]int{}, sync.WaitGroup{}, sync.Mutex{}
	for range streams {
		group.Go(func() {
			resp, err := client.Post(url, "application/json", strings.NewReader(`{"model":"m","stream":true}`))
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			end := readStream(resp, tokens)
			mu.Lock()
			defer mu.Unlock()
			ends[end]++
		})
	}
	group.Wait()
	return ends
}

// The fasthttp library updates the date in a goroutine that never ends, so it must start outside of
// a synctest bubble.
func init() { (&fasthttp.ResponseHeader{}).Header() }

// TestThousandStreams runs a thousand streams at once over three faulty engines. Without restarts
// every stream must be complete. With restarts a stream may end in an error event, if its engine
// restarted during the run or between a break and its resume.
func TestThousandStreams(t *testing.T) {
	const streams, tokens, engines = 1000, 24, 3
	for name, restarts := range map[string]bool{"faults": false, "restarts": true} {
		t.Run(name, func(t *testing.T) {
			defer bubble.OneProcessor()()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := network.New(network.Config{})
				grants := &fakeGrants{valid: 5 * time.Second}
				var served []*servedEngine
				faults := 0
				for number := range engines {
					e, injected := startFaultyEngine(t, n, number+1, tokens)
					defer e.Close()
					grants.endpoints = append(grants.endpoints, e)
					served = append(served, e)
					faults += injected
					if restarts {
						time.AfterFunc(time.Duration(100*(number+1))*time.Millisecond, e.Restart)
					}
				}
				dial := n.Dialer(netip.MustParseAddr("192.0.2.100"))
				ln, err := n.Listen(netip.MustParseAddrPort("192.0.2.100:80"))
				is.NoErr(err)
				endpoints := endpoint.New(endpoint.Config{Dial: dial, FirstTimeout: 4 * time.Second, EventTimeout: 4 * time.Second, AnswerTimeout: 6 * time.Second})
				url := serveCallersOn(t, ln, request.Config{Endpoints: endpoints, Grants: grants, RetryBurst: streams}, request.Route{Idempotent: true})
				transport := &http.Transport{DialContext: func(ctx context.Context, _, to string) (net.Conn, error) {
					return dial(ctx, netip.MustParseAddrPort(to))
				}}
				ends := streamAll(t, &http.Client{Transport: transport}, url, streams, tokens)
				transport.CloseIdleConnections()
				t.Logf("ends: %v", ends)
				lost := 0
				for _, e := range served {
					lost += lostRuns(e)
				}
				is.Equal(ends[wholeStream]+ends[errorEvent], streams)
				is.Equal(ends[errorEvent] > 0, restarts) // Restarts must end some streams early, and other faults none.
				is.True(ends[errorEvent] <= lost+faults)
				ln.Close()
				time.Sleep(time.Minute) // Lets idle connections time out.
			})
		})
	}
}
