package operator

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	ringLines = 2048                  // ringLines bounds the log lines that wait to be written.
	ringPause = 10 * time.Millisecond // ringPause is the time from a write that found no room to the next one,
	ringTries = 100                   // ringTries the number of such pauses after which a reader that takes nothing is given up.
)

var newline = []byte{'\n'}

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
		r.write(out, batch)
	}
}

// write writes whole lines. A reader that has no room now gets the rest of them later, so that no line is torn, unless it
// takes nothing for too long.
func (r *Ring) write(out io.Writer, batch []byte) {
	for tries := 0; ; tries++ {
		n, err := out.Write(batch)
		batch = batch[n:]
		if err == nil {
			return
		}
		if n > 0 {
			tries = 0
		}
		if !errors.Is(err, syscall.EAGAIN) || tries >= ringTries {
			r.dropped.Add(int64(bytes.Count(batch, newline))) // Nobody reads the log; the counter tells.
			return
		}
		time.Sleep(ringPause)
	}
}
