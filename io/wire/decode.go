package wire

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ryelug/core/cell"
)

const (
	maxItems = 1 << 16 // items of one list
	maxName  = 512     // bytes of a name

	stepsPerUnit = 16             // steps of a counter in a unit of service
	maxSteps     = int64(1) << 53 // steps that a float64 holds exactly
)

// Errors of messages that can't be read.
var (
	ErrShape   = errors.New("message has an unexpected shape")
	ErrTooMany = errors.New("message has a list or name that is too long")
	ErrKind    = errors.New("message kind is unknown")
)

// Decoder reads messages. All lengths are checked against the bytes that are
// left before memory is taken; the first error stops it.
type Decoder struct {
	src     bytes.Reader
	dec     *msgpack.Decoder
	history *History
	form    Kind // form holds what the message has left out and was not asked for yet.
	err     error
}

// NewDecoder returns a Decoder of one direction of a link.
func NewDecoder() *Decoder {
	d := &Decoder{history: NewHistory()}
	d.dec = msgpack.NewDecoder(&d.src)
	return d
}

// Decode reads one message that must fill body exactly.
func (d *Decoder) Decode(kind Kind, body []byte) (Message, error) {
	d.src.Reset(body)
	d.dec.Reset(&d.src)
	d.form = kind & forms
	d.err = nil
	msg := d.message(kind.Base())
	if d.err == nil && d.form != 0 {
		d.err = fmt.Errorf("%w: form %#x does not fit", ErrShape, d.form)
	}
	if d.err == nil && d.src.Len() > 0 {
		d.err = fmt.Errorf("%w: %d bytes follow it", ErrShape, d.src.Len())
	}
	if d.err != nil {
		return nil, fmt.Errorf("reading %s: %w", kind, d.err)
	}
	return msg, nil
}

func (d *Decoder) message(kind Kind) Message {
	switch kind {
	case KindJoin:
		return d.join()
	case KindAccepted:
		id, session := d.head()
		return &Accepted{id, session}
	case KindRelease:
		id, session := d.head()
		return &Release{id, session}
	case KindReleased:
		id, session := d.head()
		return &Released{id, session}
	case KindWant:
		id, session := d.head()
		return &Want{id, session, decodeList(d, (*Decoder).demand)}
	case KindWithdraw:
		id, session := d.head()
		return &Withdraw{id, session, decodeList(d, (*Decoder).attempt)}
	case KindGrants:
		id, session := d.head()
		return &Grants{id, session, decodeList(d, (*Decoder).grant)}
	case KindRefusals:
		id, session := d.head()
		return &Refusals{id, session, decodeList(d, (*Decoder).refusal)}
	case KindProgress:
		id, session := d.head()
		return &Progress{id, session, decodeList(d, (*Decoder).progress)}
	default:
		return d.other(kind)
	}
}

func (d *Decoder) other(kind Kind) Message {
	switch kind {
	case KindEnds:
		return &Ends{d.cell(), decodeList(d, (*Decoder).end)}
	case KindCounters:
		return &Counters{d.cell(), d.counters()}
	case KindLeaving:
		return &Leaving{}
	case KindDeparted:
		return &Departed{}
	case KindConfigNews:
		return &ConfigNews{d.uint(), d.bytes(math.MaxInt)}
	case KindConfigAsk:
		return &ConfigAsk{decodeSlice(d, (*Decoder).string)}
	case KindConfigPart:
		return &ConfigPart{d.string(), d.bytes(math.MaxInt)}
	case KindListed:
		return &Listed{d.bool(), decodeSlice(d, (*Decoder).host)}
	case KindMembers:
		return &Members{decodeSlice(d, (*Decoder).hostID)}
	case KindWaiting:
		return &Waiting{decodeSlice(d, (*Decoder).hostID)}
	case KindUnserved:
		id, session := d.head()
		return &Unserved{id, session, decodeList(d, (*Decoder).unserved)}
	case KindBehind:
		id, session := d.head()
		return &Behind{id, session, decodeList(d, func(d *Decoder) cell.TeamID { return cell.TeamID(d.name()) })}
	case KindRejected:
		id, session := d.head()
		return &Rejected{id, session, decodeList(d, (*Decoder).rejected)}
	}
	return d.objects(kind)
}

func (d *Decoder) objects(kind Kind) Message {
	switch kind {
	case KindObjectsAsk:
		return &ObjectsAsk{d.uint(), decodeSlice(d, (*Decoder).shelf)}
	case KindObjectsTold:
		return &ObjectsTold{
			Shelf: d.shelf(), Number: d.uint(), Age: d.duration(), Lost: d.bool(), Since: d.uint(),
			Names: decodeSlice(d, (*Decoder).string), Objects: decodeSlice(d, (*Decoder).object),
		}
	}
	d.fail(ErrKind)
	return nil
}

func (d *Decoder) shelf() Shelf { return Shelf{Kind: d.name(), Era: d.uint(), Revision: d.uint()} }

func (d *Decoder) object() Object {
	return Object{Name: d.string(), Revision: d.uint(), Value: d.bytes(math.MaxInt)}
}

func (d *Decoder) join() Message {
	m := &Join{}
	m.Cell, m.Session = d.head()
	m.Stake = d.bool()
	m.UncountedFor = d.duration()
	m.Flights = decodeSlice(d, (*Decoder).flight)
	m.Counters = d.counters()
	m.Cached = decodeSlice(d, (*Decoder).kept)
	m.Rejected = decodeSlice(d, (*Decoder).rejected)
	return m
}

func (d *Decoder) kept() cell.Cached {
	return cell.Cached{Endpoint: cell.EndpointID(d.name()), Part: d.part(), Age: d.duration()}
}

func (d *Decoder) head() (cell.ID, cell.Session) {
	if !d.takeForm(formSame) {
		d.history.cell, d.history.session = cell.ID(d.name()), cell.Session(d.uint())
	} else if d.history.cell == "" {
		d.fail(ErrShape)
	}
	return d.history.cell, d.history.session
}

func (d *Decoder) cell() cell.ID {
	if !d.takeForm(formSame) {
		return cell.ID(d.name())
	}
	if d.history.cell == "" {
		d.fail(ErrShape)
	}
	return d.history.cell
}

// takeForm tells whether the message has left something out, which is asked for now.
func (d *Decoder) takeForm(form Kind) bool {
	left := d.form&form != 0
	d.form &^= form
	return left
}

func (d *Decoder) demand() cell.Demand {
	return cell.Demand{
		Attempt:  d.attempt(),
		Team:     cell.TeamID(d.name()),
		Estimate: cell.Cost(d.int()),
		Avoid:    cell.EndpointID(d.name()),
		Class:    d.name(),
		Prompt:   cell.Prompt{Parts: decodeSlice(d, (*Decoder).part), Output: int(d.int())},
		Deadline: d.due(),
	}
}

func (d *Decoder) part() cell.Part { return cell.Part{ID: d.uint(), Tokens: int(d.int())} }

func (d *Decoder) due() time.Time {
	left := d.duration()
	if left == 0 {
		return time.Time{}
	}
	return time.Now().Add(left)
}

func (d *Decoder) grant() cell.Grant {
	return cell.Grant{
		Attempt:  d.attempt(),
		Endpoint: cell.EndpointID(d.name()),
		Start:    cell.StartID(d.name()),
		Fetch:    cell.EndpointID(d.name()),

		Predicted: d.duration(),
	}
}

func (d *Decoder) flight() cell.Flight {
	return cell.Flight{
		Attempt:  d.attempt(),
		Team:     cell.TeamID(d.name()),
		Endpoint: cell.EndpointID(d.name()),
		Start:    cell.StartID(d.name()),
		Charged:  cell.Cost(d.int()),
	}
}

func (d *Decoder) refusal() cell.Refusal {
	return cell.Refusal{Attempt: d.attempt(), Code: d.uint16(), RetryAfter: d.duration()}
}

func (d *Decoder) progress() cell.Progress {
	attempt, cost := d.attempt(), d.int()
	if cost >= 0 {
		return cell.Progress{Attempt: attempt, Cost: cell.Cost(cost), FirstToken: d.duration()}
	}
	return cell.Progress{Attempt: attempt, Cost: cell.Cost(^cost), FirstToken: d.duration(), Load: d.load()}
}

func (d *Decoder) load() cell.EndpointLoad {
	return cell.EndpointLoad{Running: d.uint16(), Waiting: d.uint16(), Slots: d.uint16(), Pace: d.uint16()}
}

func (d *Decoder) end() cell.End {
	end := cell.End{
		Attempt:    d.attempt(),
		Outcome:    cell.Outcome(d.uint8()),
		Cost:       cell.Cost(d.int()),
		FirstToken: d.duration(),
	}
	flags := d.uint()
	end.IsBroken = flags&endIsBroken != 0
	if flags&endHasLoad != 0 {
		end.Load, end.Bytes = d.load(), d.uint32()
	}
	if flags&endHasTook != 0 {
		end.Took = d.duration()
	}
	return end
}

func (d *Decoder) rejected() cell.RejectedPart {
	return cell.RejectedPart{ID: d.uint(), Left: d.duration()}
}

func (d *Decoder) unserved() cell.Unserved {
	one := cell.Unserved{Team: cell.TeamID(d.name()), Count: int(d.int()), Cost: cell.Cost(d.int())}
	if one.Count < 0 || one.Cost < 0 {
		d.fail(ErrShape)
	}
	return one
}

func (d *Decoder) hostID() cell.HostID { return cell.HostID(d.string()) }

func (d *Decoder) host() Host {
	h := Host{Host: cell.HostID(d.string())}
	address, err := netip.ParseAddrPort(d.string())
	if err != nil {
		d.fail(ErrShape)
	}
	h.Address, h.DataCentre, h.Leaving = address, d.string(), d.bool()
	h.Processor = d.uint()
	return h
}

// counters reads the least counter, and of each how far it is above it.
func (d *Decoder) counters() []cell.TeamCounter {
	var least int64
	first := true
	return decodeSlice(d, func(d *Decoder) cell.TeamCounter {
		if first {
			least, first = d.steps(-maxSteps), false
		}
		team := cell.TeamID(d.name())
		steps := least + d.steps(0)
		if steps > maxSteps {
			d.fail(ErrShape)
		}
		return cell.TeamCounter{Team: team, Service: float64(steps) / stepsPerUnit}
	})
}

// steps reads a number of steps of counters, which is bounded.
func (d *Decoder) steps(least int64) int64 {
	steps := d.int()
	if steps < least || steps > 2*maxSteps {
		d.fail(ErrShape)
		return 0
	}
	return steps
}

func (d *Decoder) attempt() cell.AttemptID { return cell.AttemptID(d.history.attempt(d.int())) }

func (d *Decoder) duration() time.Duration {
	const most = int64(math.MaxInt64 / time.Millisecond)
	ms := d.int()
	if ms < 0 || ms > most {
		d.fail(ErrShape)
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
