package peer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/io/peer"
	"ryelug/io/wire"
	"ryelug/standin/bubble"
)

// Messages arrive unchanged after the handshake, with recent echoes of time stamps.
func TestMeshCarriesMessages(t *testing.T) {
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		net := newNetwork()
		a := net.start(t, "a/1", 1, nil)
		b := net.start(t, "b/1", 2, nil)
		defer b.stop()
		defer a.stop()
		a.SetPeers([]peer.Address{{Host: "b", Addr: b.addr}})
		up := next[*peer.Up](t, a)
		is.Equal(string(up.Link.Router()), "b/1")
		is.True(up.Link.Dialed())
		back := next[*peer.Up](t, b)
		is.Equal(string(back.Link.Router()), "a/1")
		is.True(!back.Link.Dialed())
		want := &wire.Want{Cell: "chat", Session: 3, Demands: []cell.Demand{{Attempt: 9, Team: "kiosks"}}}
		is.True(up.Link.Send(want))
		got, _ := nextMessage(t, b)
		is.Equal(got, want)
		time.Sleep(time.Second)
		drain(a)
		sent := time.Now()
		is.True(up.Link.Send(&wire.Leaving{}))
		_, r := nextMessage(t, b)
		is.True(time.Since(r.Echoed) <= 2*peer.DefaultHeartbeat) // The echo is recent.
		is.True(!r.Echoed.After(sent))
	})
}
