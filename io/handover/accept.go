package handover

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"ryelug/core/cell"
	"ryelug/io/frame"
	"ryelug/io/greeting"
)

// maxQueuedStreams is the capacity of the queue of streams that Accept has not returned yet. Streams beyond it are closed
// unread, so that the other router may serve their requests.
const maxQueuedStreams = 1024

// Identity holds what a router presents to another one when they set up a link.
type Identity struct {
	Router     cell.RouterID // Router is the ID of this router.
	DataCentre string        // DataCentre is the name of its data centre.
	Key        []byte        // Key is the secret that all routers share to authenticate each other.
}

// greeting returns the handshake for a new link over raw.
func (i *Identity) greeting(raw net.Conn) *greeting.Greeting {
	conn := frame.New(frame.Config{Conn: raw, Limit: greeting.MaxFrame, ReadTimeout: handshakeTimeout, WriteTimeout: handshakeTimeout})
	return &greeting.Greeting{Conn: conn, Self: i.Router, DataCentre: i.DataCentre, Key: i.Key}
}

// AcceptorConfig configures an Acceptor; all fields but Serves are required.
type AcceptorConfig struct {
	Listener net.Listener // Listener accepts the connections for links; Run closes it.
	Identity Identity
	Load     func() int // Load returns the processor utilisation of this router, in thousandths.
	// Serves reports whether this router can serve a request by a version of the configuration; nil means by any.
	Serves func(version uint64) bool
	Log    logrus.FieldLogger
}

// Acceptor accepts connections that other routers hand over. It implements net.Listener; its connections are Streams.
type Acceptor struct {
	config  AcceptorConfig
	streams chan *Stream  // streams is the queue of streams that Accept has not returned yet.
	done    chan struct{} // done is closed when no further stream is accepted.
	stop    func()        // stop closes done; later calls have no effect.

	mu       sync.Mutex           // mu guards all that follows.
	links    map[*link]sessionKey // links holds the open links with their sessions, as far as these are known.
	sessions map[sessionKey]*link // sessions holds the links with known sessions.
	version  uint64               // version is that of this router's configuration; zero before SetVersion.
}

// NewAcceptor returns an Acceptor. It accepts no links until Run is called.
func NewAcceptor(config AcceptorConfig) *Acceptor {
	a := &Acceptor{config: config, streams: make(chan *Stream, maxQueuedStreams), done: make(chan struct{}), links: make(map[*link]sessionKey), sessions: make(map[sessionKey]*link)}
	a.stop = sync.OnceFunc(func() { close(a.done) })
	return a
}

// Run accepts and serves links of other routers until ctx is done, then returns nil. It returns the error of the listener
// if that fails earlier.
func (a *Acceptor) Run(ctx context.Context) error {
	defer a.stop()
	group, ctx := errgroup.WithContext(ctx)
	defer context.AfterFunc(ctx, func() { a.config.Listener.Close() })()
	group.Go(func() error {
		for {
			raw, err := a.config.Listener.Accept()
			if err != nil && ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return err
			}
			group.Go(func() error { a.serve(ctx, raw); return nil })
		}
	})
	return group.Wait()
}

// serve performs the handshake on a new connection and serves the link until it fails or ctx is done.
func (a *Acceptor) serve(ctx context.Context, raw net.Conn) {
	defer context.AfterFunc(ctx, func() { raw.Close() })()
	defer raw.Close()
	handshake := a.config.Identity.greeting(raw)
	remote, err := handshake.Accept()
	if err != nil {
		a.config.Log.WithError(err).WithField("address", raw.RemoteAddr().String()).Warn("Rejected an incoming hand-over link.")
		return
	}
	t := newTransport(raw, handshake.Conn)
	l := newLink(t, a.enqueue)
	l.serves = a.config.Serves
	l.opened = func(session uint64) { a.addSession(sessionKey{remote.Router, session}, l) }
	log := a.config.Log.WithField("peer", string(remote.Router))
	log.Info("An incoming hand-over link is up.")
	a.add(l)
	go a.reportLoad(l, remote.DataCentre != a.config.Identity.DataCentre)
	err = l.serve(t)
	var resumes *resumption
	if errors.As(err, &resumes) {
		l.close()
		t = t.handOn()
		if l = a.resume(t, resumes, sessionKey{remote.Router, resumes.session}); l == nil {
			log.WithField("session", resumes.session).Info("An incoming hand-over link can't be resumed.")
			return
		}
		log.WithField("frames_received", l.received.Load()).Info("An incoming hand-over link is resumed.")
		err = l.serve(t)
	}
	if ctx.Err() != nil || errors.Is(err, errMalformedFrame) {
		l.close()
	}
	l.closeUnlessResumed()
	log.WithError(err).Info("An incoming hand-over link is down.")
}

// sessionKey identifies a link at the accepting end.
type sessionKey struct {
	router  cell.RouterID
	session uint64
}

// add registers a link, and tells its other end the version of this router.
func (a *Acceptor) add(l *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.links[l] = sessionKey{}
	l.tellState(a.version)
}

// addSession registers the session of a link, under which the other end may resume it.
func (a *Acceptor) addSession(key sessionKey, l *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.links[l]; known {
		a.links[l], a.sessions[key] = key, l
	}
}

func (a *Acceptor) remove(l *link) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, a.links[l])
	delete(a.links, l)
}

// SetVersion tells the other ends of all links the version of this router's configuration.
func (a *Acceptor) SetVersion(version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version = version
	for l := range a.links {
		l.tellState(version)
	}
}

// enqueue queues a new stream for Accept. It returns false if the queue is full or the Acceptor is closed.
func (a *Acceptor) enqueue(stream *Stream) bool {
	select {
	case <-a.done:
		return false
	default:
	}
	select {
	case a.streams <- stream:
	default:
		return false
	}
	select {
	case <-a.done:
		_ = a.Close() // Close may have emptied the queue before the stream was queued.
	default:
	}
	return true
}

// reportLoad reports the processor utilisation of this router to the other end until the link is closed, and closes the
// link if the other end has been silent for too long. remote means that the other end is in another data centre.
func (a *Acceptor) reportLoad(l *link, remote bool) {
	defer a.remove(l)
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	var overdue silence
	for reporter, resumes := newLoadReporter(remote), int64(0); ; {
		if now := l.resumes.Load(); now != resumes { // The last report may have been lost.
			reporter, resumes = newLoadReporter(remote), now
		}
		l.acknowledgeReceived()
		if load := a.config.Load(); reporter.advance(load) {
			l.send(&message{kind: kindLoad, number: uint64(load)})
		}
		select {
		case <-l.closed:
			return
		case <-ticker.C:
		}
		limit := silenceTimeout
		if l.isIdle() { // isIdle must come before advance: the link counts the frame that opens a stream before it registers the stream.
			limit += idlePingInterval
		}
		if overdue.advance(l, loadInterval) >= limit {
			l.close()
		}
		overdue.expect(l)
	}
}

const (
	localLoadStep          = 50          // localLoadStep is the smallest change of the utilisation that is reported within a data centre, in thousandths.
	remoteLoadStep         = 100         // remoteLoadStep is the smallest change that is reported to another data centre, in thousandths; traffic between data centres costs money.
	remoteDecreaseInterval = time.Second // remoteDecreaseInterval is the minimum time between a report to another data centre and one of lower utilisation; higher utilisation is reported immediately.
)

// loadReporter decides which values of the utilisation are reported to the other end of a link.
type loadReporter struct {
	step             int           // step is the resolution of the reports, in thousandths.
	decreaseInterval time.Duration // decreaseInterval is the minimum time between a report and one of lower utilisation; zero means no limit.
	reported         int           // reported is the value reported last, in units of step; -1 before the first report.
	sinceReport      time.Duration // sinceReport is the time since the last report.
}

// newLoadReporter returns a loadReporter for a link; remote means that the other end is in another data centre.
func newLoadReporter(remote bool) *loadReporter {
	if remote {
		return &loadReporter{step: remoteLoadStep, decreaseInterval: remoteDecreaseInterval, reported: -1}
	}
	return &loadReporter{step: localLoadStep, reported: -1}
}

// advance is called every loadInterval with the current utilisation, in thousandths, and reports whether it is to be sent.
func (r *loadReporter) advance(load int) bool {
	r.sinceReport += loadInterval
	steps := load / r.step
	if steps == r.reported || steps < r.reported && r.sinceReport < r.decreaseInterval {
		return false
	}
	r.reported, r.sinceReport = steps, 0
	return true
}

// Accept implements net.Listener. It returns net.ErrClosed after Close or the end of Run.
func (a *Acceptor) Accept() (net.Conn, error) {
	select {
	case stream := <-a.streams:
		return stream, nil
	case <-a.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It accepts no further stream and closes the queued ones unread; it does not stop Run, which
// ends with its context.
func (a *Acceptor) Close() error {
	a.stop()
	for {
		select {
		case stream := <-a.streams:
			_ = stream.Close() // Close only notifies the other end; it always returns nil.
		default:
			return nil
		}
	}
}

// Addr implements net.Listener; it returns the address of the configured listener.
func (a *Acceptor) Addr() net.Addr { return a.config.Listener.Addr() }
