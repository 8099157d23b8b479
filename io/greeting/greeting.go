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

// Version is the version of the protocol between routers; both ends of a link must have the same.
const Version = 8

// MaxFrame limits the body of a frame during the handshake, in bytes.
const MaxFrame = 2 << 10

const (
	magic        = "ryelug"
	nonceBytes   = 32
	maxAgeMillis = 1 << 40 // Milliseconds, about 35 years; longer than any process runs.
)

// The role is part of the proof, so that the proof of one end can't be replayed as that of the other.
const (
	dialerRole   = "dialer"
	acceptorRole = "acceptor"
)

// Errors of a handshake; test for them with errors.Is.
var (
	// ErrMagic is returned if the other end sends something other than a valid hello.
	ErrMagic = errors.New("the other end does not speak the peer protocol")
	// ErrKeyProof is returned if the proof of the other end does not match the key.
	ErrKeyProof = errors.New("the other end does not hold the shared key")
	// ErrHost is returned if the router that answered runs on another host than the one dialled.
	ErrHost = errors.New("the other end is not the host that was dialed")
)

// VersionError is returned if the other end has another protocol version.
type VersionError struct{ Ours, Theirs uint64 }

// Error returns a message with both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("the other end speaks version %d of the peer protocol, this router %d", e.Theirs, e.Ours)
}

// Hello is the first frame of each end: its identity and a nonce. The layout up to the version field is the same in
// all protocol versions.
type Hello struct {
	Router     cell.RouterID // Router is the id of the sender.
	DataCentre string        // DataCentre is the data centre of the sender's host.
	Age        time.Duration // Age is how long the sender's process has run, in whole milliseconds.

	version uint64
	nonce   []byte
}

// Greeting performs the handshake for one end of a link. The dialling router proves the key
// first, so an unauthenticated client that connects receives nothing derived from the key.
type Greeting struct {
	Conn       *frame.Conn   // Conn carries the handshake; the caller sets its timeouts and closes it.
	Self       cell.RouterID // Self is the id of this router.
	DataCentre string        // DataCentre is the data centre of this host.
	Age        time.Duration // Age is how long this process has run.
	Key        []byte        // Key is the secret shared by all routers.
}

// Dial performs the handshake on a connection that this end dialled, and returns the hello of the other end.
// Its errors are ErrMagic, ErrKeyProof, ErrHost (the other router does not run on host want), a VersionError,
// or an error of the connection.
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

// Accept performs the handshake on a connection that this end accepted, and returns the hello of the other end.
// Its errors are ErrMagic, ErrKeyProof, a VersionError, or an error of the connection.
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
	_, _ = rand.Read(nonce) // Read never returns an error.
	return &Hello{version: Version, nonce: nonce, Router: g.Self, DataCentre: g.DataCentre, Age: g.Age}
}

func (g *Greeting) sendHello(h *Hello) error {
	return g.Conn.Write(frame.Append(nil, encodeHello(h)))
}

// refuseVersion sends a hello to a peer with another protocol version, so that it learns the version of this router.
func (g *Greeting) refuseVersion(err error) {
	var version *VersionError
	if errors.As(err, &version) {
		_ = g.sendHello(g.newHello()) // The link is closed whether or not this arrives.
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

// checkProof reads the proof of the other end and compares it with want.
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

// proof returns the HMAC-SHA256, with the shared key, over the protocol's name, the role and both hellos.
func (g *Greeting) proof(role string, dialer, acceptor *Hello) []byte {
	mac := hmac.New(sha256.New, g.Key)
	var input []byte
	input = appendField(input, []byte(magic))
	input = appendField(input, []byte(role))
	input = appendField(input, encodeHello(dialer))
	input = appendField(input, encodeHello(acceptor))
	mac.Write(input)
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
	dataCentre, rest, dataCentreOK := cutField(rest)
	ageMillis, ageBytes := binary.Uvarint(rest)
	isComplete := nonceOK && routerOK && dataCentreOK && ageBytes > 0 && ageBytes == len(rest) && ageMillis <= maxAgeMillis
	if !isComplete || len(nonce) != nonceBytes || len(router) == 0 {
		return nil, fmt.Errorf("%w: malformed hello", ErrMagic)
	}
	return &Hello{
		Router:     cell.RouterID(router),
		DataCentre: string(dataCentre),
		Age:        time.Duration(ageMillis) * time.Millisecond,
		version:    version,
		nonce:      append([]byte(nil), nonce...),
	}, nil
}

// appendField appends a field preceded by its length as a varint.
func appendField(dst, field []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(field)))
	return append(dst, field...)
}

// cutField splits the first field off src; ok is false if src is too short.
func cutField(src []byte) (field, rest []byte, ok bool) {
	length, n := binary.Uvarint(src)
	if n <= 0 || length > uint64(len(src)-n) {
		return nil, nil, false
	}
	end := n + int(length)
	return src[n:end], src[end:], true
}
