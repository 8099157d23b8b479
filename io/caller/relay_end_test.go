package caller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"ryelug/core/neighbour"
	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/io/handover"
)

// longBody is longer than the window of a stream and than what a relay keeps.
var longBody = strings.Repeat("x", 200<<10)

// relaying is a server that relays its first connection to a stand-in for another router.
type relaying struct {
	*is.I
	t       *testing.T
	server  *caller.Server
	handler *handlerFunc
	address string
	refused chan result.Code
	ends    chan caller.Unanswered
}

// newRelaying returns a server that relays its first connection to far; change may alter its configuration.
func newRelaying(t *testing.T, far net.Conn, change func(*caller.Config)) *relaying {
	r := &relaying{I: is.New(t), t: t, handler: &handlerFunc{serve: echo}, refused: make(chan result.Code, 10), ends: make(chan caller.Unanswered, 10)}
	first := make(chan caller.Relay, 1)
	first <- caller.Relay{Conn: far, Ended: func(bool) {}}
	config := caller.Config{
		Handler: r.handler, MaxConns: 100, Refused: func(code result.Code) { r.refused <- code },
		Unanswered: func(end caller.Unanswered) { r.ends <- end },
		Elsewhere: func(time.Duration) (caller.Relay, bool) {
			select {
			case relay := <-first:
				return relay, true
			default:
				return caller.Relay{}, false
			}
		},
	}
	change(&config)
	r.server = caller.New(config)
	ln := listen(t)
	go func() { _ = r.server.Serve(ln) }()
	r.address = ln.Addr().String()
	return r
}

func unchanged(*caller.Config) {}

// post sends a request in the background, as far as the other end reads it.
func post(conn net.Conn, body string) {
	go fmt.Fprintf(conn, "POST /v1 HTTP/1.1\r\nHost: a\r\nX-Id: 7\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// assertServed checks that the server itself served the request, once.
func (r *relaying) assertServed(conn net.Conn, body string) {
	r.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	r.NoErr(err)
	got, err := io.ReadAll(resp.Body)
	r.NoErr(err)
	r.Equal(resp.StatusCode, http.StatusOK)
	r.True(string(got) == body)
	r.Equal(r.handler.calls.Load(), int64(1))
	r.assertNoReport()
}

// assertUnknown checks that the answer promises nothing, is counted, and is the last one on the connection.
func (r *relaying) assertUnknown(conn net.Conn) {
	r.Helper()
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	r.NoErr(err)
	var refusal struct {
		Error struct {
			Code   result.Code `json:"code"`
			NotRun bool        `json:"not_run"`
		} `json:"error"`
	}
	r.NoErr(json.NewDecoder(resp.Body).Decode(&refusal))
	r.Equal(resp.StatusCode, http.StatusBadGateway)
	r.Equal(refusal.Error.Code, result.OutcomeUnknown)
	r.True(!refusal.Error.NotRun)
	r.True(resp.Close)
	_, err = reader.ReadByte()
	r.Equal(err, io.EOF)
	r.Equal(<-r.refused, result.OutcomeUnknown)
	r.Equal(r.handler.calls.Load(), int64(0))
	r.assertNoReport()
}

// assertNoReport checks that no connection was reported as ended without an answer.
func (r *relaying) assertNoReport() {
	r.Helper()
	r.Equal(len(r.ends), 0)
}

// linked is an Acceptor, whose streams nobody accepts unless a test does, and a Dialer with a link to it.
type linked struct {
	acceptor *handover.Acceptor
	dialer   *handover.Dialer
	address  netip.AddrPort
	cut      context.CancelFunc // cut ends the links.
}

func newLinked(t *testing.T) *linked {
	ln := listen(t)
	ctx, cut := context.WithCancel(t.Context())
	l := &linked{address: netip.MustParseAddrPort(ln.Addr().String()), cut: cut}
	l.acceptor = handover.NewAcceptor(handover.AcceptorConfig{
		Listener: ln, Identity: handover.Identity{Router: "far/1", Key: key}, Load: func() int { return 0 }, Log: quiet(),
	})
	go func() { _ = l.acceptor.Run(ctx) }()
	l.dialer = handover.NewDialer(handover.DialerConfig{
		Identity: handover.Identity{Router: "near/1", Key: key}, Log: quiet(),
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address.String())
		},
	})
	t.Cleanup(l.dialer.Close)
	one := neighbour.Router{Host: "far", Address: l.address}
	for up := false; !up; time.Sleep(time.Millisecond) {
		l.dialer.SetTargets(time.Now(), []neighbour.Router{one})
		_, up = l.dialer.Load(&one)
	}
	return l
}

// open opens a stream to the Acceptor.
func (l *linked) open(is *is.I) net.Conn {
	is.Helper()
	stream, ok := l.dialer.Open(l.address, 0)
	is.True(ok)
	return stream
}

// accept returns the next stream that was opened.
func (l *linked) accept(is *is.I) net.Conn {
	is.Helper()
	stream, err := l.acceptor.Accept()
	is.NoErr(err)
	return stream
}

const (
	// settle is how long a test waits for bytes on their way between two routers of this process.
	settle = 50 * time.Millisecond
	// lossNotice is how long a test waits for a router to notice the loss of a link. On a busy machine 50 ms were too short in 2 of 20
	// runs: a request that is passed on before has an unknown outcome.
	lossNotice = 500 * time.Millisecond
)

// Guards against closing a connection without an answer because the router that it was handed over to closed it unread.
func TestRelayedRequestIsServedHereIfTheOtherRouterDidNotReadIt(t *testing.T) {
	const queue = 1024 // queue is the number of streams that an Acceptor queues.
	for name, end := range map[string]func(*is.I, *linked){
		"shutdown while the stream is queued":                        func(is *is.I, l *linked) { is.NoErr(l.acceptor.Close()) },
		"shutdown after the stream was accepted, its request unread": func(is *is.I, l *linked) { is.NoErr(l.accept(is).Close()) },
	} {
		for size, body := range map[string]string{"short": "{}", "long": longBody} {
			t.Run(name+", "+size, func(t *testing.T) {
				is, l := is.New(t), newLinked(t)
				r := newRelaying(t, l.open(is), unchanged)
				conn := dial(t, r.address)
				post(conn, body)
				time.Sleep(settle)
				end(is, l)
				r.assertServed(conn, body)
			})
		}
	}
	t.Run("its queue is full", func(t *testing.T) {
		is, l := is.New(t), newLinked(t)
		for range queue {
			l.open(is)
		}
		r := newRelaying(t, l.open(is), unchanged)
		conn := dial(t, r.address)
		post(conn, "{}")
		r.assertServed(conn, "{}")
	})
	t.Run("the link is lost before the request", func(t *testing.T) {
		is, l := is.New(t), newLinked(t)
		r := newRelaying(t, l.open(is), unchanged)
		conn := dial(t, r.address)
		time.Sleep(settle)
		l.cut()
		time.Sleep(lossNotice)
		post(conn, "{}")
		r.assertServed(conn, "{}")
	})
	t.Run("it closes after an interim answer", func(t *testing.T) {
		is, l := is.New(t), newLinked(t)
		r := newRelaying(t, l.open(is), unchanged)
		conn := dial(t, r.address)
		_, err := fmt.Fprint(conn, "POST /v1 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		is.NoErr(err)
		stream := l.accept(is)
		_, err = http.ReadRequest(bufio.NewReader(stream))
		is.NoErr(err)
		_, err = io.WriteString(stream, "HTTP/1.1 100 Continue\r\n\r\n")
		is.NoErr(err)
		is.NoErr(stream.Close())
		time.Sleep(settle)
		_, err = fmt.Fprint(conn, "{}")
		is.NoErr(err)
		answers := bufio.NewReader(conn)
		for status := http.StatusContinue; status != http.StatusOK; {
			resp, err := http.ReadResponse(answers, nil)
			is.NoErr(err)
			is.True(resp.StatusCode == http.StatusContinue || resp.StatusCode == http.StatusOK)
			status = resp.StatusCode
		}
		is.Equal(r.handler.calls.Load(), int64(1))
	})
	t.Run("it closes a connection of which it was sent a part", func(t *testing.T) {
		r := newRelaying(t, closingStream(10), unchanged)
		conn := dial(t, r.address)
		post(conn, "{}")
		r.assertServed(conn, "{}")
	})
}

// Guards against closing a connection without an answer although the other router may have run its request.
func TestRelayedRequestOfUnknownOutcomeIsAnswered(t *testing.T) {
	for size, body := range map[string]string{"short": "{}", "long": longBody} {
		t.Run("closed after it was read, "+size, func(t *testing.T) {
			is, l := is.New(t), newLinked(t)
			r := newRelaying(t, l.open(is), unchanged)
			conn := dial(t, r.address)
			post(conn, body)
			stream := l.accept(is)
			_, err := http.ReadRequest(bufio.NewReader(stream))
			is.NoErr(err)
			_, _ = io.CopyN(io.Discard, stream, int64(len(body)-(4<<10)))
			time.Sleep(settle)
			is.NoErr(stream.Close())
			r.assertUnknown(conn)
		})
	}
	t.Run("closed after some of it was read", func(t *testing.T) {
		is, l := is.New(t), newLinked(t)
		r := newRelaying(t, l.open(is), unchanged)
		conn := dial(t, r.address)
		post(conn, "{}")
		stream := l.accept(is)
		time.Sleep(settle)
		_, err := io.ReadFull(stream, make([]byte, 10))
		is.NoErr(err)
		is.NoErr(stream.Close())
		r.assertUnknown(conn)
	})
	t.Run("the link is lost after the request", func(t *testing.T) {
		is, l := is.New(t), newLinked(t)
		r := newRelaying(t, l.open(is), unchanged)
		conn := dial(t, r.address)
		post(conn, "{}")
		time.Sleep(settle)
		l.cut()
		r.assertUnknown(conn)
	})
	t.Run("in the callers' protocol", func(t *testing.T) {
		r := newRelaying(t, closingStream(len("POST /v1 HTTP/1.1\r\nHost: a\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\n{}")), func(config *caller.Config) {
			config.Protocol = &caller.Protocol{
				Decode: func(from *fasthttp.RequestHeader, req *caller.Request) { req.ID = string(from.Peek("X-Id")) },
				Refuse: func(to *fasthttp.Response, req *caller.Request, refusal caller.Refusal) {
					to.SetStatusCode(http.StatusBadGateway)
					to.SetBodyString(fmt.Sprintf("%s %d %v", req.ID, refusal.Code, refusal.NotRun))
				},
			}
		})
		conn := dial(t, r.address)
		post(conn, "{}")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		r.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		r.NoErr(err)
		r.Equal(string(body), "7 2001 false")
	})
}

// Guards against a connection that is closed without an answer because no connection is left to serve its request here.
func TestRelayedRequestIsRefusedIfAllConnectionsAreInUse(t *testing.T) {
	is, l := is.New(t), newLinked(t)
	release := make(chan struct{})
	defer close(release)
	r := newRelaying(t, l.open(is), func(config *caller.Config) {
		config.MaxConns = 1
		config.Handler = &handlerFunc{serve: func(context.Context, *caller.Request, caller.Writer) { <-release }}
	})
	conn := dial(t, r.address)
	post(conn, "{}")
	time.Sleep(settle)
	post(dial(t, r.address), "{}") // The second connection is served here and uses up the limit.
	time.Sleep(settle)
	is.NoErr(l.acceptor.Close())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Retry-After"), "1")
	is.Equal(<-r.refused, result.Overloaded)
}

// Guards against a second answer after one that has begun.
func TestBegunAnswerOfRelayIsNotFollowedByAnother(t *testing.T) {
	const begun = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nha"
	is, l := is.New(t), newLinked(t)
	r := newRelaying(t, l.open(is), unchanged)
	conn := dial(t, r.address)
	post(conn, "{}")
	stream := l.accept(is)
	time.Sleep(settle)
	_, err := io.WriteString(stream, begun)
	is.NoErr(err)
	is.NoErr(stream.Close())
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(string(got), begun)
	is.Equal(r.handler.calls.Load(), int64(0))
}

// Guards against losing an answer that the other router gave before it had read the whole request.
func TestEarlyAnswerOfRelayIsNotLost(t *testing.T) {
	const early, times = "HTTP/1.1 413 Too Large\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno", 20
	for range times {
		is, l := is.New(t), newLinked(t)
		r := newRelaying(t, l.open(is), unchanged)
		conn := dial(t, r.address)
		post(conn, longBody)
		stream := l.accept(is)
		_, err := http.ReadRequest(bufio.NewReader(stream))
		is.NoErr(err)
		_, err = io.WriteString(stream, early)
		is.NoErr(err)
		is.NoErr(stream.Close())
		got, err := io.ReadAll(conn)
		is.NoErr(err)
		is.Equal(string(got), early)
	}
}

// Guards against an answer on a connection on which nothing was sent.
func TestRelayWithoutRequestEndsSilently(t *testing.T) {
	is, l := is.New(t), newLinked(t)
	r := newRelaying(t, l.open(is), func(config *caller.Config) { config.ReadTimeout = settle })
	conn := dial(t, r.address)
	time.Sleep(settle)
	is.NoErr(l.acceptor.Close())
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(len(got), 0)
	r.assertNoReport()
	is.Equal(len(r.refused), 0)
}
