package wire

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ryelug/core/cell"
)

// Encoder writes messages as msgpack arrays. Its buffer can't fail, so the
// first error of the library is a bug and is kept for the caller.
type Encoder struct {
	buf   bytes.Buffer
	enc   *msgpack.Encoder
	names *Names
	err   error
}

// NewEncoder returns an Encoder, which several links may use in turn.
func NewEncoder() *Encoder {
	e := &Encoder{}
	e.enc = msgpack.NewEncoder(&e.buf)
	return e
}

// Encode returns the message's bytes, which are valid until the next call.
func (e *Encoder) Encode(msg Message, names *Names) ([]byte, error) {
	e.buf.Reset()
	e.names = names
	e.err = nil
	e.message(msg)
	return e.buf.Bytes(), e.err
}

func (e *Encoder) message(msg Message) {
	switch m := msg.(type) {
	case *Join:
		e.head(6, m.Cell, m.Session)
		e.keep(e.enc.EncodeBool(m.Stake))
		e.int(m.Unlent.Milliseconds()) // A part of a millisecond is left out: more would be a false claim.
		encodeSlice(e, m.Flights, (*Encoder).flight)
		encodeSlice(e, m.Counters, (*Encoder).counter)
	case *Accepted:
		e.head(2, m.Cell, m.Session)
	case *Release:
		e.head(2, m.Cell, m.Session)
	case *Released:
		e.head(2, m.Cell, m.Session)
	case *Want:
		e.head(3, m.Cell, m.Session)
		encodeSlice(e, m.Demands, (*Encoder).demand)
	case *Withdraw:
		e.head(3, m.Cell, m.Session)
		encodeSlice(e, m.Attempts, func(e *Encoder, a *cell.AttemptID) { e.uint(uint64(*a)) })
	case *Grants:
		e.head(3, m.Cell, m.Session)
		encodeSlice(e, m.Grants, (*Encoder).grant)
	case *Refusals:
		e.head(3, m.Cell, m.Session)
		encodeSlice(e, m.Refusals, (*Encoder).refusal)
	case *Progress:
		e.head(3, m.Cell, m.Session)
		encodeSlice(e, m.Progress, (*Encoder).progress)
	case *Ends:
		e.array(2)
		e.name(string(m.Cell))
		encodeSlice(e, m.Ends, (*Encoder).end)
	case *Counters:
		e.array(2)
		e.name(string(m.Cell))
		encodeSlice(e, m.Counters, (*Encoder).counter)
	default:
		e.config(msg)
	}
}

func (e *Encoder) config(msg Message) {
	switch m := msg.(type) {
	case *Leaving, *Departed:
		e.array(0)
	case *ConfigNews:
		e.array(2)
		e.uint(m.Generation)
		e.keep(e.enc.EncodeBytes(m.Root))
	case *ConfigAsk:
		e.array(1)
		encodeSlice(e, m.Hashes, func(e *Encoder, h *string) { e.string(*h) })
	case *Members:
		e.array(1)
		encodeSlice(e, m.Hosts, func(e *Encoder, h *cell.HostID) { e.string(string(*h)) })
	case *Listed:
		e.array(2)
		e.keep(e.enc.EncodeBool(m.Changed))
		encodeSlice(e, m.Hosts, (*Encoder).host)
	case *ConfigPart:
		e.array(2)
		e.string(m.Hash)
		e.keep(e.enc.EncodeBytes(m.Data))
	}
}

func (e *Encoder) head(fields int, id cell.ID, session cell.Session) {
	e.array(fields)
	e.name(string(id))
	e.uint(uint64(session))
}

func (e *Encoder) demand(d *cell.Demand) {
	e.array(4)
	e.uint(uint64(d.Attempt))
	e.name(string(d.Team))
	e.int(int64(d.Estimate))
	e.name(string(d.Avoid))
}

func (e *Encoder) grant(g *cell.Grant) {
	e.array(3)
	e.uint(uint64(g.Attempt))
	e.name(string(g.Endpoint))
	e.name(string(g.Start))
}

func (e *Encoder) flight(f *cell.Flight) {
	e.array(5)
	e.uint(uint64(f.Attempt))
	e.name(string(f.Team))
	e.name(string(f.Endpoint))
	e.name(string(f.Start))
	e.int(int64(f.Charged))
}

func (e *Encoder) refusal(r *cell.Refusal) {
	e.array(3)
	e.uint(uint64(r.Attempt))
	e.uint(uint64(r.Code))
	e.duration(r.RetryAfter)
}

func (e *Encoder) progress(p *cell.Progress) {
	e.array(2)
	e.uint(uint64(p.Attempt))
	e.int(int64(p.Cost))
}

func (e *Encoder) end(end *cell.End) {
	e.array(4)
	e.uint(uint64(end.Attempt))
	e.uint(uint64(end.Outcome))
	e.int(int64(end.Cost))
	e.duration(end.FirstToken)
}

func (e *Encoder) host(h *Host) {
	e.array(4)
	e.string(string(h.Host))
	e.string(h.Address.String())
	e.string(h.DataCentre)
	e.keep(e.enc.EncodeBool(h.Leaving))
}

func (e *Encoder) counter(c *cell.TeamCounter) {
	e.array(2)
	e.name(string(c.Team))
	e.keep(e.enc.EncodeFloat64(c.Service))
}

// duration writes whole milliseconds, rounded up so that a known time never becomes zero.
func (e *Encoder) duration(d time.Duration) {
	e.int(int64((d + time.Millisecond - 1) / time.Millisecond))
}

// name writes a name once, and from then on its number.
func (e *Encoder) name(name string) {
	if number, ok := e.names.number(name); ok {
		e.uint(number)
		return
	}
	e.string(name)
	e.names.sent(name)
}

func (e *Encoder) array(n int)     { e.keep(e.enc.EncodeArrayLen(n)) }
func (e *Encoder) uint(n uint64)   { e.keep(e.enc.EncodeUint(n)) }
func (e *Encoder) int(n int64)     { e.keep(e.enc.EncodeInt(n)) }
func (e *Encoder) string(s string) { e.keep(e.enc.EncodeString(s)) }

func (e *Encoder) keep(err error) {
	if e.err == nil {
		e.err = err
	}
}

func encodeSlice[T any](e *Encoder, items []T, one func(*Encoder, *T)) {
	e.array(len(items))
	for i := range items {
		one(e, &items[i])
	}
}
