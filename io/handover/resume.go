package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	suspectAfter         = 400 * time.Millisecond // suspectAfter is how long a ping may stay unanswered before the transport is replaced.
	calmSpan             = 10 * time.Second       // calmSpan is the time without a replacement after which suspectAfter holds again.
	maxUnacknowledged    = 1 << 20                // maxUnacknowledged limits the bytes that are kept until the other end has acknowledged them; a link with more can't be resumed.
	maxUnacknowledgedNew = 128 << 10              // maxUnacknowledgedNew is that limit while it is not known whether the other end can resume.
)

// errNotResumable is returned if the other end does not know the link, or can't have all frames that it lacks.
var errNotResumable = errors.New("the other end can't resume the link")

// resumption is the error that ends the reading of a transport whose other end resumes another link over it.
type resumption struct {
	session  uint64 // session names the link.
	received uint64 // received is how many of its frames the other end has received.
}

// Error implements error.
func (r *resumption) Error() string { return fmt.Sprintf("the other end resumes link %d", r.session) }

// isReliable reports whether frames of this kind are counted, and sent again when the link is resumed.
func (k kind) isReliable() bool {
	return k == kindOpen || k == kindData || k == kindEnd || k == kindWindow
}

// appendState returns the data of a kindPong frame that tells the state of the sender: the version of the sender's configuration, the number of
// reliable frames that it has received, and the session of the link; zero means unknown. Peers of older releases neither send the
// data nor look at it.
func appendState(version, received, session uint64) []byte {
	data := binary.AppendUvarint(nil, version)
	data = binary.AppendUvarint(data, received)
	return binary.AppendUvarint(data, session)
}

// state returns what the data of a kindPong frame tells, and false if it tells nothing.
func (m *message) state() (version, received, session uint64, ok bool) {
	rest := m.data
	for _, to := range []*uint64{&version, &received, &session} {
		value, n := binary.Uvarint(rest)
		if n <= 0 {
			return 0, 0, 0, false
		}
		*to, rest = value, rest[n:]
	}
	return version, received, session, true
}

// keep stores an encoded reliable frame until the other end has acknowledged it. The caller must hold mu.
func (l *link) keep(encoded []byte) {
	limit := maxUnacknowledgedNew
	if l.canResume {
		limit = maxUnacknowledged
	}
	if l.isLossy = l.isLossy || len(l.unacknowledged)+len(encoded) > limit; l.isLossy {
		l.unacknowledged = nil
		return
	}
	l.unacknowledged = append(l.unacknowledged, encoded...)
}

// acknowledge drops the frames that the other end has received, and reports whether all later ones are kept. The caller must
// hold mu.
func (l *link) acknowledge(received uint64) bool {
	if l.isLossy || received < l.acknowledged {
		return false
	}
	rest := l.unacknowledged
	for ; l.acknowledged < received; l.acknowledged++ {
		length, n := binary.Uvarint(rest)
		if n <= 0 || uint64(len(rest)-n) < length {
			return false
		}
		rest = rest[n+int(length):]
	}
	if len(rest) == 0 {
		l.unacknowledged = l.unacknowledged[:0]
		if cap(l.unacknowledged) > maxKeptBatch {
			l.unacknowledged = nil
		}
		return true
	}
	l.unacknowledged = append(l.unacknowledged[:0], rest...)
	return true
}

// noteState handles what a kindPong frame tells.
func (l *link) noteState(m *message) error {
	version, received, session, ok := m.state()
	if !ok {
		return nil
	}
	if version > 0 {
		l.version.Store(version)
	}
	l.mu.Lock()
	l.canResume = true
	isKnown := l.isLossy || l.acknowledge(received)
	isNew := session > 0 && l.session == 0
	if isNew {
		l.session = session
	}
	l.mu.Unlock()
	if !isKnown {
		return fmt.Errorf("%w: %d frames are acknowledged", errMalformedFrame, received)
	}
	if isNew && l.opened != nil {
		l.opened(session)
	}
	return nil
}

// tellState tells the other end the version of this one, if it is not zero, and acknowledges what was received. What is sent later
// was decided by this version or a newer one.
func (l *link) tellState(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendState(version)
}

// appendState queues a frame that tells the state of this end; the caller must hold mu.
func (l *link) appendState(version uint64) {
	if l.down || l.current == nil {
		return
	}
	session := uint64(0)
	if l.accept == nil { // Only the dialing end names the session.
		session = l.session
	}
	l.toldReceived = l.received.Load()
	l.append(&message{kind: kindPong, data: appendState(version, l.toldReceived, session)})
}

// acknowledgeReceived tells the other end how many frames have been received, if that has changed.
func (l *link) acknowledgeReceived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.canResume && l.received.Load() != l.toldReceived {
		l.appendState(0)
	}
}

// lastTransport returns the latest transport.
func (l *link) lastTransport() *transport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// isUsable reports whether the link has a transport that is not suspected to be silent.
func (l *link) isUsable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.down && l.current != nil
}

// mayResume reports whether a link that has lost its transport can be resumed.
func (l *link) mayResume() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.canResume && !l.isLossy && !l.down
}

// sever closes the transport, so that the link is resumed over another one. It reports whether the other end can do so.
func (l *link) sever() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.canResume || l.isLossy || l.down {
		return false
	}
	if l.current != nil {
		l.current.close()
		l.current = nil
	}
	return true
}

// release takes the transport from the link and waits until all that it has brought is handled.
func (l *link) release() {
	l.mu.Lock()
	l.current = nil
	t := l.last
	l.mu.Unlock()
	t.close()
	<-t.served
}

// attach lets the link go on over a transport, from the frame after those that the other end has received. It returns false if they
// are not kept, or the link is closed.
func (l *link) attach(t *transport, received, version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || !l.acknowledge(received) {
		return false
	}
	l.current, l.last, l.out = t, t, l.out[:0]
	l.appendState(version) // Before the frames that are sent again, some of which may have been decided by this version.
	l.out = append(l.out, l.unacknowledged...)
	l.resumes.Add(1)
	wake(l.ready)
	return true
}

// resume dials the other end until it goes on with the link, and returns the transport. It returns an error if the other end has
// forgotten the link, does not listen any more, or is not reached in time.
func (d *Dialer) resume(l *link, remote *remoteEnd) (*transport, error) {
	l.release()
	for end := time.Now().Add(silenceTimeout - suspectAfter); ; {
		t, err := d.resumeOnce(l, remote)
		if err == nil || errors.Is(err, errNotResumable) || errors.Is(err, syscall.ECONNREFUSED) || !time.Now().Before(end) {
			return t, err
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(retryDelay):
		}
	}
}

// retryDelay is the time between two attempts to resume a link.
const retryDelay = 100 * time.Millisecond

// resumeOnce makes one attempt to resume a link.
func (d *Dialer) resumeOnce(l *link, remote *remoteEnd) (*transport, error) {
	t, hello, err := d.dial(remote.host, remote.address)
	if err != nil {
		return nil, err
	}
	if hello.Router != remote.router {
		t.close()
		return nil, fmt.Errorf("%w: its process is %q now, it was %q", errNotResumable, hello.Router, remote.router)
	}
	_ = t.raw.SetDeadline(time.Now().Add(resumeTimeout))
	l.mu.Lock()
	session := l.session
	l.mu.Unlock()
	received, err := askToResume(t, session, l.received.Load())
	if err != nil {
		t.close()
		return nil, err
	}
	_ = t.raw.SetDeadline(time.Time{})
	if !l.attach(t, received, d.ownVersion()) {
		t.close()
		return nil, errNotResumable
	}
	return t, nil
}

// resumeTimeout limits how long the other end may take to answer that it goes on with a link.
const resumeTimeout = time.Second

// askToResume asks the other end to go on with a link, and returns how many frames it has received.
func askToResume(t *transport, session, received uint64) (uint64, error) {
	if err := t.conn.Write((&message{kind: kindResume, stream: session, number: received}).appendTo(nil)); err != nil {
		return 0, err
	}
	for {
		body, err := t.conn.Next()
		if err != nil {
			return 0, err
		}
		m, err := parse(body)
		switch {
		case err != nil:
			return 0, err
		case m.kind == kindResume && m.stream == session:
			return m.number, nil
		case m.kind == kindResume:
			return 0, errNotResumable
		case m.kind.isReliable():
			return 0, fmt.Errorf("%w: kind %d before the answer to a resumption", errMalformedFrame, m.kind)
		}
	}
}

// resume lets a link go on over a transport, if it is known and has all frames that the other end lacks. It returns the link, or nil.
func (a *Acceptor) resume(t *transport, from *resumption, key sessionKey) *link {
	a.mu.Lock()
	l, version := a.sessions[key], a.version
	a.mu.Unlock()
	answer := &message{kind: kindResume}
	if l != nil {
		l.resuming.Lock()
		defer l.resuming.Unlock()
		l.release()
		if answer.number = l.received.Load(); l.keeps(from.received) {
			answer.stream = key.session
		}
	}
	if err := t.conn.Write(answer.appendTo(nil)); err != nil || answer.stream == 0 || !l.attach(t, from.received, version) {
		return nil
	}
	return l
}

// keeps reports whether the link has all frames after those that the other end has received.
func (l *link) keeps(received uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.down && l.acknowledge(received)
}

// closeUnlessResumed closes the link if it has had no transport for silenceTimeout.
func (l *link) closeUnlessResumed() {
	resumes := l.resumes.Load()
	select {
	case <-l.closed:
	case <-time.After(silenceTimeout):
		if l.resumes.Load() == resumes && !l.isUsable() {
			l.close()
		}
	}
}
