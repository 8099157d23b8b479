package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"
)

const (
	readBuffer = 4 << 10  // bytes of the read buffer of a connection
	firstChunk = 4 << 10  // bytes of memory taken for a body before any of it has arrived
	chunkBytes = 64 << 10 // bytes that must arrive within one read timeout, and the most that are taken ahead of them
	keepBytes  = 64 << 10 // bytes of body memory that are kept between frames
)

// ErrLength is a length that is not a varint.
var ErrLength = errors.New("frame length is malformed")

// TooLargeError is a frame whose length is over the limit.
type TooLargeError struct {
	Length uint64
	Limit  int
}

// Error says the length and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is over the limit of %d", e.Length, e.Limit)
}

// Config sets a Conn.
type Config struct {
	Conn         net.Conn
	Limit        int           // Limit bounds the bytes of a frame's body.
	ReadTimeout  time.Duration // ReadTimeout bounds the wait for the next frame, and for each 64 KiB of a long one.
	WriteTimeout time.Duration // WriteTimeout bounds a Write.
}

// Conn reads frames from a connection and writes bytes made by Append.
type Conn struct {
	conf   Config
	reader *bufio.Reader
	body   []byte
}

// New returns a Conn over an open connection.
func New(conf Config) *Conn {
	return &Conn{conf: conf, reader: bufio.NewReaderSize(conf.Conn, readBuffer)}
}

// SetLimit changes the limit for the frames that follow.
func (c *Conn) SetLimit(limit int) { c.conf.Limit = limit }

// SetTimeouts changes both timeouts for the reads and writes that follow.
func (c *Conn) SetTimeouts(read, write time.Duration) {
	c.conf.ReadTimeout = read
	c.conf.WriteTimeout = write
}

// SetReadTimeout changes the timeout of the reads that follow; the reading goroutine calls it.
func (c *Conn) SetReadTimeout(read time.Duration) { c.conf.ReadTimeout = read }

// Next returns the body of the next frame; it is valid until the next call.
func (c *Conn) Next() ([]byte, error) {
	if err := c.extendRead(); err != nil {
		return nil, err
	}
	length, err := readLength(c.reader)
	if err != nil {
		return nil, err
	}
	if length > uint64(c.conf.Limit) {
		return nil, &TooLargeError{Length: length, Limit: c.conf.Limit}
	}
	return c.readBody(int(length))
}

// readBody takes memory only as bytes arrive, so that a length alone costs nothing.
func (c *Conn) readBody(length int) ([]byte, error) {
	if cap(c.body) > keepBytes {
		c.body = nil
	}
	c.body = c.body[:0]
	for len(c.body) < length {
		from := len(c.body)
		step := min(length-from, max(from, firstChunk), chunkBytes)
		c.body = slices.Grow(c.body, step)[:from+step]
		if _, err := io.ReadFull(c.reader, c.body[from:]); err != nil {
			return nil, unexpected(err)
		}
		if err := c.extendRead(); err != nil {
			return nil, err
		}
	}
	return c.body, nil
}

// Write sends bytes that hold whole frames.
func (c *Conn) Write(frames []byte) error {
	if c.conf.WriteTimeout > 0 {
		if err := c.conf.Conn.SetWriteDeadline(time.Now().Add(c.conf.WriteTimeout)); err != nil {
			return err
		}
	}
	_, err := c.conf.Conn.Write(frames)
	return err
}

// Close closes the connection.
func (c *Conn) Close() error { return c.conf.Conn.Close() }

func (c *Conn) extendRead() error {
	if c.conf.ReadTimeout <= 0 {
		return nil
	}
	return c.conf.Conn.SetReadDeadline(time.Now().Add(c.conf.ReadTimeout))
}

// Append appends a frame with this body to dst.
func Append(dst, body []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(body)))
	return append(dst, body...)
}

func readLength(r *bufio.Reader) (uint64, error) {
	first, err := r.Peek(1)
	if err != nil {
		return 0, err
	}
	if first[0] < 0x80 {
		_, err = r.Discard(1)
		return uint64(first[0]), err
	}
	length, err := binary.ReadUvarint(r)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return 0, io.ErrUnexpectedEOF
	}
	var timeout net.Error
	if err != nil && !errors.As(err, &timeout) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, io.ErrClosedPipe) {
		return 0, ErrLength
	}
	return length, err
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
