package listener_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"ryelug/io/listener"
)

// failingListener is a listener that is short of file descriptors until the given time.
type failingListener struct {
	net.Listener
	until  time.Time
	calls  int
	closed chan struct{}
}

func (s *failingListener) Accept() (net.Conn, error) {
	s.calls++
	select {
	case <-s.closed:
		return nil, net.ErrClosed
	default:
	}
	if time.Now().Before(s.until) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	conn, _ := net.Pipe()
	return conn, nil
}

func (s *failingListener) Addr() net.Addr { return &net.TCPAddr{} }

func (s *failingListener) Close() error {
	close(s.closed)
	return nil
}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// A process that is short of file descriptors for a while accepts connections again afterwards.
func TestShortOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		failing := &failingListener{until: began.Add(3 * time.Second), closed: make(chan struct{})}
		ln := listener.New(listener.Config{Listener: failing, Log: discardLog()})
		conn, err := ln.Accept()
		is.NoErr(err)
		is.NoErr(conn.Close())
		is.True(time.Since(began) < 3100*time.Millisecond)
		is.True(failing.calls < 100)
	})
}

// Accept returns an error after Close, also while it is retrying.
func TestCloseWhileAcceptFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		failing := &failingListener{until: time.Now().Add(time.Hour), closed: make(chan struct{})}
		ln := listener.New(listener.Config{Listener: failing, Log: discardLog()})
		ended := make(chan error, 1)
		go func() {
			_, err := ln.Accept()
			ended <- err
		}()
		time.Sleep(time.Second)
		is.NoErr(ln.Close())
		is.True(<-ended != nil)
	})
}
