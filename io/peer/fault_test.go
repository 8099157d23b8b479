package peer_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/io/greeting"
	"ryelug/io/peer"
	"ryelug/io/wire"
	"ryelug/standin/bubble"
)

// withLink runs f with two meshes; a dials b.
func withLink(t *testing.T, f func(net *network, a, b *node)) {
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork()
		a := net.start(t, "a/1", 1, nil)
		b := net.start(t, "b/1", 2, nil)
		defer b.stop()
		defer a.stop()
		defer net.setSilent(false)
		a.SetPeers([]peer.Address{{Host: "b", Addr: b.addr}})
		f(net, a, b)
	})
}

// assertWithin asserts that at most limit has passed since began.
func assertWithin(t *testing.T, began time.Time, limit time.Duration) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	is.True(time.Since(began) <= limit)
}

// A link that stops delivering is closed by both ends, and a new one is dialled and works.
func TestSilentLinkIsDialedAnew(t *testing.T) {
	withLink(t, func(net *network, a, b *node) {
		is := is.New(t)
		next[*peer.Up](t, a)
		next[*peer.Up](t, b)
		time.Sleep(3 * time.Second)
		is.Equal(a.Stats().Links, 1)
		net.setSilent(true)
		began := time.Now()
		down := next[*peer.Down](t, a)
		next[*peer.Down](t, b)
		assertWithin(t, began, peer.DefaultSilent)
		is.True(!down.Link.Send(&wire.Leaving{}))
		next[*peer.Up](t, a)
		assertWithin(t, began, peer.DefaultSilent+2*peer.DefaultRedial)
	})
}

// A peer that can't be reached is dialled with growing delays, and reached again within the largest one.
func TestRedialBacksOff(t *testing.T) {
	withLink(t, func(net *network, a, b *node) {
		is := is.New(t)
		next[*peer.Up](t, a)
		net.setBlocked(true)
		next[*peer.Down](t, a)
		before := net.dialCount()
		time.Sleep(time.Minute)
		is.True(net.dialCount()-before < 150)
		is.True(net.dialCount()-before > 30)
		net.setBlocked(false)
		began := time.Now()
		next[*peer.Up](t, a)
		assertWithin(t, began, 2*peer.DefaultRedialMax)
	})
}

// The accepting router refuses connections that fail the handshake within DialTimeout, and counts them by reason.
func TestFailedHandshakesAreRefused(t *testing.T) {
	sendBytes := func(first string) func(*testing.T, *network, *node) {
		return func(t *testing.T, net *network, b *node) {
			conn, _ := net.dial(t.Context(), b.addr)
			if first != "" {
				_, _ = conn.Write([]byte(first))
			}
		}
	}
	runMesh := func(key string, host cell.HostID) func(*testing.T, *network, *node) {
		return func(t *testing.T, net *network, b *node) {
			a := net.start(t, "a/1", 1, func(c *peer.Config) { c.Key = []byte(key) })
			a.SetPeers([]peer.Address{{Host: host, Addr: b.addr}})
			time.Sleep(time.Second)
			a.stop()
		}
	}
	cases := map[string]func(*testing.T, *network, *node){
		"timeout":    sendBytes(""),
		"not_a_peer": sendBytes("GET / HTTP/1.1\r\nHost: 127.0.0.1\r\nUser-Agent: a program that takes this for a web server\r\n\r\n"),
		"version":    sendBytes("\x07ryelug\x63"),
		"key":        runMesh("wrong", "b"),
		"broken":     runMesh("secret", "c"), // The dialling router finds another host than it wants, and hangs up.
	}
	for reason, connect := range cases {
		t.Run(reason, func(t *testing.T) {
			defer bubble.OneProcessor()()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				net := newNetwork()
				b := net.start(t, "b/1", 2, nil)
				defer b.stop()
				connect(t, net, b)
				time.Sleep(peer.DefaultDialTimeout + time.Millisecond)
				is.True(b.Stats().Refused[reason] > 0) // Counted by its reason.
				is.Equal(b.Stats().Links, 0)
				is.Equal(len(b.Events()), 0)
			})
		})
	}
}

// A peer with another protocol version is told the version of this router.
func TestVersionMismatchIsAnswered(t *testing.T) {
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		b := net.start(t, "b/1", 2, nil)
		defer b.stop()
		conn, err := net.dial(t.Context(), b.addr)
		is.NoErr(err)
		_, err = conn.Write([]byte("\x07ryelug\x63"))
		is.NoErr(err)
		answer := make([]byte, 64)
		n, err := conn.Read(answer)
		is.NoErr(err)
		is.True(strings.HasPrefix(string(answer[1:n]), "ryelug"+string(rune(greeting.Version))))
	})
}

// Connections that have not proved the key are limited in number and in time, so that peers can connect again soon.
func TestUnauthenticatedConnectionsAreLimited(t *testing.T) {
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		b := net.start(t, "b/1", 2, nil)
		defer b.stop()
		for range 200 {
			_, err := net.dial(t.Context(), b.addr)
			is.NoErr(err)
		}
		synctest.Wait()
		is.Equal(b.Stats().Refused["too_many"], uint64(200-64))
		a := net.start(t, "a/1", 1, nil)
		defer a.stop()
		began := time.Now()
		a.SetPeers([]peer.Address{{Host: "b", Addr: b.addr}})
		next[*peer.Up](t, a)
		assertWithin(t, began, peer.DefaultDialTimeout+peer.DefaultRedialMax)
	})
}

// A peer that consumes nothing fills the bounded queues, and then its link is closed.
func TestFullQueueClosesLink(t *testing.T) {
	withLink(t, func(_ *network, a, b *node) {
		is := is.New(t)
		link := next[*peer.Up](t, a).Link
		sent := 0
		for link.Send(&wire.Leaving{}) {
			sent++
			synctest.Wait()
		}
		is.True(sent < 4<<10) // The queues of 1,024 at both ends, and what the writing goroutine took.
		is.Equal(a.Stats().Overflows, uint64(1))
		next[*peer.Down](t, a)
		drain(b)
	})
}

// The link of a restarted router replaces the link of its former process, although that link is silent and still open:
// Down of the old link comes before Up of the new one.
func TestNewIncarnationReplacesLink(t *testing.T) {
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		b := net.start(t, "b/1", 2, nil)
		defer b.stop()
		for _, router := range []cell.RouterID{"a/1", "a/2"} {
			a := net.start(t, router, 1, net.dialOnlyOnce)
			defer a.stop()
			a.SetPeers([]peer.Address{{Host: "b", Addr: b.addr}})
			next[*peer.Up](t, a)
			net.setSilent(true)
		}
		old := next[*peer.Up](t, b).Link
		is.Equal(next[*peer.Down](t, b).Link, old)
		is.Equal(next[*peer.Up](t, b).Link.Router(), cell.RouterID("a/2"))
	})
}

// After a stall, a consumer's messages echo only time stamps of frames that it had acknowledged before.
func TestEchoCoversOnlyAcknowledgedFrames(t *testing.T) {
	withLink(t, func(net *network, a, b *node) {
		is := is.New(t)
		next[*peer.Up](t, a)
		link := next[*peer.Up](t, b).Link
		next[*peer.Received](t, b)
		frozen := time.Now()
		time.Sleep(600 * time.Millisecond) // The consumer of b stalls, while its link is still read and written.
		link.Send(&wire.Released{Cell: "chat", Session: 1})
		_, r := nextMessage(t, a)
		is.True(!r.Echoed.After(frozen))
		is.True(time.Since(r.Echoed) >= 600*time.Millisecond)
	})
}
