package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"ryelug/io/wire"
)

const (
	batchBytes  = 64 << 10                    // bytes after which a batch is written
	headerBytes = 2 + 2*binary.MaxVarintLen64 // bytes of a body before its message at most
)

// ErrStamp is a frame whose stamps are impossible.
var ErrStamp = errors.New("frame has an impossible stamp")

// writer sends the ring's messages in batches, and heartbeats when there are none.
// A frame's body is the growth of the sender's stamp, the growth of the echo, and
// the kind and the message, which a heartbeat lacks.
type writer struct {
	link  *Link
	stamp uint64 // stamp is the last one written.
	echo  uint64 // echo is the last one written.
	batch []byte
	body  []byte
}

func (w *writer) run(ctx context.Context) error {
	beat := time.NewTimer(w.link.mesh.conf.Heartbeat)
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
		}
		if err := w.write(w.link.ring.takeAll(idle)); err != nil {
			return err
		}
		beat.Reset(w.link.mesh.conf.Heartbeat)
	}
}

// heartbeat appends an empty frame. The ring is empty and locked meanwhile, so
// that no message with an older echo follows.
func (w *writer) heartbeat() { w.append(wire.KindHeartbeat, w.link.seen.Load(), nil) }

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
	before := len(w.batch)
	w.batch = binary.AppendUvarint(w.batch, uint64(len(w.body)+len(message)))
	w.batch = append(w.batch, w.body...)
	w.batch = append(w.batch, message...)
	w.link.mesh.stats.out.add(kind, len(w.batch)-before)
}

func (w *writer) flush() error {
	if len(w.batch) == 0 {
		return nil
	}
	err := w.link.conn.Write(w.batch)
	w.batch = w.batch[:0]
	if cap(w.batch) > 2*batchBytes {
		w.batch = nil
	}
	return err
}

// reader turns frames into events.
type reader struct {
	link    *Link
	decoder *wire.Decoder
	stamp   uint64 // stamp is the newest one of the other end.
	echo    uint64 // echo is the newest one of ours that came back.
}

func (r *reader) run(ctx context.Context) error {
	for {
		body, err := r.link.conn.Next()
		if err != nil {
			return err
		}
		ev, err := r.parse(body)
		if err != nil {
			return err
		}
		if err := r.link.mesh.emit(ctx, r.link, ev); err != nil {
			return err
		}
	}
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
	r.link.mesh.stats.in.add(kind, frameBytes(len(body)))
	ev := &Received{Link: r.link, Echoed: r.link.clock.at(r.echo), stamp: r.stamp}
	if len(rest) == 0 && kind == wire.KindHeartbeat {
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

// The growths of the stamp and the echo share a byte; one that does not fit follows as a varint.
const (
	growthBits    = 4
	growthFollows = 1<<growthBits - 1
)

func appendGrowths(dst []byte, stamp, echo uint64) []byte {
	dst = append(dst, byte(min(stamp, growthFollows)<<growthBits|min(echo, growthFollows)))
	for _, grown := range []uint64{stamp, echo} {
		if grown >= growthFollows {
			dst = binary.AppendUvarint(dst, grown)
		}
	}
	return dst
}

// growth returns a growth, which follows in src if it did not fit.
func growth(short uint64, src []byte) (grown uint64, rest []byte, ok bool) {
	if short < growthFollows {
		return short, src, true
	}
	grown, n := binary.Uvarint(src)
	if n <= 0 {
		return 0, nil, false
	}
	return grown, src[n:], true
}

// frameBytes returns the bytes on the wire of a frame with a body of n bytes.
func frameBytes(n int) int {
	var buf [binary.MaxVarintLen64]byte
	return n + binary.PutUvarint(buf[:], uint64(n))
}

// serve runs an open link until it closes and tells the consumer of it.
func (l *Link) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.Close()
	conf := &l.mesh.conf
	l.conn.SetLimit(conf.MaxFrame + headerBytes)
	l.conn.SetTimeouts(conf.Silent, conf.Silent)
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	written := make(chan error, 1)
	go func() {
		err := (&writer{link: l}).run(ctx)
		l.Close()
		written <- err
	}()
	err := (&reader{link: l, decoder: wire.NewDecoder()}).run(ctx)
	l.Close()
	if other := <-written; other != nil && errorIsClosed(err) {
		err = other
	}
	return err
}
