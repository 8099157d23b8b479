package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"ryelug/core/cell"
	"ryelug/io/frame"
)

// Version is the version of the protocol; both ends of a link must have the same.
const Version = 1

const (
	magic         = "ryelug"
	nonceBytes    = 32
	greetingBytes = 2 << 10 // bytes of the longest greeting frame
	maxAge        = 1 << 40 // milliseconds, more than any process runs
)

// Roles keep a proof of one end from serving as the proof of the other.
const (
	dialerRole   = "dialer"
	acceptorRole = "acceptor"
)

// Errors of greetings.
var (
	ErrMagic    = errors.New("the other end does not speak the peer protocol")
	ErrKeyProof = errors.New("the other end does not hold the shared key")
	ErrHost     = errors.New("the other end is not the host that was dialed")
)

// VersionError is a peer of another protocol version.
type VersionError struct{ Ours, Theirs uint64 }

// Error names both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("the other end speaks version %d of the peer protocol, this router %d", e.Theirs, e.Ours)
}

// hello is the first frame of each end. Its layout up to the version is the same in all versions.
type hello struct {
	version uint64
	nonce   []byte
	router  cell.RouterID
	dc      string
	age     time.Duration // age is how long the process has run, in whole milliseconds.
}

// greeting carries one end through the handshake. The dialer proves the key
// first, so a stranger who connects learns no value made with the key.
type greeting struct {
	conf *Config
	conn *frame.Conn
	age  time.Duration
}

func (g *greeting) dial(want cell.HostID) (*hello, error) {
	ours := g.newHello()
	if err := g.sendHello(ours); err != nil {
		return nil, err
	}
	theirs, err := g.readHello()
	if err != nil {
		return nil, err
	}
	if theirs.router.Host() != want {
		return nil, fmt.Errorf("%w: want %s, have %s", ErrHost, want, theirs.router)
	}
	if err := g.conn.Write(frame.Append(nil, g.proof(dialerRole, ours, theirs))); err != nil {
		return nil, err
	}
	return theirs, g.checkProof(g.proof(acceptorRole, ours, theirs))
}

func (g *greeting) accept() (*hello, error) {
	theirs, err := g.readHello()
	if err != nil {
		g.refuseVersion(err)
		return nil, err
	}
	ours := g.newHello()
	if err := g.sendHello(ours); err != nil {
		return nil, err
	}
	if err := g.checkProof(g.proof(dialerRole, theirs, ours)); err != nil {
		return nil, err
	}
	if err := g.conn.Write(frame.Append(nil, g.proof(acceptorRole, theirs, ours))); err != nil {
		return nil, err
	}
	return theirs, nil
}

func (g *greeting) newHello() *hello {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // It never fails.
	return &hello{version: Version, nonce: nonce, router: g.conf.Self, dc: g.conf.DataCentre, age: g.age}
}

func (g *greeting) sendHello(h *hello) error {
	return g.conn.Write(frame.Append(nil, encodeHello(h)))
}

// refuseVersion tells a peer of another version which one this router speaks.
func (g *greeting) refuseVersion(err error) {
	var version *VersionError
	if errors.As(err, &version) {
		_ = g.sendHello(g.newHello()) // The link is refused whether or not this arrives.
	}
}

func (g *greeting) readHello() (*hello, error) {
	body, err := g.conn.Next()
	if err != nil {
		var large *frame.TooLargeError
		if errors.As(err, &large) {
			return nil, fmt.Errorf("%w: %w", ErrMagic, err)
		}
		return nil, err
	}
	return parseHello(body)
}

func (g *greeting) checkProof(want []byte) error {
	have, err := g.conn.Next()
	if err != nil {
		return fmt.Errorf("waiting for the key proof: %w", err)
	}
	if !hmac.Equal(want, have) {
		return ErrKeyProof
	}
	return nil
}

// proof binds the key to the role, both hellos and the protocol.
func (g *greeting) proof(role string, dialer, acceptor *hello) []byte {
	mac := hmac.New(sha256.New, g.conf.Key)
	var text []byte
	text = appendField(text, []byte(magic))
	text = appendField(text, []byte(role))
	text = appendField(text, encodeHello(dialer))
	text = appendField(text, encodeHello(acceptor))
	mac.Write(text)
	return mac.Sum(nil)
}

func encodeHello(h *hello) []byte {
	dst := []byte(magic)
	dst = binary.AppendUvarint(dst, h.version)
	dst = appendField(dst, h.nonce)
	dst = appendField(dst, []byte(h.router))
	dst = appendField(dst, []byte(h.dc))
	return binary.AppendUvarint(dst, uint64(h.age/time.Millisecond))
}

func parseHello(body []byte) (*hello, error) {
	if len(body) < len(magic) || string(body[:len(magic)]) != magic {
		return nil, ErrMagic
	}
	version, n := binary.Uvarint(body[len(magic):])
	if n <= 0 {
		return nil, ErrMagic
	}
	if version != Version {
		return nil, &VersionError{Ours: Version, Theirs: version}
	}
	rest := body[len(magic)+n:]
	nonce, rest, nonceOK := cutField(rest)
	router, rest, routerOK := cutField(rest)
	dc, rest, dcOK := cutField(rest)
	age, used := binary.Uvarint(rest)
	whole := nonceOK && routerOK && dcOK && used > 0 && used == len(rest) && age <= maxAge
	if !whole || len(nonce) != nonceBytes || len(router) == 0 {
		return nil, fmt.Errorf("%w: malformed greeting", ErrMagic)
	}
	return &hello{version: version, nonce: append([]byte(nil), nonce...), router: cell.RouterID(router), dc: string(dc), age: time.Duration(age) * time.Millisecond}, nil
}

func appendField(dst, field []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(field)))
	return append(dst, field...)
}

func cutField(src []byte) (field, rest []byte, ok bool) {
	length, n := binary.Uvarint(src)
	if n <= 0 || length > uint64(len(src)-n) {
		return nil, nil, false
	}
	end := n + int(length)
	return src[n:end], src[end:], true
}
