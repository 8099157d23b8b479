package caller_test

import (
	"bufio"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/io/caller"
)

// lateConn is a connection of a process that runs again after a pause: both the end of the idle time and the next request
// have come, and a read returns the former.
type lateConn struct {
	net.Conn
	reads atomic.Int64
	late  int64         // late is the number of the read that is late, from 1.
	sent  chan struct{} // sent is closed when the next request has arrived.
}

func (c *lateConn) Read(p []byte) (int, error) {
	if c.reads.Add(1) == c.late {
		<-c.sent
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(p)
}

func (c *lateConn) IsReadable() bool { return true }

// Guards against closing a connection whose next request has arrived, because its idle time has ended too.
func TestRequestThatArrivesWithTheEndOfTheIdleTimeIsAnswered(t *testing.T) {
	is := is.New(t)
	config, r := record(caller.Config{}, echo)
	ln := listen(t)
	near := dial(t, ln.Addr().String())
	raw, err := ln.Accept()
	is.NoErr(err)
	late := &lateConn{Conn: raw, late: 3, sent: make(chan struct{})} // The first read is that of the request, the second watches the caller.
	serveOn(&oneConn{conn: late, closed: make(chan struct{})}, config)
	reader := bufio.NewReader(near)
	_, err = near.Write([]byte(request))
	is.NoErr(err)
	assertAnswered(is, reader)
	_, err = near.Write([]byte(request))
	is.NoErr(err)
	time.Sleep(settle)
	close(late.sent)
	_ = near.SetReadDeadline(time.Now().Add(answerLimit))
	assertAnswered(is, reader)
	is.Equal(r.handler.calls.Load(), int64(2))
}
