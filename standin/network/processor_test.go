package network_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/standin/bubble"
	"ryelug/standin/network"
)

// Guards against a late host that accepts one connection each time its other work has had its turn.
func TestAcceptingKeepsItsTurn(t *testing.T) {
	const (
		waiting = 20
		share   = 0.1
		piece   = 100 * time.Microsecond
		writers = 10 // writers have the host write one piece after the other.
	)
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := network.New(network.Config{})
		listener, err := n.Listen(door)
		is.NoErr(err)
		ours, err := n.Dialer(hostA)(context.Background(), door)
		is.NoErr(err)
		theirs, err := listener.Accept()
		is.NoErr(err)
		for range waiting {
			_, err := n.Dialer(hostA)(context.Background(), door)
			is.NoErr(err)
		}
		n.SetProcessor(hostB, network.Processor{Share: share, Connect: piece, Read: piece, Write: piece})
		began, onePiece := time.Now(), time.Duration(float64(piece)/share)
		var writing sync.WaitGroup
		for range writers {
			writing.Go(func() {
				for err := error(nil); err == nil; _, err = theirs.Write([]byte("x")) {
				}
			})
		}
		synctest.Wait()
		for range waiting {
			_, err := listener.Accept()
			is.NoErr(err)
		}
		is.Equal(time.Since(began), (writers+waiting)*onePiece)
		ours.Close()
		theirs.Close()
		writing.Wait()
		listener.Close()
	})
}

// Guards against reads that return one write each, of which many have arrived.
func TestReadReturnsAllThatHasArrived(t *testing.T) {
	join(t, func(is *is.I, _ *network.Network, ours, theirs net.Conn) {
		for range 3 {
			_, err := ours.Write([]byte("ab"))
			is.NoErr(err)
		}
		time.Sleep(delay)
		got := make([]byte, 5)
		n, err := theirs.Read(got)
		is.NoErr(err)
		is.Equal(string(got[:n]), "ababa")
		n, err = theirs.Read(got)
		is.NoErr(err)
		is.Equal(string(got[:n]), "b")
	})
}
