package listener

import (
	"cmp"
	"errors"
	"net"
	"time"

	"github.com/sirupsen/logrus"
)

// defaultPause is short compared to the second within which callers expect to be connected.
const defaultPause = 50 * time.Millisecond

// Config configures a Listener; a zero Pause gets its default, defaultPause.
type Config struct {
	Listener net.Listener       // Listener is the listener to wrap.
	Pause    time.Duration      // Pause is the delay before Accept retries after an error.
	Log      logrus.FieldLogger // Log gets the first of several errors in a row, and the recovery.
}

// Listener is a net.Listener whose Accept retries after every error until the listener is closed.
type Listener struct {
	*Graceful
	config  Config
	failing bool // Whether the last attempt failed, to log each outage once; used by the accepting goroutine only.
}

// New returns a Listener that wraps config.Listener.
func New(config Config) *Listener {
	config.Pause = cmp.Or(config.Pause, defaultPause)
	return &Listener{Graceful: NewGraceful(config.Listener), config: config}
}

// Accept implements net.Listener; only one goroutine may call it. It returns an error only after the listener
// was closed, or finished and no connection waits any more.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Graceful.Accept()
		if err == nil {
			l.logChange(nil)
			return conn, nil
		}
		if l.closed.Load() || errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.logChange(err)
		time.Sleep(l.config.Pause)
	}
}

// logChange logs the first error of an outage and the first success after it.
func (l *Listener) logChange(err error) {
	if l.failing == (err != nil) {
		return
	}
	l.failing = err != nil
	log := l.config.Log.WithField("address", l.Addr().String())
	if err != nil {
		log.WithError(err).Error("Accepting connections failed; retrying.")
		return
	}
	log.Info("Connections are accepted again.")
}
