package router

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"ryelug/core/due"
	"ryelug/core/intake"
	"ryelug/core/limit"
	"ryelug/core/neighbour"
	"ryelug/io/handover"
)

// newBusyRouter returns a router whose processor is fully used, with a link to an idle neighbour.
func newBusyRouter(t *testing.T) *Router {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	key := []byte("a key of the routers")
	acceptor := handover.NewAcceptor(handover.AcceptorConfig{
		Listener: ln, Identity: handover.Identity{Router: "far/1", Key: key}, Load: func() int { return 0 }, Log: log,
	})
	go func() { _ = acceptor.Run(t.Context()) }()
	r := &Router{admission: intake.New(intake.Config{ProcessorShare: 0.1, Standings: &due.Standings{}, Unserved: &due.Unserved{}})}
	now := time.Now()
	r.admission.RecordWork(now, limit.Work{})
	r.admission.RecordWork(now.Add(time.Second), limit.Work{Connections: 10_000})
	r.handoverDialer = handover.NewDialer(handover.DialerConfig{
		Identity: handover.Identity{Router: "near/1", Key: key}, Log: log,
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address.String())
		},
	})
	t.Cleanup(r.handoverDialer.Close)
	list := []neighbour.Router{{Host: "far", Address: netip.MustParseAddrPort(ln.Addr().String()), Processor: 800}}
	r.admission.SetNeighbours(list)
	for linked := false; !linked; time.Sleep(time.Millisecond) {
		r.handoverDialer.SetTargets(time.Now(), list)
		_, linked = r.handoverDialer.Load(&list[0])
	}
	return r
}

// Guards against handing a connection over when the grace period may end before its answer does: a router that has
// stopped accepting requests hands none over.
func TestLeavingRouterHandsNothingOver(t *testing.T) {
	is, r := is.New(t), newBusyRouter(t)
	_, ok := r.chooseHandover(0)
	is.True(ok)
	r.leaving.Store(true)
	_, ok = r.chooseHandover(0)
	is.True(ok) // The balancer may not have noticed yet, so connections still arrive.
	r.stopAccepting()
	_, ok = r.chooseHandover(0)
	is.True(!ok)
}
