package caller_test

import (
	"net"
	"os"
	"testing"

	"github.com/matryer/is"

	"ryelug/io/caller"
)

// unwritableListener accepts connections on which each write times out.
type unwritableListener struct{ net.Listener }

// Accept implements net.Listener.
func (l unwritableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return unwritable{conn}, err
}

type unwritable struct{ net.Conn }

// Write implements net.Conn.
func (unwritable) Write([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// Checks that an answer that can't be written in time is reported once, and its request run once.
func TestUnwrittenAnswerIsReported(t *testing.T) {
	is := is.New(t)
	config, r := record(caller.Config{}, echo)
	conn := send(t, serveOn(unwritableListener{listen(t)}, config), request)
	_, err := conn.Read(make([]byte, 1))
	is.True(err != nil) // The connection ends.
	end := <-r.ends
	is.Equal(end.Cause, caller.WriteFailed)
	is.True(end.Request != "")
	is.Equal([]int{len(r.ends), int(r.handler.calls.Load())}, []int{0, 1})
}
