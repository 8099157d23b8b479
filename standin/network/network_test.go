package network_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/standin/bubble"
	"ryelug/standin/network"
)

var (
	hostA = netip.MustParseAddr("10.0.0.1")
	hostB = netip.MustParseAddr("10.0.0.2")
	door  = netip.AddrPortFrom(hostB, 80)
)

const delay = 5 * time.Millisecond

// join connects two hosts inside a bubble of virtual time.
func join(t *testing.T, body func(is *is.I, n *network.Network, ours, theirs net.Conn)) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		n := network.New(network.Config{Delay: func(netip.Addr, netip.Addr) time.Duration { return delay }})
		listener, err := n.Listen(door)
		is.NoErr(err)
		ours, err := n.Dialer(hostA)(context.Background(), door)
		is.NoErr(err)
		theirs, err := listener.Accept()
		is.NoErr(err)
		body(is, n, ours, theirs)
		listener.Close()
	})
}

// arrives sends from one end and returns how long the other waited for it.
func arrives(is *is.I, from, to net.Conn, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	_, err := from.Write([]byte("hello"))
	is.NoErr(err)
	is.NoErr(to.SetReadDeadline(began.Add(limit)))
	got := make([]byte, 5)
	_, err = io.ReadFull(to, got)
	is.True(err != nil || string(got) == "hello")
	return time.Since(began), err
}

func TestDelayAndClose(t *testing.T) {
	join(t, func(is *is.I, n *network.Network, ours, theirs net.Conn) {
		took, err := arrives(is, ours, theirs, time.Second)
		is.NoErr(err)
		is.Equal(took, delay)
		is.Equal(n.Sent(door), int64(5))
		ours.Close()
		_, err = theirs.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
		_, err = theirs.Write([]byte("x"))
		is.True(err != nil)
	})
}

func TestFaults(t *testing.T) {
	faults := []struct {
		name    string
		strike  func(n *network.Network)
		repair  func(n *network.Network)
		returns bool
	}{
		{"cut", func(n *network.Network) { n.Cut(hostB, hostA) }, func(n *network.Network) { n.Heal(hostA, hostB) }, true},
		{"isolate", func(n *network.Network) { n.Isolate(hostA) }, func(n *network.Network) { n.Rejoin(hostA) }, true},
		{"silence", func(n *network.Network) { n.Silence(hostA, hostB) }, func(*network.Network) {}, false},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			join(t, func(is *is.I, n *network.Network, ours, theirs net.Conn) {
				fault.strike(n)
				_, err := arrives(is, ours, theirs, time.Second)
				is.True(errors.Is(err, os.ErrDeadlineExceeded))
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err = n.Dialer(hostA)(ctx, door)
				is.Equal(err == nil, !fault.returns) // Silence leaves new connections alone.
				fault.repair(n)
				is.NoErr(theirs.SetReadDeadline(time.Now().Add(time.Second)))
				_, err = theirs.Read(make([]byte, 1))
				is.Equal(err == nil, fault.returns)
			})
		})
	}
	t.Run("crash", func(t *testing.T) {
		join(t, func(is *is.I, n *network.Network, ours, theirs net.Conn) {
			n.Crash(hostB)
			_, err := ours.Read(make([]byte, 1))
			is.True(err != nil)
			_, err = theirs.Read(make([]byte, 1))
			is.True(err != nil)
		})
	})
}

// A frozen host does nothing, not even fail, and gets on waking what has come meanwhile.
func TestFreeze(t *testing.T) {
	for _, waking := range []network.Waking{network.DeadlinesFirst, network.DataFirst} {
		join(t, func(is *is.I, n *network.Network, ours, theirs net.Conn) {
			const lasts = time.Minute
			began := time.Now()
			n.Freeze(hostB, waking)
			go func() {
				time.Sleep(lasts)
				n.Thaw(hostB)
			}()
			_, err := ours.Write([]byte("hello"))
			is.NoErr(err)
			_, err = n.Dialer(hostA)(context.Background(), door)
			is.NoErr(err) // The host's kernel still answers.

			is.NoErr(theirs.SetReadDeadline(began.Add(time.Second)))
			_, err = theirs.Read(make([]byte, 1))
			is.Equal(errors.Is(err, os.ErrDeadlineExceeded), waking == network.DeadlinesFirst)
			is.Equal(time.Since(began), lasts)
			is.NoErr(theirs.SetReadDeadline(time.Time{}))
			got := make([]byte, 4)
			_, err = io.ReadFull(theirs, got)
			is.NoErr(err)
		})
	}
}
