package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// kind is the first byte of a frame.
type kind byte

const (
	kindOpen kind = iota + 1 // kindOpen begins a stream; its number is the age of the connection in milliseconds.
	kindData                 // kindData carries bytes.
	kindEnd                  // kindEnd ends both directions of a stream.
	kindRoom                 // kindRoom tells that so many more bytes may be sent on a stream.
	kindLoad                 // kindLoad tells how much of its processor the sender uses, in thousandths.
	kindPing                 // kindPing asks for a kindPong.
	kindPong
)

// errFrame is a frame that can't be read.
var errFrame = errors.New("hand-over frame is malformed")

// message is one frame. Frames are a kind, the number of a stream, and bytes or a number.
type message struct {
	kind   kind
	stream uint64
	number uint64 // number is that of kindOpen, kindRoom and kindLoad.
	data   []byte // data is that of kindData; it is valid until the next frame is read.
}

// hasNumber tells whether frames of a kind end with a number.
func (k kind) hasNumber() bool { return k == kindOpen || k == kindRoom || k == kindLoad }

// appendTo appends the frame with its length.
func (m *message) appendTo(dst []byte) []byte {
	var head [1 + 2*binary.MaxVarintLen64]byte
	body := append(head[:0], byte(m.kind))
	body = binary.AppendUvarint(body, m.stream)
	if m.kind.hasNumber() {
		body = binary.AppendUvarint(body, m.number)
	}
	dst = binary.AppendUvarint(dst, uint64(len(body)+len(m.data)))
	return append(append(dst, body...), m.data...)
}

// parse reads the body of a frame.
func parse(body []byte) (message, error) {
	if len(body) == 0 {
		return message{}, fmt.Errorf("%w: it is empty", errFrame)
	}
	m := message{kind: kind(body[0])}
	if m.kind < kindOpen || m.kind > kindPong {
		return message{}, fmt.Errorf("%w: kind %d is not known", errFrame, body[0])
	}
	rest := body[1:]
	n := 0
	if m.stream, n = binary.Uvarint(rest); n <= 0 {
		return message{}, fmt.Errorf("%w: no number of a stream", errFrame)
	}
	rest = rest[n:]
	if !m.kind.hasNumber() {
		m.data = rest
		return m, nil
	}
	if m.number, n = binary.Uvarint(rest); n <= 0 || n < len(rest) {
		return message{}, fmt.Errorf("%w: no number in a frame of kind %d", errFrame, m.kind)
	}
	return m, nil
}

// oldestAge bounds the age of a connection that a peer tells; callers wait for less.
const oldestAge = time.Minute

// age returns the age of a kindOpen.
func (m *message) age() time.Duration {
	return time.Duration(min(m.number, uint64(oldestAge/time.Millisecond))) * time.Millisecond
}
