package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is one request that has reached a server.
type call struct {
	server *server
	conn   net.Conn
	req    *http.Request
	body   []byte
	id     string // id is the X-Attempt-Id.
	at     time.Time
}

// server is a stand-in of one server of a service; each start of it is a new incarnation.
type server struct {
	lab     *lab
	id      string
	service string
	zone    string
	slots   int
	born    int64
	handle  func(*call) (keep bool) // handle answers a call and reports whether the connection goes on.

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	addr     string
	state    string
	coldMs   int64
	leaving  bool // leaving adds Server-Leaving to all answers.
}

func (s *server) entry() map[string]any {
	return map[string]any{
		"service": s.service, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"coldLeftMs": s.coldMs, "born": s.born, "seq": 1,
	}
}

// start listens, at the address of a start before if there was one, and registers the server.
func (s *server) start() {
	if s.addr == "" {
		s.addr = "127.0.0.1:" + freePort()
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	s.born = time.Now().UnixMilli()
	s.listener, s.addr, s.conns, s.down, s.state = ln, ln.Addr().String(), make(map[net.Conn]bool), false, "ready"
	s.mu.Unlock()
	s.lab.logf("server %s (%s) starts at %s", s.id, s.service, s.addr)
	go s.accept(ln)
	s.register()
}

func (s *server) register() { s.lab.store.put("servers", s.id, s.entry()) }

func (s *server) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.down || s.listener != ln {
			s.mu.Unlock()
			conn.Close()
			continue
		}
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// crash ends the server as a process that dies does: its connections are reset.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	s.listener.Close()
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

func (s *server) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		c := &call{server: s, conn: conn, req: req, body: body, id: req.Header.Get("X-Attempt-Id"), at: time.Now()}
		switch {
		case req.URL.Path == "/health":
			c.write(200, "X-Instance-Id: "+s.id+"\r\n", "")
		case req.URL.Path == "/v1/kv-list":
			c.write(200, "Content-Type: application/json\r\n", `{"epoch":1,"nextToken":1,"held":[]}`)
		case req.URL.Path == "/v1/report":
			c.write(200, "Content-Type: application/json\r\n", `{"stage":"both","models":[],"busy":false,"seq":1,"waiting":0,"running":0,"kvUsed":0,"kvTotal":600000,"handles":0}`)
		case req.Header.Get("X-Expect-Instance") != "" && req.Header.Get("X-Expect-Instance") != s.id:
			s.lab.logf("server %s turns %s away: it is for %s", s.id, c.id, req.Header.Get("X-Expect-Instance"))
			c.write(421, "X-Attempt-Id: "+c.id+"\r\nX-Instance-Id: "+s.id+"\r\n", "")
		default:
			if !s.handle(c) {
				return
			}
		}
	}
}

// write writes a whole answer with a length.
func (c *call) write(status int, header, body string) {
	if c.server.leaving {
		header += "Server-Leaving: 1\r\n"
	}
	fmt.Fprintf(c.conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// ok answers a call of a service.
func (c *call) ok(body string) bool {
	c.write(200, c.seal(), body)
	return true
}

func (c *call) seal() string {
	return "X-Attempt-Id: " + c.id + "\r\nX-Server-Seal: " + c.server.id + "." + c.id + "\r\n"
}

// head begins a stream in chunks.
func (c *call) head() {
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", c.seal())
}

func (c *call) chunk(data string) error {
	_, err := fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(data), data)
	return err
}

// piece returns one event of a stream.
func (c *call) piece(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, c.id, n)
}

// last returns the number of the event after which a call goes on.
func (c *call) last() int {
	n := 0
	_, _ = fmt.Sscanf(c.req.Header.Get("Last-Event-Id"), "%d", &n)
	return n
}

// stream answers a call with events, a pause before each.
func (c *call) stream(events int, gap time.Duration) bool {
	c.head()
	for n := c.last() + 1; n <= events; n++ {
		time.Sleep(gap)
		if c.chunk(c.piece(n)) != nil {
			return false
		}
	}
	_, err := io.WriteString(c.conn, "0\r\n\r\n")
	return err == nil
}

// parts returns the names of the parts of the call's prompt.
func (c *call) parts() []string {
	var names []string
	for part := range strings.SplitSeq(c.req.Header.Get("X-Prompt-Prefix"), ",") {
		name, _, _ := strings.Cut(part, ":")
		names = append(names, name)
	}
	return names
}
