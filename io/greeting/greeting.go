package greeting

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
const Version = 6

// MaxFrame bounds a frame of a greeting, in bytes.
const MaxFrame = 2 << 10

const (
	magic      = "ryelug"
	nonceBytes = 32
	maxAge     = 1 << 40 // milliseconds, more than any process runs
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

// Hello is the first frame of each end. Its layout up to the version is the same in all versions.
type Hello struct {
	Router     cell.RouterID
	DataCentre string
	Age        time.Duration // Age is how long the process has run, in whole milliseconds.

	version uint64
	nonce   []byte
}

// Greeting carries one end through the handshake. The dialer proves the key
// first, so a stranger who connects learns no value made with the key.
type Greeting struct {
	Conn       *frame.Conn
	Self       cell.RouterID
	DataCentre string
	Age        time.Duration // Age is how long this process has run.
	Key        []byte
}

// Dial greets the router of a host that this end has dialed.
func (g *Greeting) Dial(want cell.HostID) (*Hello, error) {
	ours := g.newHello()
	if err := g.sendHello(ours); err != nil {
		return nil, err
	}
	theirs, err := g.readHello()
	if err != nil {
		return nil, err
	}
	if theirs.Router.Host() != want {
		return nil, fmt.Errorf("%w: want %s, have %s", ErrHost, want, theirs.Router)
	}
	if err := g.Conn.Write(frame.Append(nil, g.proof(dialerRole, ours, theirs))); err != nil {
		return nil, err
	}
	return theirs, g.checkProof(g.proof(acceptorRole, ours, theirs))
}

// Accept greets a router that has dialed this end.
func (g *Greeting) Accept() (*Hello, error) {
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
	if err := g.Conn.Write(frame.Append(nil, g.proof(acceptorRole, theirs, ours))); err != nil {
		return nil, err
	}
	return theirs, nil
}

func (g *Greeting) newHello() *Hello {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // It never fails.
	return &Hello{version: Version, nonce: nonce, Router: g.Self, DataCentre: g.DataCentre, Age: g.Age}
}

func (g *Greeting) sendHello(h *Hello) error {
	return g.Conn.Write(frame.Append(nil, encodeHello(h)))
}

// refuseVersion tells a peer of another version which one this router speaks.
func (g *Greeting) refuseVersion(err error) {
	var version *VersionError
	if errors.As(err, &version) {
		_ = g.sendHello(g.newHello()) // The link is refused whether or not this arrives.
	}
}

func (g *Greeting) readHello() (*Hello, error) {
	body, err := g.Conn.Next()
	if err != nil {
		var large *frame.TooLargeError
		if errors.As(err, &large) {
			return nil, fmt.Errorf("%w: %w", ErrMagic, err)
		}
		return nil, err
	}
	return parseHello(body)
}

func (g *Greeting) checkProof(want []byte) error {
	have, err := g.Conn.Next()
	if err != nil {
		return fmt.Errorf("waiting for the key proof: %w", err)
	}
	if !hmac.Equal(want, have) {
		return ErrKeyProof
	}
	return nil
}

// proof binds the key to the role, both hellos and the protocol.
func (g *Greeting) proof(role string, dialer, acceptor *Hello) []byte {
	mac := hmac.New(sha256.New, g.Key)
	var text []byte
	text = appendField(text, []byte(magic))
	text = appendField(text, []byte(role))
	text = appendField(text, encodeHello(dialer))
	text = appendField(text, encodeHello(acceptor))
	mac.Write(text)
	return mac.Sum(nil)
}

func encodeHello(h *Hello) []byte {
	dst := []byte(magic)
	dst = binary.AppendUvarint(dst, h.version)
	dst = appendField(dst, h.nonce)
	dst = appendField(dst, []byte(h.Router))
	dst = appendField(dst, []byte(h.DataCentre))
	return binary.AppendUvarint(dst, uint64(h.Age/time.Millisecond))
}

func parseHello(body []byte) (*Hello, error) {
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
	return &Hello{
		Router:     cell.RouterID(router),
		DataCentre: string(dc),
		Age:        time.Duration(age) * time.Millisecond,
		version:    version,
		nonce:      append([]byte(nil), nonce...),
	}, nil
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
