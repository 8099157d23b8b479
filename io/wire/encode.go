package wire

import (
	"bytes"
	"math"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ryelug/core/cell"
)

// Encoder writes the fields of messages as msgpack values, one after the other. Its buffer can't fail, so the
// first error of the library is a bug and is kept for the caller.
type Encoder struct {
	buf     bytes.Buffer
	enc     *msgpack.Encoder
	history *History
	form    Kind
	err     error
}

// NewEncoder returns an Encoder, which several links may use in turn.
func NewEncoder() *Encoder {
	e := &Encoder{}
	e.enc = msgpack.NewEncoder(&e.buf)
	return e
}

// Encode returns the message's kind, with its form, and its bytes, which are valid until the next call.
func (e *Encoder) Encode(msg Message, history *History) (Kind, []byte, error) {
	e.buf.Reset()
	e.history = history
	e.form = 0
	e.err = nil
	e.message(msg)
	return msg.kind() | e.form, e.buf.Bytes(), e.err
}

func (e *Encoder) message(msg Message) {
	switch m := msg.(type) {
	case *Join:
		e.head(m.Cell, m.Session)
		e.keep(e.enc.EncodeBool(m.Stake))
		e.int(m.UncountedFor.Milliseconds()) // A part of a millisecond is left out: more would be a false claim.
		encodeSlice(e, m.Flights, (*Encoder).flight)
		e.counters(m.Counters)
		encodeSlice(e, m.Cached, (*Encoder).kept)
		encodeSlice(e, m.Rejected, (*Encoder).rejected)
	case *Accepted:
		e.head(m.Cell, m.Session)
	case *Release:
		e.head(m.Cell, m.Session)
	case *Released:
		e.head(m.Cell, m.Session)
	case *Want:
		e.head(m.Cell, m.Session)
		encodeList(e, m.Demands, (*Encoder).demand)
	case *Withdraw:
		e.head(m.Cell, m.Session)
		encodeList(e, m.Attempts, (*Encoder).attempt)
	case *Grants:
		e.head(m.Cell, m.Session)
		encodeList(e, m.Grants, (*Encoder).grant)
	case *Refusals:
		e.head(m.Cell, m.Session)
		encodeList(e, m.Refusals, (*Encoder).refusal)
	case *Progress:
		e.head(m.Cell, m.Session)
		encodeList(e, m.Progress, (*Encoder).progress)
	case *Ends:
		e.cell(m.Cell)
		encodeList(e, m.Ends, (*Encoder).end)
	case *Counters:
		e.cell(m.Cell)
		e.counters(m.Counters)
	case *Unserved:
		e.head(m.Cell, m.Session)
		encodeList(e, m.Teams, (*Encoder).unserved)
	case *Behind:
		e.head(m.Cell, m.Session)
		encodeList(e, m.Teams, func(e *Encoder, team *cell.TeamID) { e.name(string(*team)) })
	case *Rejected:
		e.head(m.Cell, m.Session)
		encodeList(e, m.Parts, (*Encoder).rejected)
	default:
		e.config(msg)
	}
}

func (e *Encoder) config(msg Message) {
	switch m := msg.(type) {
	case *Leaving, *Departed:
	case *ConfigNews:
		e.uint(m.Generation)
		e.keep(e.enc.EncodeBytes(m.Root))
	case *ConfigAsk:
		encodeSlice(e, m.Hashes, func(e *Encoder, h *string) { e.string(*h) })
	case *Members:
		encodeSlice(e, m.Hosts, (*Encoder).hostID)
	case *Waiting:
		encodeSlice(e, m.Hosts, (*Encoder).hostID)
	case *Listed:
		e.keep(e.enc.EncodeBool(m.Changed))
		encodeSlice(e, m.Hosts, (*Encoder).host)
	case *ObjectsAsk:
		e.uint(m.Number)
		encodeSlice(e, m.Shelves, (*Encoder).shelf)
	case *ObjectsTold:
		e.shelf(&m.Shelf)
		e.uint(m.Number)
		e.duration(m.Age)
		e.keep(e.enc.EncodeBool(m.Lost))
		e.uint(m.Since)
		encodeSlice(e, m.Names, func(e *Encoder, name *string) { e.string(*name) })
		encodeSlice(e, m.Objects, (*Encoder).object)
	case *ConfigPart:
		e.string(m.Hash)
		e.keep(e.enc.EncodeBytes(m.Data))
	}
}

// head writes a cell and a session, unless they are those of the message before.
func (e *Encoder) head(id cell.ID, session cell.Session) {
	if id != "" && id == e.history.cell && session == e.history.session {
		e.form |= formSame
		return
	}
	e.history.cell, e.history.session = id, session
	e.name(string(id))
	e.uint(uint64(session))
}

// cell writes a cell alone, unless it is that of the last message with a session.
func (e *Encoder) cell(id cell.ID) {
	if id != "" && id == e.history.cell {
		e.form |= formSame
		return
	}
	e.name(string(id))
}

func (e *Encoder) demand(d *cell.Demand) {
	e.attempt(&d.Attempt)
	e.name(string(d.Team))
	e.int(int64(d.Estimate))
	e.name(string(d.Avoid))
	e.name(d.Class)
	encodeSlice(e, d.Prompt.Parts, (*Encoder).part)
	e.int(int64(d.Prompt.Output))
	e.due(d.Deadline)
}

func (e *Encoder) kept(k *cell.Cached) {
	e.name(string(k.Endpoint))
	e.part(&k.Part)
	e.duration(k.Age)
}

func (e *Encoder) part(p *cell.Part) {
	e.uint(p.ID)
	e.int(int64(p.Tokens))
}

// due writes how much time is left, since clocks of hosts differ; zero stands for no limit.
func (e *Encoder) due(at time.Time) {
	if at.IsZero() {
		e.int(0)
		return
	}
	e.int(max(1, time.Until(at).Milliseconds()))
}

func (e *Encoder) grant(g *cell.Grant) {
	e.attempt(&g.Attempt)
	e.name(string(g.Endpoint))
	e.name(string(g.Start))
	e.name(string(g.Fetch))
	e.int(g.Predicted.Milliseconds())
}

func (e *Encoder) flight(f *cell.Flight) {
	e.attempt(&f.Attempt)
	e.name(string(f.Team))
	e.name(string(f.Endpoint))
	e.name(string(f.Start))
	e.int(int64(f.Charged))
}

func (e *Encoder) refusal(r *cell.Refusal) {
	e.attempt(&r.Attempt)
	e.uint(uint64(r.Code))
	e.duration(r.RetryAfter)
}

func (e *Encoder) progress(p *cell.Progress) {
	e.attempt(&p.Attempt)
	if !p.Load.IsKnown() {
		e.int(int64(p.Cost))
		e.duration(p.FirstToken)
		return
	}
	e.int(^int64(p.Cost)) // A negative number announces a load, so that reports without one are no longer for it.
	e.duration(p.FirstToken)
	e.load(&p.Load)
}

// Flags of the optional fields of an attempt's end.
const (
	endIsBroken uint64 = 1 << iota
	endHasLoad
	endHasTook
)

func endFlags(end *cell.End) uint64 {
	var flags uint64
	if end.IsBroken {
		flags |= endIsBroken
	}
	if end.Load.IsKnown() {
		flags |= endHasLoad
	}
	if end.Took > 0 {
		flags |= endHasTook
	}
	return flags
}

func (e *Encoder) load(load *cell.EndpointLoad) {
	e.uint(uint64(load.Running))
	e.uint(uint64(load.Waiting))
	e.uint(uint64(load.Slots))
	e.uint(uint64(load.Pace))
}

func (e *Encoder) end(end *cell.End) {
	e.attempt(&end.Attempt)
	e.uint(uint64(end.Outcome))
	e.int(int64(end.Cost))
	e.duration(end.FirstToken)
	flags := endFlags(end)
	e.uint(flags)
	if flags&endHasLoad != 0 {
		e.load(&end.Load)
		e.uint(uint64(end.Bytes))
	}
	if flags&endHasTook != 0 {
		e.duration(end.Took)
	}
}

func (e *Encoder) rejected(part *cell.RejectedPart) {
	e.uint(part.ID)
	e.duration(part.Left)
}

func (e *Encoder) unserved(u *cell.Unserved) {
	e.name(string(u.Team))
	e.int(int64(u.Count))
	e.int(int64(u.Cost))
}

func (e *Encoder) shelf(s *Shelf) {
	e.name(s.Kind)
	e.uint(s.Era)
	e.uint(s.Revision)
}

func (e *Encoder) object(o *Object) {
	e.string(o.Name)
	e.uint(o.Revision)
	e.keep(e.enc.EncodeBytes(o.Value))
}

func (e *Encoder) hostID(h *cell.HostID) { e.string(string(*h)) }

func (e *Encoder) host(h *Host) {
	e.string(string(h.Host))
	e.string(h.Address.String())
	e.string(h.DataCentre)
	e.keep(e.enc.EncodeBool(h.Leaving))
	e.uint(h.Processor)
}

// counters writes the least counter, and of each how far it is above it.
func (e *Encoder) counters(counters []cell.TeamCounter) {
	e.array(len(counters))
	if len(counters) == 0 {
		return
	}
	least := int64(math.MaxInt64)
	for i := range counters {
		least = min(least, counterSteps(counters[i].Service))
	}
	e.int(least)
	for i := range counters {
		e.name(string(counters[i].Team))
		e.int(counterSteps(counters[i].Service) - least)
	}
}

// counterSteps returns a counter in whole steps, in the range that a float64 holds exactly.
func counterSteps(service float64) int64 {
	return int64(max(float64(-maxSteps), min(float64(maxSteps), math.Round(service*stepsPerUnit))))
}

// attempt writes an attempt as its distance to the newest one on the link.
func (e *Encoder) attempt(attempt *cell.AttemptID) { e.int(e.history.distance(uint64(*attempt))) }

// duration writes whole milliseconds, rounded up so that a known time never becomes zero.
func (e *Encoder) duration(d time.Duration) {
	e.int(int64((d + time.Millisecond - 1) / time.Millisecond))
}

// name writes a name once, and from then on its number.
func (e *Encoder) name(name string) {
	if number, ok := e.history.number(name); ok {
		e.uint(number)
		return
	}
	e.string(name)
	e.history.sent(name)
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

// encodeList writes the last list of a message; one item goes without a length.
func encodeList[T any](e *Encoder, items []T, one func(*Encoder, *T)) {
	if len(items) == 1 {
		e.form |= formOne
		one(e, &items[0])
		return
	}
	encodeSlice(e, items, one)
}
