package handover

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against a stream that is neither accepted nor closed, because it is queued while the Acceptor closes.
func TestNoStreamStaysInTheQueueOfAClosedAcceptor(t *testing.T) {
	const rounds = 20000 // rounds is enough for the two to meet.
	is := is.New(t)
	l := &link{accept: func(*Stream) bool { return true }, down: true}
	for range rounds {
		a := NewAcceptor(AcceptorConfig{})
		var both sync.WaitGroup
		both.Go(func() {
			if stream := newStream(l, 1, 0); !a.enqueue(stream) {
				_ = stream.Close()
			}
		})
		both.Go(func() { _ = a.Close() })
		both.Wait()
		is.Equal(len(a.streams), 0)
	}
}
