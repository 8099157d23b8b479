package operator

import (
	"io"
	"sync/atomic"
)

// ringLines bounds the log lines that wait to be written.
const ringLines = 2048

// Ring writes log lines in the background. A writer never waits: a line that finds the
// ring full is dropped and counted.
type Ring struct {
	lines   chan []byte
	dropped atomic.Int64
	ended   chan struct{}
}

// NewRing returns a Ring that writes to out until Close.
func NewRing(out io.Writer) *Ring {
	r := &Ring{lines: make(chan []byte, ringLines), ended: make(chan struct{})}
	go r.run(out)
	return r
}

// Write implements io.Writer; each call is a line.
func (r *Ring) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (r *Ring) Dropped() int64 { return r.dropped.Load() }

// Close writes what waits; nothing may be written from then on.
func (r *Ring) Close() {
	close(r.lines)
	<-r.ended
}

func (r *Ring) run(out io.Writer) {
	defer close(r.ended)
	for line := range r.lines {
		batch := line
		for more := len(r.lines); more > 0; more-- {
			batch = append(batch, <-r.lines...)
		}
		if _, err := out.Write(batch); err != nil {
			r.dropped.Add(1) // Nobody reads the log; the counter tells.
		}
	}
}
