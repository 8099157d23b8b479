package stops_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	answerLimit  = 12 * time.Second // answerLimit is how long a caller waits for an answer; it is longer than all limits of a router.
	connectLimit = 3 * time.Second
	maxPause     = 400 * time.Millisecond // maxPause limits the time between two requests of a caller.
	minPart      = 50 * time.Millisecond  // minPart and maxPart limit the time between the two parts of a request.
	maxPart      = 300 * time.Millisecond
	reconnect    = 100 * time.Millisecond // reconnect is the time between two attempts to connect.
)

// Kinds of requests.
const (
	safeRequest   = "safe"
	onceRequest   = "once" // onceRequest may not be repeated.
	wholeRequest  = "whole"
	streamRequest = "stream"
)

var kinds = []string{safeRequest, onceRequest, wholeRequest, streamRequest}

// outcome is what became of one request.
type outcome struct {
	mark, kind string
	router     int
	earlier    int       // earlier is the number of requests before it on the connection.
	sent       time.Time // sent is when the last byte was written; zero if the request was not written completely.
	ended      time.Time // ended is when the answer or the connection ended.
	status     int       // status is zero if no answer began.
	notRun     bool      // notRun means that a refusal promised that the request has not run.
	err        error     // err is nil if the answer is complete.
}

// callers are the callers of one soak.
type callers struct {
	addresses []netip.AddrPort
	longEach  int // longEach is the number of streams among which one outlasts the grace period; zero means none.
	serial    atomic.Int64

	mu         sync.Mutex
	outcomes   []outcome
	unconnects int // unconnects counts failed attempts to connect.
}

// caller uses one connection at a time; after each failure it connects anew.
type caller struct {
	all      *callers
	random   *rand.Rand
	router   int
	single   bool // single means that each request has a connection of its own.
	inParts  bool // inParts means that requests are sent in two parts.
	conn     net.Conn
	incoming *bufio.Reader
	earlier  int // earlier is the number of requests that were sent on conn.
}

// run sends requests until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	defer c.close()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if c.conn == nil && !c.connect() {
			time.Sleep(reconnect)
			continue
		}
		c.request()
		if c.single {
			c.close()
		}
		time.Sleep(randomUpTo(c.random, maxPause))
	}
}

func (c *caller) connect() bool {
	conn, err := net.DialTimeout("tcp", c.all.addresses[c.router].String(), connectLimit)
	if err != nil {
		c.all.mu.Lock()
		defer c.all.mu.Unlock()
		c.all.unconnects++
		return false
	}
	c.conn, c.incoming, c.earlier = conn, bufio.NewReader(conn), 0
	return true
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// draw returns a random request.
func (c *caller) draw() (string, job) {
	kind := kinds[c.random.IntN(len(kinds))]
	asked := job{Mark: strconv.FormatInt(c.all.serial.Add(1), 10), WorkMS: 5 + c.random.IntN(60)}
	switch kind {
	case wholeRequest:
		asked.Model = model
	case streamRequest:
		asked.Model, asked.Stream, asked.Events = model, true, 2+c.random.IntN(8)
		if c.all.longEach > 0 && c.random.IntN(c.all.longEach) == 0 {
			asked.WorkMS, asked.Events = 50, 80
		}
	}
	return kind, asked
}

// request sends one request, reads its answer and records the outcome.
func (c *caller) request() {
	kind, asked := c.draw()
	one := outcome{mark: asked.Mark, kind: kind, router: c.router, earlier: c.earlier}
	c.earlier++
	keep := false
	if one.err = c.send(kind, asked); one.err == nil {
		one.sent = time.Now()
		keep, one.err = c.receive(&one)
	}
	one.ended = time.Now()
	if !keep {
		c.close()
	}
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.all.outcomes = append(c.all.outcomes, one)
}

// send writes a request, in two parts if the caller does so.
func (c *caller) send(kind string, asked job) error {
	body, err := json.Marshal(asked)
	if err != nil {
		return err
	}
	text := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", paths[kind], key, len(body), body)
	if c.inParts {
		first := 1 + c.random.IntN(len(text)-1)
		if _, err := c.conn.Write(text[:first]); err != nil {
			return err
		}
		time.Sleep(minPart + randomUpTo(c.random, maxPart-minPart))
		text = text[first:]
	}
	_, err = c.conn.Write(text)
	return err
}

var errNoEnd = errors.New("the stream has no end")

// receive reads an answer and reports whether the connection may be used again.
func (c *caller) receive(one *outcome) (keep bool, err error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(answerLimit)); err != nil {
		return false, err
	}
	resp, err := http.ReadResponse(c.incoming, nil)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	one.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, err
	}
	var refusal struct {
		Error struct {
			NotRun bool `json:"not_run"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &refusal) // Answers of endpoints have other fields.
	one.notRun = refusal.Error.NotRun
	isStream := one.kind == streamRequest && one.status == http.StatusOK
	if isStream && !bytes.HasSuffix(body, []byte(endOfStream)) && !bytes.Contains(body, []byte("event: error")) {
		return false, errNoEnd
	}
	return !resp.Close, nil
}

// randomUpTo returns a random duration below limit.
func randomUpTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}
