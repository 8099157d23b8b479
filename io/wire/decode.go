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
	src   bytes.Reader
	dec   *msgpack.Decoder
	names *Names
	err   error
}

// NewDecoder returns a Decoder of one direction of a link.
func NewDecoder() *Decoder {
	d := &Decoder{names: NewNames()}
	d.dec = msgpack.NewDecoder(&d.src)
	return d
}

// Decode reads one message that must fill body exactly.
func (d *Decoder) Decode(kind Kind, body []byte) (Message, error) {
	d.src.Reset(body)
	d.dec.Reset(&d.src)
	d.err = nil
	msg := d.message(kind)
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
		id, session := d.head(2)
		return &Accepted{id, session}
	case KindRelease:
		id, session := d.head(2)
		return &Release{id, session}
	case KindReleased:
		id, session := d.head(2)
		return &Released{id, session}
	case KindWant:
		id, session := d.head(3)
		return &Want{id, session, decodeSlice(d, (*Decoder).demand)}
	case KindWithdraw:
		id, session := d.head(3)
		return &Withdraw{id, session, decodeSlice(d, (*Decoder).attempt)}
	case KindGrants:
		id, session := d.head(3)
		return &Grants{id, session, decodeSlice(d, (*Decoder).grant)}
	case KindRefusals:
		id, session := d.head(3)
		return &Refusals{id, session, decodeSlice(d, (*Decoder).refusal)}
	case KindProgress:
		id, session := d.head(3)
		return &Progress{id, session, decodeSlice(d, (*Decoder).progress)}
	default:
		return d.other(kind)
	}
}

func (d *Decoder) other(kind Kind) Message {
	switch kind {
	case KindEnds:
		d.array(2)
		return &Ends{cell.ID(d.name()), decodeSlice(d, (*Decoder).end)}
	case KindCounters:
		d.array(2)
		return &Counters{cell.ID(d.name()), decodeSlice(d, (*Decoder).counter)}
	case KindLeaving:
		d.array(0)
		return &Leaving{}
	case KindDeparted:
		d.array(0)
		return &Departed{}
	case KindConfigNews:
		d.array(2)
		return &ConfigNews{d.uint(), d.bytes(math.MaxInt)}
	case KindConfigAsk:
		d.array(1)
		return &ConfigAsk{decodeSlice(d, (*Decoder).string)}
	case KindConfigPart:
		d.array(2)
		return &ConfigPart{d.string(), d.bytes(math.MaxInt)}
	case KindListed:
		d.array(2)
		return &Listed{d.bool(), decodeSlice(d, (*Decoder).host)}
	case KindMembers:
		d.array(1)
		return &Members{decodeSlice(d, func(d *Decoder) cell.HostID { return cell.HostID(d.string()) })}
	}
	d.fail(ErrKind)
	return nil
}

func (d *Decoder) join() Message {
	m := &Join{}
	m.Cell, m.Session = d.head(6)
	m.Stake = d.bool()
	m.Unlent = d.duration()
	m.Flights = decodeSlice(d, (*Decoder).flight)
	m.Counters = decodeSlice(d, (*Decoder).counter)
	return m
}

func (d *Decoder) head(fields int) (cell.ID, cell.Session) {
	d.array(fields)
	id := cell.ID(d.name())
	return id, cell.Session(d.uint())
}

func (d *Decoder) demand() cell.Demand {
	d.array(4)
	return cell.Demand{
		Attempt:  d.attempt(),
		Team:     cell.TeamID(d.name()),
		Estimate: cell.Cost(d.int()),
		Avoid:    cell.EndpointID(d.name()),
	}
}

func (d *Decoder) grant() cell.Grant {
	d.array(3)
	return cell.Grant{
		Attempt:  d.attempt(),
		Endpoint: cell.EndpointID(d.name()),
		Start:    cell.StartID(d.name()),
	}
}

func (d *Decoder) flight() cell.Flight {
	d.array(5)
	return cell.Flight{
		Attempt:  d.attempt(),
		Team:     cell.TeamID(d.name()),
		Endpoint: cell.EndpointID(d.name()),
		Start:    cell.StartID(d.name()),
		Charged:  cell.Cost(d.int()),
	}
}

func (d *Decoder) refusal() cell.Refusal {
	d.array(3)
	return cell.Refusal{Attempt: d.attempt(), Code: d.uint16(), RetryAfter: d.duration()}
}

func (d *Decoder) progress() cell.Progress {
	d.array(2)
	return cell.Progress{Attempt: d.attempt(), Cost: cell.Cost(d.int())}
}

func (d *Decoder) end() cell.End {
	d.array(4)
	return cell.End{
		Attempt:    d.attempt(),
		Outcome:    cell.Outcome(d.uint8()),
		Cost:       cell.Cost(d.int()),
		FirstToken: d.duration(),
	}
}

func (d *Decoder) host() Host {
	d.array(4)
	h := Host{Host: cell.HostID(d.string())}
	address, err := netip.ParseAddrPort(d.string())
	if err != nil {
		d.fail(ErrShape)
	}
	h.Address, h.DataCentre, h.Leaving = address, d.string(), d.bool()
	return h
}

func (d *Decoder) counter() cell.TeamCounter {
	d.array(2)
	c := cell.TeamCounter{Team: cell.TeamID(d.name()), Service: d.float()}
	if math.IsNaN(c.Service) || math.IsInf(c.Service, 0) {
		d.fail(ErrShape)
	}
	return c
}

func (d *Decoder) attempt() cell.AttemptID { return cell.AttemptID(d.uint()) }

func (d *Decoder) duration() time.Duration {
	const most = int64(math.MaxInt64 / time.Millisecond)
	ms := d.int()
	if ms < 0 || ms > most {
		d.fail(ErrShape)
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
