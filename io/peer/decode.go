package peer

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

// decoder reads messages. All lengths are checked against the bytes that are
// left before memory is taken; the first error stops it.
type decoder struct {
	src   bytes.Reader
	dec   *msgpack.Decoder
	names *names
	err   error
}

func newDecoder() *decoder {
	d := &decoder{names: newNames()}
	d.dec = msgpack.NewDecoder(&d.src)
	return d
}

// decode reads one message that must fill body exactly.
func (d *decoder) decode(kind Kind, body []byte) (Message, error) {
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

func (d *decoder) message(kind Kind) Message {
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
		return &Want{id, session, decodeSlice(d, (*decoder).demand)}
	case KindWithdraw:
		id, session := d.head(3)
		return &Withdraw{id, session, decodeSlice(d, (*decoder).attempt)}
	case KindGrants:
		id, session := d.head(3)
		return &Grants{id, session, decodeSlice(d, (*decoder).grant)}
	case KindRefusals:
		id, session := d.head(3)
		return &Refusals{id, session, decodeSlice(d, (*decoder).refusal)}
	case KindProgress:
		id, session := d.head(3)
		return &Progress{id, session, decodeSlice(d, (*decoder).progress)}
	default:
		return d.other(kind)
	}
}

func (d *decoder) other(kind Kind) Message {
	switch kind {
	case KindEnds:
		d.array(2)
		return &Ends{cell.ID(d.name()), decodeSlice(d, (*decoder).end)}
	case KindCounters:
		d.array(2)
		return &Counters{cell.ID(d.name()), decodeSlice(d, (*decoder).counter)}
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
		return &ConfigAsk{decodeSlice(d, (*decoder).string)}
	case KindConfigPart:
		d.array(2)
		return &ConfigPart{d.string(), d.bytes(math.MaxInt)}
	case KindListed:
		d.array(2)
		return &Listed{d.bool(), decodeSlice(d, (*decoder).host)}
	case KindMembers:
		d.array(1)
		return &Members{decodeSlice(d, func(d *decoder) cell.HostID { return cell.HostID(d.string()) })}
	}
	d.fail(ErrKind)
	return nil
}

func (d *decoder) join() Message {
	m := &Join{}
	m.Cell, m.Session = d.head(5)
	m.Stake = d.bool()
	m.Flights = decodeSlice(d, (*decoder).flight)
	m.Counters = decodeSlice(d, (*decoder).counter)
	return m
}

func (d *decoder) head(fields int) (cell.ID, cell.Session) {
	d.array(fields)
	id := cell.ID(d.name())
	return id, cell.Session(d.uint())
}

func (d *decoder) demand() cell.Demand {
	d.array(4)
	return cell.Demand{
		Attempt:  d.attempt(),
		Team:     cell.TeamID(d.name()),
		Estimate: cell.Cost(d.int()),
		Avoid:    cell.EndpointID(d.name()),
	}
}

func (d *decoder) grant() cell.Grant {
	d.array(3)
	return cell.Grant{
		Attempt:  d.attempt(),
		Endpoint: cell.EndpointID(d.name()),
		Start:    cell.StartID(d.name()),
	}
}

func (d *decoder) flight() cell.Flight {
	d.array(5)
	return cell.Flight{
		Attempt:  d.attempt(),
		Team:     cell.TeamID(d.name()),
		Endpoint: cell.EndpointID(d.name()),
		Start:    cell.StartID(d.name()),
		Charged:  cell.Cost(d.int()),
	}
}

func (d *decoder) refusal() cell.Refusal {
	d.array(3)
	return cell.Refusal{Attempt: d.attempt(), Code: d.uint16(), RetryAfter: d.duration()}
}

func (d *decoder) progress() cell.Progress {
	d.array(2)
	return cell.Progress{Attempt: d.attempt(), Cost: cell.Cost(d.int())}
}

func (d *decoder) end() cell.End {
	d.array(4)
	return cell.End{
		Attempt:    d.attempt(),
		Outcome:    cell.Outcome(d.uint8()),
		Cost:       cell.Cost(d.int()),
		FirstToken: d.duration(),
	}
}

func (d *decoder) host() Host {
	d.array(4)
	h := Host{Host: cell.HostID(d.string())}
	address, err := netip.ParseAddrPort(d.string())
	if err != nil {
		d.fail(ErrShape)
	}
	h.Address, h.DataCentre, h.Leaving = address, d.string(), d.bool()
	return h
}

func (d *decoder) counter() cell.TeamCounter {
	d.array(2)
	c := cell.TeamCounter{Team: cell.TeamID(d.name()), Service: d.float()}
	if math.IsNaN(c.Service) || math.IsInf(c.Service, 0) {
		d.fail(ErrShape)
	}
	return c
}

func (d *decoder) attempt() cell.AttemptID { return cell.AttemptID(d.uint()) }

func (d *decoder) duration() time.Duration {
	const most = int64(math.MaxInt64 / time.Millisecond)
	ms := d.int()
	if ms < 0 || ms > most {
		d.fail(ErrShape)
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
