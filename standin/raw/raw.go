package raw

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Server serves connections on a free port of loopback until it is closed.
type Server struct{ listener net.Listener }

// Start returns a server that calls serve for each connection, in a goroutine of its own, and closes the connection after it.
func Start(serve func(conn net.Conn)) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return &Server{listener: listener}, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close ends listening; connections that are open stay so.
func (s *Server) Close() { s.listener.Close() }

// Answer returns a function that reads one request and writes text.
func Answer(text string) func(net.Conn) {
	return func(conn net.Conn) { _ = answer(bufio.NewReader(conn), conn, text) }
}

// AnswerEach returns a function that writes text after each request of a connection.
func AnswerEach(text string) func(net.Conn) {
	return func(conn net.Conn) {
		in := bufio.NewReader(conn)
		for answer(in, conn, text) == nil {
		}
	}
}

func answer(in *bufio.Reader, out io.Writer, text string) error {
	req, err := http.ReadRequest(in)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return err
	}
	_, err = io.WriteString(out, text)
	return err
}

// firstBytes is how much of a request AnswerEarly reads.
const firstBytes = 64

// AnswerEarly returns a function that reads the first bytes of a request, writes text, waits, and has the connection reset,
// so that a long request meets the reset while it is being written.
func AnswerEarly(text string, wait time.Duration) func(net.Conn) {
	return func(conn net.Conn) {
		if _, err := io.ReadFull(conn, make([]byte, firstBytes)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		time.Sleep(wait)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}
