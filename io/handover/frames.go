package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// kind is the type of a frame, its first byte.
type kind byte

const (
	kindOpen   kind = iota + 1 // kindOpen opens a stream; its number is the age of the connection in milliseconds.
	kindData                   // kindData carries bytes of a stream.
	kindEnd                    // kindEnd closes both directions of a stream; its data may be endUnread.
	kindWindow                 // kindWindow enlarges the send window of a stream; its number is the increment in bytes.
	kindLoad                   // kindLoad reports the processor utilisation of the sender; its number is in thousandths.
	kindPing                   // kindPing requests a kindPong.
	kindPong                   // kindPong answers a kindPing, or tells the state of the sender, with the data that appendState returns.
	kindResume                 // kindResume asks the other end to resume the link that its stream field names, or answers that; its number is how many frames the sender has received.
)

// endUnread is the data of the kindEnd frame of a stream that the accepting end closed before it read any byte. Peers of
// older releases neither send it nor look at the data.
var endUnread = []byte{1}

// errMalformedFrame is wrapped by all errors about frames that are malformed or violate the protocol.
var errMalformedFrame = errors.New("malformed hand-over frame")

// message is a decoded frame. On the wire, a frame consists of its length, its kind, the ID of a stream, and data or a
// number; lengths, IDs and numbers are unsigned varints.
type message struct {
	kind   kind
	stream uint64 // stream is the ID of the stream; zero in frames that concern the whole link.
	number uint64 // number is the value in a kindOpen, kindWindow, kindLoad or kindResume frame; zero in others.
	data   []byte // data is the payload of a kindData or kindEnd frame; after parse it is valid until the next frame is read.
}

// hasNumber reports whether frames of this kind carry a number in place of data.
func (k kind) hasNumber() bool {
	return k == kindOpen || k == kindWindow || k == kindLoad || k == kindResume
}

// appendTo appends the encoded frame, preceded by its length, to dst.
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

// parse decodes a frame without its length. Its errors wrap errMalformedFrame.
func parse(body []byte) (message, error) {
	if len(body) == 0 {
		return message{}, fmt.Errorf("%w: empty frame", errMalformedFrame)
	}
	m := message{kind: kind(body[0])}
	if m.kind < kindOpen || m.kind > kindResume {
		return message{}, fmt.Errorf("%w: kind %d is not known", errMalformedFrame, body[0])
	}
	rest := body[1:]
	n := 0
	if m.stream, n = binary.Uvarint(rest); n <= 0 {
		return message{}, fmt.Errorf("%w: no number of a stream", errMalformedFrame)
	}
	rest = rest[n:]
	if !m.kind.hasNumber() {
		m.data = rest
		return m, nil
	}
	if m.number, n = binary.Uvarint(rest); n <= 0 || n < len(rest) {
		return message{}, fmt.Errorf("%w: no number in a frame of kind %d", errMalformedFrame, m.kind)
	}
	return m, nil
}

// maxReportedAge is the upper limit for the age of a connection that a peer reports; callers do not wait that long.
const maxReportedAge = time.Minute

// age returns the age of the connection in a kindOpen frame, at most maxReportedAge.
func (m *message) age() time.Duration {
	return time.Duration(min(m.number, uint64(maxReportedAge/time.Millisecond))) * time.Millisecond
}
