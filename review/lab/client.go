package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	method, path, id string
	header           string // header holds further lines, each with its end.
	body             string
	deadline         time.Duration
	tenantKey        string
}

// answer is what a client has got.
type answer struct {
	status int
	header http.Header
	body   string
	whole  bool // whole says that the answer is complete by its framing.
	closes bool // closes says that the connection ends with the answer.
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%d after %d ms, whole %v, %d bytes", a.status, a.took.Milliseconds(), a.whole, len(a.body))
}

const host = "lab.example"

func (r request) bytes() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n", r.method, r.path, host, r.id)
	fmt.Fprintf(&b, "X-Deadline-Ms: %d\r\nApi-Key: %s\r\n%s", r.deadline.Milliseconds(), r.tenantKey, r.header)
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	return b.String()
}

// send sends a request on a new connection and reads its answer; patience is how long the client waits.
func (l *lab) send(front string, r request, patience time.Duration) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(began.Add(patience))
	if _, err := io.WriteString(conn, r.bytes()); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn), r.method)
}

func readAnswer(reader *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), whole: err == nil, closes: resp.Close, err: err}
}
