package memory_test

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// fakeBehaviour is how a fake endpoint serves calls.
type fakeBehaviour int

const (
	answersSmall fakeBehaviour = iota // answersSmall: it reads the call and answers with a few bytes.
	answersLarge                      // answersLarge: it answers with largeAnswer bytes at once.
	streams                           // streams: it answers with a stream of events of largeEvent bytes for as long as they are read.
	readsSlowly                       // readsSlowly: it reads slowPiece bytes of the call every slowPause.
)

const (
	largeAnswer = 4 << 20
	largeEvent  = 128 << 10
	slowPiece   = 16 << 10
	slowPause   = 100 * time.Millisecond
	smallBuffer = 16 << 10 // smallBuffer is the size of a receive buffer that fills early.
	startName   = "start-1"
	loadReport  = `{"start":"` + startName + `","cold":false,"in_flight":0,"completed":1000}`
)

// fakeEndpoint is an endpoint of the product's own protocol that is warm from the start.
type fakeEndpoint struct {
	behaviour fakeBehaviour
	http      *fasthttp.Server

	mu       sync.Mutex
	listener net.Listener
	conns    []net.Conn
}

func newFakeEndpoint(behaviour fakeBehaviour) *fakeEndpoint {
	e := &fakeEndpoint{behaviour: behaviour}
	e.http = &fasthttp.Server{Handler: e.handle, StreamRequestBody: true, MaxRequestBodySize: 64 << 20, Logger: discard{}}
	return e
}

type discard struct{}

func (discard) Printf(string, ...any) {}

// Serve implements server.
func (e *fakeEndpoint) Serve(listener net.Listener) error {
	e.mu.Lock()
	e.listener = listener
	e.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		if tcp, ok := conn.(*net.TCPConn); ok && e.behaviour == readsSlowly {
			_ = tcp.SetReadBuffer(smallBuffer)
		}
		e.mu.Lock()
		e.conns = append(e.conns, conn)
		e.mu.Unlock()
		go func() {
			_ = e.http.ServeConn(conn)
			conn.Close()
		}()
	}
}

// Close implements server.
func (e *fakeEndpoint) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener != nil {
		e.listener.Close()
	}
	for _, conn := range e.conns {
		conn.Close()
	}
}

func (e *fakeEndpoint) handle(rc *fasthttp.RequestCtx) {
	if string(rc.Path()) == "/load" {
		rc.SetContentType("application/json")
		rc.SetBodyString(loadReport)
		return
	}
	rc.Response.Header.SetBytesV("X-Request-Id", rc.Request.Header.Peek("X-Request-Id"))
	if body := rc.RequestBodyStream(); body != nil {
		e.read(body)
	}
	switch e.behaviour {
	case answersLarge:
		rc.SetContentType("application/octet-stream")
		rc.Response.SetBodyRaw(largeBody)
	case streams:
		rc.SetContentType("text/event-stream")
		rc.SetBodyStream(&eventSource{}, -1)
	default:
		rc.SetContentType("application/json")
		rc.SetBodyString("{}")
	}
}

// read reads the body of a call and discards it.
func (e *fakeEndpoint) read(body io.Reader) {
	buffer := make([]byte, slowPiece)
	for {
		if _, err := io.ReadFull(body, buffer); err != nil {
			return
		}
		if e.behaviour == readsSlowly {
			time.Sleep(slowPause)
		}
	}
}

var (
	largeBody  = bytes.Repeat([]byte{'x'}, largeAnswer)
	wholeEvent = append(append([]byte("data: "), largeBody[:largeEvent]...), "\n\n"...)
)

// eventSource is an endless stream of events.
type eventSource struct{ rest []byte }

// Read implements io.Reader.
func (s *eventSource) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		s.rest = wholeEvent
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}
