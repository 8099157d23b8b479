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

// short is a listener that lacks descriptors until a time.
type short struct {
	net.Listener
	until  time.Time
	tries  int
	closed chan struct{}
}

func (s *short) Accept() (net.Conn, error) {
	s.tries++
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

func (s *short) Addr() net.Addr { return &net.TCPAddr{} }

func (s *short) Close() error {
	close(s.closed)
	return nil
}

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// A process that is out of descriptors for a while accepts connections again when it has some.
func TestShortOfDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		lacking := &short{until: began.Add(3 * time.Second), closed: make(chan struct{})}
		ln := listener.New(listener.Config{Listener: lacking, Log: quiet()})
		conn, err := ln.Accept()
		is.NoErr(err)
		is.NoErr(conn.Close())
		is.True(time.Since(began) < 3100*time.Millisecond)
		is.True(lacking.tries < 100)
	})
}

// A closed listener accepts no more, also while it lacks descriptors.
func TestClosedWhileShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lacking := &short{until: time.Now().Add(time.Hour), closed: make(chan struct{})}
		ln := listener.New(listener.Config{Listener: lacking, Log: quiet()})
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
