package operator_test

import (
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"ryelug/io/operator"
)

// stuck is a writer that waits until it is let go.
type stuck struct {
	let  chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// A log that nobody reads holds up no writer: lines beyond the ring are dropped and counted.
func TestRingNeverBlocks(t *testing.T) {
	is := is.New(t)
	const lines = 10_000
	out := &stuck{let: make(chan struct{})}
	ring := operator.NewRing(out)
	for range lines {
		n, err := ring.Write([]byte("a line\n"))
		is.NoErr(err)
		is.Equal(n, 7)
	}
	is.True(ring.Dropped() > 0)
	close(out.let)
	ring.Close()
	is.Equal(int64(strings.Count(out.text.String(), "\n"))+ring.Dropped(), int64(lines))
}

// full is a writer that has room for a few bytes at a time only, as a pipe that is read slowly.
type full struct{ text strings.Builder }

func (f *full) Write(p []byte) (int, error) {
	n, _ := f.text.Write(p[:min(len(p), 5)])
	if n < len(p) {
		return n, syscall.EAGAIN
	}
	return n, nil
}

// A line that finds no room in the middle is written on, not torn.
func TestRingTearsNoLine(t *testing.T) {
	is := is.New(t)
	out := &full{}
	ring := operator.NewRing(out)
	for range 10 {
		_, err := ring.Write([]byte("a line of the log\n"))
		is.NoErr(err)
	}
	ring.Close()
	is.Equal(out.text.String(), strings.Repeat("a line of the log\n", 10))
	is.Equal(ring.Dropped(), int64(0))
}
