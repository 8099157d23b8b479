package memory_test

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"ryelug/standin/local"
)

const (
	clientCount = 120
	sendLimit   = 15 * time.Second // sendLimit limits the time in which a client sends; what is not taken until then is not sent.
	legalBody   = 4 << 20          // legalBody is the default of max_body.
	beyondBody  = 12 << 20
)

// client is one misbehaving client: what it sends before it stops and leaves its connection open.
type client struct {
	head  string // head is the request line and the header.
	piece []byte // piece is sent count times after the head.
	count int
}

func head(fields string) string {
	return "POST " + local.CallPath + " HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer " + local.Teams[0].Key + "\r\nContent-Type: application/json\r\n" + fields
}

// announced returns a client that announces a body of the given length and sends so many bytes of it.
func announced(length, sent int) client {
	const size = 64 << 10
	whole := client{head: head(fmt.Sprintf("Content-Length: %d\r\n\r\n", length)), piece: bytes.Repeat([]byte{' '}, size), count: sent / size}
	whole.head += string(whole.piece[:sent%size])
	return whole
}

// chunked returns a client that sends bytes in chunks of the given size, without the last chunk.
func chunked(size, sent int) client {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, bytes.Repeat([]byte{' '}, size))
	batch := max(1, 4096/size) // Small chunks are sent several at a time.
	return client{head: head("Transfer-Encoding: chunked\r\n\r\n"), piece: bytes.Repeat(chunk, batch), count: sent / size / batch}
}

// clientSet is clients that are connected to one router at the same time.
type clientSet struct{ conns []net.Conn }

// open connects clientCount equal clients, which send at the same time, and returns when all have sent or given up.
// Their connections stay open until the end of the test. Clients that read nothing have small receive buffers.
func (r *routerProcess) open(one client) *clientSet {
	r.t.Helper()
	set := &clientSet{conns: make([]net.Conn, clientCount)}
	var sending sync.WaitGroup
	for i := range set.conns {
		sending.Go(func() { set.conns[i] = one.send(r.callers.String()) })
	}
	sending.Wait()
	r.t.Cleanup(func() { set.close(clientCount) })
	return set
}

// close closes the first connections at the same time.
func (s *clientSet) close(count int) {
	var closing sync.WaitGroup
	for _, conn := range s.conns[:count] {
		if conn != nil {
			closing.Go(func() { conn.Close() })
		}
	}
	closing.Wait()
}

// send connects and sends; a router may refuse the client at any time, which ends the sending. It returns nil without a connection.
func (c *client) send(to string) net.Conn {
	conn, err := net.DialTimeout("tcp", to, sendLimit)
	if err != nil {
		return nil
	}
	_ = conn.(*net.TCPConn).SetReadBuffer(smallBuffer)
	_ = conn.SetWriteDeadline(time.Now().Add(sendLimit))
	if _, err := conn.Write([]byte(c.head)); err != nil {
		return conn
	}
	for range c.count {
		if _, err := conn.Write(c.piece); err != nil {
			break
		}
	}
	return conn
}

// unread returns a client that sends a whole small request and reads no answer.
func unread() client { return client{head: head("Content-Length: 2\r\n\r\n{}")} }

// truncatedHead returns a client whose head never ends.
func truncatedHead() client {
	return client{head: head("X-Padding: " + string(bytes.Repeat([]byte{'x'}, 12<<10)))}
}

// heldCase is one client set and the behaviour of the endpoints that it calls.
type heldCase struct {
	name     string
	client   client
	endpoint fakeBehaviour
}

func heldCases() []heldCase {
	return []heldCase{
		{"bodies with a length that stop short of the end", announced(legalBody, legalBody-1), answersSmall},
		{"chunked bodies that stop short of the end", chunked(64<<10, legalBody-64<<10), answersSmall},
		{"bodies in chunks of one byte", chunked(1, 1<<20), answersSmall},
		{"chunked bodies beyond the limit", chunked(64<<10, beyondBody), answersSmall},
		{"announced bodies beyond the limit", announced(16*legalBody, beyondBody), answersSmall},
		{"truncated heads", truncatedHead(), answersSmall},
		{"slow readers of large responses", unread(), answersLarge},
		{"slow readers of streams", unread(), streams},
		{"whole bodies for an endpoint that reads slowly", announced(legalBody, legalBody), readsSlowly},
	}
}

// Clients that hold requests or responses open must not exhaust the memory of a router: 120 bodies that stop just short of
// their end took three times the memory of its machine.
func TestHeldByClients(t *testing.T) {
	binary := buildRouter(t)
	for _, c := range heldCases() {
		t.Run(c.name, func(t *testing.T) {
			router := startRouter(t, binary, c.endpoint)
			router.open(c.client)
			router.settle()
			router.checkOrdinary()
			router.checkBounds()
		})
	}
}

// What a client set held must be free again when half of it disconnects and another one comes.
func TestSecondClientSet(t *testing.T) {
	router := startRouter(t, buildRouter(t), answersSmall)
	one := announced(legalBody, legalBody-1)
	set := router.open(one)
	set.close(clientCount / 2)
	router.checkOrdinary()
	router.open(one)
	router.settle()
	router.checkOrdinary()
	router.checkBounds()
}

// A request of the largest legal size must still be served under normal conditions.
func TestLargestBody(t *testing.T) {
	router := startRouter(t, buildRouter(t), answersSmall)
	body := bytes.Repeat([]byte{' '}, legalBody)
	copy(body, `{}`)
	router.checkAnswered(local.CallPath, body)
	router.checkBounds()
}
