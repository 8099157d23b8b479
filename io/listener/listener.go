package listener

import (
	"cmp"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// defaultPause is short beside the second in which callers expect to be connected.
const defaultPause = 50 * time.Millisecond

// Config sets up a Listener; a zero Pause takes its default.
type Config struct {
	Listener net.Listener
	Pause    time.Duration // Pause is the time from a failure to the next try.
	Log      logrus.FieldLogger
}

// Listener is a net.Listener whose Accept fails only once it is closed.
type Listener struct {
	net.Listener
	config  Config
	closed  atomic.Bool
	failing bool // failing tells that the last try failed, which is logged once; the accepting goroutine alone uses it.
}

// New returns a Listener that accepts from that of the config.
func New(config Config) *Listener {
	config.Pause = cmp.Or(config.Pause, defaultPause)
	return &Listener{Listener: config.Listener, config: config}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.note(nil)
			return conn, nil
		}
		if l.closed.Load() || errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.note(err)
		time.Sleep(l.config.Pause)
	}
}

// note logs the first failure and the first success after it.
func (l *Listener) note(err error) {
	if l.failing == (err != nil) {
		return
	}
	l.failing = err != nil
	log := l.config.Log.WithField("address", l.Addr().String())
	if err != nil {
		log.WithError(err).Error("No connection can be accepted; more tries follow.")
		return
	}
	log.Info("Connections are accepted again.")
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}
