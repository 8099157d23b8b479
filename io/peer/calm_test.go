package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/io/peer"
	"ryelug/io/wire"
	"ryelug/standin/bubble"
)

const maxIdlePause = 2 * time.Second // Config.Idle in these tests.

// withCalmLink runs f with a link whose ends have both been calm for three times maxIdlePause.
func withCalmLink(t *testing.T, f func(is *is.I, net *network, a, b *peer.Link, nodes [2]*node)) {
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		change := func(c *peer.Config) { c.Idle = maxIdlePause }
		a, b := net.start(t, "a/1", 1, change), net.start(t, "b/1", 2, change)
		defer b.stop()
		defer a.stop()
		defer net.setSilent(false)
		a.SetPeers([]peer.Address{{Host: "b", Addr: b.addr}})
		dialed, accepted := next[*peer.Up](t, a).Link, next[*peer.Up](t, b).Link
		dialed.SetIdle(true)
		accepted.SetIdle(true)
		time.Sleep(3 * maxIdlePause)
		f(is.New(t), net, dialed, accepted, [2]*node{a, b})
	})
}

func heartbeatCount(n *node) uint64 {
	out := n.Stats().Out
	return out["heartbeat"].Messages + out["calm"].Messages
}

// If both ends of a link are set to the idle heartbeat (see Link.SetIdle), each sends one frame every Config.Idle, and the
// link stays open.
func TestCalmLinkBeatsSeldom(t *testing.T) {
	withCalmLink(t, func(is *is.I, _ *network, _, _ *peer.Link, nodes [2]*node) {
		before := heartbeatCount(nodes[0]) + heartbeatCount(nodes[1])
		time.Sleep(10 * maxIdlePause)
		is.Equal(heartbeatCount(nodes[0])+heartbeatCount(nodes[1])-before, uint64(2*10))
		is.Equal(nodes[0].Stats().Links, 1)
	})
}

// The loss of a link is detected within Silent, or within Idle and Silent together if its last frame came from a calm end.
func TestSilentCalmLink(t *testing.T) {
	cases := map[string]struct {
		change func(accepted *peer.Link)
		within time.Duration
	}{
		"calm":                 {func(*peer.Link) {}, maxIdlePause + peer.DefaultSilent},
		"calm no more":         {func(l *peer.Link) { l.SetIdle(false) }, peer.DefaultSilent},
		"calm, after messages": {func(l *peer.Link) { l.Send(&wire.Leaving{}) }, peer.DefaultSilent},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withCalmLink(t, func(is *is.I, net *network, _, accepted *peer.Link, nodes [2]*node) {
				drain(nodes[0])
				c.change(accepted)
				synctest.Wait()
				net.setSilent(true)
				began := time.Now()
				next[*peer.Down](t, nodes[0])
				is.True(time.Since(began) <= c.within)
			})
		})
	}
}
