package handover

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"ryelug/core/cell"
	"ryelug/io/frame"
	"ryelug/io/greeting"
)

// waitingStreams bounds the streams that no goroutine has accepted yet; what is beyond is closed unread, so that callers
// may send it again.
const waitingStreams = 1024

// Identity is what a router tells of itself.
type Identity struct {
	Router     cell.RouterID
	DataCentre string
	Key        []byte // Key is the one that all routers share.
}

func (i *Identity) greeting(raw net.Conn) *greeting.Greeting {
	conn := frame.New(frame.Config{Conn: raw, Limit: greeting.MaxFrame, ReadTimeout: greetTimeout, WriteTimeout: greetTimeout})
	return &greeting.Greeting{Conn: conn, Self: i.Router, DataCentre: i.DataCentre, Key: i.Key}
}

// AcceptorConfig sets up an Acceptor.
type AcceptorConfig struct {
	Listener net.Listener
	Identity Identity
	Load     func() int // Load returns how much of its processor this router uses, in thousandths.
	Log      logrus.FieldLogger
}

// Acceptor takes connections that other routers hand over. It is a net.Listener, whose connections are Streams.
type Acceptor struct {
	config  AcceptorConfig
	streams chan *Stream
	done    chan struct{}
	stop    func()
}

// NewAcceptor returns an Acceptor that Run serves.
func NewAcceptor(config AcceptorConfig) *Acceptor {
	a := &Acceptor{config: config, streams: make(chan *Stream, waitingStreams), done: make(chan struct{})}
	a.stop = sync.OnceFunc(func() { close(a.done) })
	return a
}

// Run serves links of other routers until ctx ends.
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

// serve serves one link until it breaks.
func (a *Acceptor) serve(ctx context.Context, raw net.Conn) {
	defer context.AfterFunc(ctx, func() { raw.Close() })()
	defer raw.Close()
	hello := a.config.Identity.greeting(raw)
	theirs, err := hello.Accept()
	if err != nil {
		a.config.Log.WithError(err).WithField("address", raw.RemoteAddr().String()).Warn("A link that would hand connections over is refused.")
		return
	}
	one := newLink(raw, hello.Conn, a.begin)
	log := a.config.Log.WithField("peer", string(theirs.Router))
	log.Info("A router may hand connections over to this one.")
	go a.tellLoad(one, theirs.DataCentre != a.config.Identity.DataCentre)
	err = one.run()
	log.WithError(err).Info("The link by which a router handed connections over is down.")
}

// begin queues a stream for Accept.
func (a *Acceptor) begin(stream *Stream) bool {
	select {
	case <-a.done:
		return false
	default:
	}
	select {
	case a.streams <- stream:
		return true
	default:
		return false
	}
}

// tellLoad tells the other end how much of its processor this router uses, until the link is down, and ends a link whose
// other end is lost.
func (a *Acceptor) tellLoad(one *link, away bool) {
	ticker := time.NewTicker(loadEvery)
	defer ticker.Stop()
	var quiet silence
	for news := newLoadNews(away); ; {
		if now := a.config.Load(); news.pass(now) {
			one.send(&message{kind: kindLoad, number: uint64(now)})
		}
		select {
		case <-one.closed:
			return
		case <-ticker.C:
		}
		due := silent
		if one.isIdle() { // Read first: the frame that begins a stream is heard before the stream is known.
			due += idlePing
		}
		if quiet.pass(one, loadEvery) >= due {
			one.close()
		}
		quiet.owe(one)
	}
}

const (
	loadStep = 50          // loadStep is the change of the load that is worth a frame, in thousandths,
	awayStep = 100         // awayStep that for other data centres, as bytes between them are priced.
	awayCalm = time.Second // awayCalm is the time between a word and one of less load there; more load is told at once.
)

// loadNews tells which loads are worth a frame.
type loadNews struct {
	step int
	calm time.Duration
	told int           // told is the last word, in steps; negative before the first one.
	ago  time.Duration // ago is the time since.
}

func newLoadNews(away bool) *loadNews {
	if away {
		return &loadNews{step: awayStep, calm: awayCalm, told: -1}
	}
	return &loadNews{step: loadStep, told: -1}
}

// pass takes in the load after loadEvery, and returns whether it is to be told.
func (n *loadNews) pass(load int) bool {
	n.ago += loadEvery
	now := load / n.step
	if now == n.told || now < n.told && n.ago < n.calm {
		return false
	}
	n.told, n.ago = now, 0
	return true
}

// Accept implements net.Listener.
func (a *Acceptor) Accept() (net.Conn, error) {
	select {
	case stream := <-a.streams:
		return stream, nil
	case <-a.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener: no further stream is accepted, and those that wait are closed unread. Run ends with its context.
func (a *Acceptor) Close() error {
	a.stop()
	for {
		select {
		case stream := <-a.streams:
			_ = stream.Close() // It only tells the other end.
		default:
			return nil
		}
	}
}

// Addr implements net.Listener.
func (a *Acceptor) Addr() net.Addr { return a.config.Listener.Addr() }
