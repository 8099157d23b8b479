package stamped

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"ryelug/io/wire"
)

const (
	batchBytes  = 64 << 10                    // bytes after which a batch is written
	headerBytes = 2 + 2*binary.MaxVarintLen64 // bytes of a body before its message at most
)

// writer sends the ring's messages in batches, and heartbeats when there are none.
// A frame's body is the growth of the sender's stamp, the growth of the echo, and
// the kind and the message, which a heartbeat lacks.
type writer struct {
	link  *Link
	stamp uint64 // stamp is the last one written.
	echo  uint64 // echo is the last one written.
	calm  bool   // calm tells that the last frame was a calm one.
	batch []byte
	body  []byte
}

func (w *writer) run(ctx context.Context) error {
	beat := time.NewTimer(w.link.config.Heartbeat)
	defer beat.Stop()
	for {
		var idle func()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.link.closed:
			return nil
		case <-w.link.ring.wake:
		case <-beat.C:
			idle = w.heartbeat
		case <-w.link.rouse:
			idle = w.heartbeat
		}
		if err := w.write(w.link.ring.takeAll(idle)); err != nil {
			return err
		}
		beat.Reset(w.pause())
	}
}

// heartbeat appends an empty frame. The ring is empty and locked meanwhile, so
// that no message with an older echo follows.
func (w *writer) heartbeat() {
	kind := wire.KindHeartbeat
	if w.link.calm.Load() {
		kind = wire.KindCalm
	}
	w.append(kind, w.link.seen.Load(), nil)
}

// pause returns the time to the next heartbeat, as the last frame has promised it.
func (w *writer) pause() time.Duration {
	if w.calm {
		return w.link.config.Idle
	}
	return w.link.config.Heartbeat
}

func (w *writer) write(items []outgoing) error {
	for _, out := range items {
		w.append(out.kind, out.echo, out.body)
		if len(w.batch) < batchBytes {
			continue
		}
		if err := w.flush(); err != nil {
			return err
		}
	}
	return w.flush()
}

func (w *writer) append(kind wire.Kind, echo uint64, message []byte) {
	stamp := w.link.clock.stamp()
	w.body = appendGrowths(w.body[:0], stamp-w.stamp, echo-w.echo)
	if kind != wire.KindHeartbeat {
		w.body = append(w.body, byte(kind))
	}
	w.stamp = stamp
	w.echo = echo
	w.calm = kind == wire.KindCalm
	before := len(w.batch)
	w.batch = binary.AppendUvarint(w.batch, uint64(len(w.body)+len(message)))
	w.batch = append(w.batch, w.body...)
	w.batch = append(w.batch, message...)
	w.link.config.Stats.out.add(kind, len(w.batch)-before)
}

func (w *writer) flush() error {
	if len(w.batch) == 0 {
		return nil
	}
	err := w.link.config.Conn.Write(w.batch)
	w.batch = w.batch[:0]
	if cap(w.batch) > 2*batchBytes {
		w.batch = nil
	}
	return err
}

// reader turns frames into events.
type reader struct {
	link    *Link
	emit    func(*Received) error
	decoder *wire.Decoder
	stamp   uint64 // stamp is the newest one of the other end.
	echo    uint64 // echo is the newest one of ours that came back.
	calm    bool   // calm tells that the last frame was a calm one.
}

func (r *reader) run() error {
	for {
		body, err := r.link.config.Conn.Next()
		if err != nil {
			return err
		}
		ev, err := r.parse(body)
		if err != nil {
			return err
		}
		r.link.config.Conn.SetReadTimeout(r.silence())
		if err := r.emit(ev); err != nil {
			return err
		}
	}
}

// silence returns the pause after the last frame after which the link is closed.
func (r *reader) silence() time.Duration {
	if r.calm {
		return r.link.config.Idle + r.link.config.Silent
	}
	return r.link.config.Silent
}

func (r *reader) parse(body []byte) (*Received, error) {
	rest, err := r.stamps(body)
	if err != nil {
		return nil, err
	}
	kind := wire.KindHeartbeat
	if len(rest) > 0 {
		kind, rest = wire.Kind(rest[0]), rest[1:]
	}
	r.link.config.Stats.in.add(kind, frameBytes(len(body)))
	ev := &Received{link: r.link, Echoed: r.link.clock.at(r.echo), stamp: r.stamp}
	r.calm = kind == wire.KindCalm
	if len(rest) == 0 && (kind == wire.KindHeartbeat || kind == wire.KindCalm) {
		return ev, nil
	}
	ev.Message, err = r.decoder.Decode(kind, rest)
	return ev, err
}

// stamps reads the growths at the start of a body and returns the rest.
func (r *reader) stamps(body []byte) ([]byte, error) {
	if len(body) == 0 {
		return nil, ErrStamp
	}
	stamp, rest, stampOK := growth(uint64(body[0]>>growthBits), body[1:])
	echo, rest, echoOK := growth(uint64(body[0]&growthFollows), rest)
	if !stampOK || !echoOK || r.stamp+stamp < r.stamp || r.echo+echo < r.echo {
		return nil, ErrStamp
	}
	r.stamp += stamp
	r.echo += echo
	if now := r.link.clock.stamp(); r.echo > now {
		return nil, fmt.Errorf("%w: echo of %d at %d", ErrStamp, r.echo, now)
	}
	return rest, nil
}

// frameBytes returns the bytes on the wire of a frame with a body of n bytes.
func frameBytes(n int) int {
	var buf [binary.MaxVarintLen64]byte
	return n + binary.PutUvarint(buf[:], uint64(n))
}

// Serve writes and reads until the link closes and returns why. It hands over each frame
// with emit, which may wait; meanwhile the link is not read.
func (l *Link) Serve(ctx context.Context, emit func(*Received) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.Close()
	l.config.Conn.SetLimit(l.config.MaxFrame + headerBytes)
	l.config.Conn.SetTimeouts(l.config.Silent, l.config.Silent)
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	written := make(chan error, 1)
	go func() {
		err := (&writer{link: l}).run(ctx)
		l.Close()
		written <- err
	}()
	err := (&reader{link: l, emit: emit, decoder: wire.NewDecoder()}).run()
	l.Close()
	if other := <-written; other != nil && IsClosed(err) {
		err = other
	}
	return err
}

// IsClosed tells whether an error comes of a connection that this end has closed.
func IsClosed(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrClosedPipe)
}
