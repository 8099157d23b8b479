package frame_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/io/frame"
	"ryelug/standin/bubble"
)

const limit = 1 << 20 // bytes

// source is a connection that only reads, from memory.
type source struct {
	net.Conn
	io.Reader
}

func (s source) Read(b []byte) (int, error) { return s.Reader.Read(b) }

func read(data []byte) *frame.Conn {
	return frame.New(frame.Config{Conn: source{Reader: bytes.NewReader(data)}, Limit: limit})
}

func claim(length uint64) []byte { return binary.AppendUvarint(nil, length) }

func TestNextRefuses(t *testing.T) {
	var large *frame.TooLargeError
	cases := map[string]struct {
		data []byte
		want func(error) bool
	}{
		"too large":        {claim(limit + 1), func(err error) bool { return errors.As(err, &large) }},
		"largest length":   {claim(1<<64 - 1), func(err error) bool { return errors.As(err, &large) }},
		"endless length":   {bytes.Repeat([]byte{0xff}, 32), func(err error) bool { return errors.Is(err, frame.ErrLength) }},
		"cut in length":    {[]byte{0x80}, func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		"cut in body":      {append(claim(9), 1, 2), func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		"cut before body":  {claim(9), func(err error) bool { return errors.Is(err, io.ErrUnexpectedEOF) }},
		"end of the bytes": {nil, func(err error) bool { return errors.Is(err, io.EOF) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := read(c.data).Next()
			is.True(err != nil)
			is.True(c.want(err)) // the error says what is wrong
		})
	}
}

// A length alone must not make the reader take that much memory.
func TestNextTakesMemoryAsBytesArrive(t *testing.T) {
	is := is.New(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 100 {
		_, err := read(claim(limit)).Next()
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
	}
	runtime.ReadMemStats(&after)
	is.True((after.TotalAlloc-before.TotalAlloc)/100 < limit/64)
}

func TestDeadlines(t *testing.T) {
	const timeout = time.Second
	within := func(t *testing.T, use func(*frame.Conn) error) {
		defer bubble.OneProcessor()()
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ours, theirs := net.Pipe()
			defer theirs.Close()
			conn := frame.New(frame.Config{Conn: ours, Limit: limit, ReadTimeout: timeout, WriteTimeout: timeout})
			go func() { _, _ = theirs.Write([]byte{200}) }() // One byte of a length, then silence.
			began := time.Now()
			err := use(conn)
			is.True(errors.Is(err, os.ErrDeadlineExceeded))
			is.Equal(time.Since(began), timeout)
		})
	}
	t.Run("read", func(t *testing.T) {
		within(t, func(c *frame.Conn) error { _, err := c.Next(); return err })
	})
	t.Run("write", func(t *testing.T) {
		within(t, func(c *frame.Conn) error { return c.Write([]byte("nobody reads this")) })
	})
}

// Whatever arrives, frames come back as they were cut, and nothing panics.
func FuzzFrame(f *testing.F) {
	f.Add([]byte{}, []byte("body"))
	f.Add(claim(1<<63), []byte{})
	f.Add(bytes.Repeat([]byte{0xff}, 11), bytes.Repeat([]byte{7}, 9<<10))
	f.Add([]byte{0x80, 0x00}, []byte{0})
	f.Fuzz(func(t *testing.T, noise, body []byte) {
		is := is.New(t)
		conn := read(append(frame.Append(nil, body), noise...))
		got, err := conn.Next()
		if len(body) > limit {
			is.True(err != nil)
			return
		}
		is.NoErr(err)
		is.True(bytes.Equal(got, body))
		for err == nil {
			_, err = conn.Next()
		}
	})
}
