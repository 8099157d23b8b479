package stamped

import (
	"sync/atomic"

	"ryelug/io/wire"
)

// Stats counts what links have carried.
type Stats struct {
	out        tally
	in         tally
	overflows  atomic.Uint64
	unsendable atomic.Uint64
}

// Amount is a number of frames and their bytes.
type Amount struct {
	Messages uint64
	Bytes    uint64
}

// Out returns what was sent, by kind of frame; only kinds that occurred are present.
func (s *Stats) Out() map[string]Amount { return s.out.amounts() }

// In returns what was received, by kind of frame; only kinds that occurred are present.
func (s *Stats) In() map[string]Amount { return s.in.amounts() }

// Messages returns the number of frames so far, of both directions.
func (s *Stats) Messages() uint64 { return s.out.total() + s.in.total() }

// Overflows returns the number of links closed because their ring was full.
func (s *Stats) Overflows() uint64 { return s.overflows.Load() }

// Unsendable returns the number of messages over MaxFrame.
func (s *Stats) Unsendable() uint64 { return s.unsendable.Load() }

type tally struct {
	messages [wire.KindCount]atomic.Uint64
	bytes    [wire.KindCount]atomic.Uint64
}

func (t *tally) total() (sum uint64) {
	for i := range t.messages {
		sum += t.messages[i].Load()
	}
	return sum
}

func (t *tally) add(kind wire.Kind, bytes int) {
	kind = kind.Base()
	if kind >= wire.KindCount {
		return
	}
	t.messages[kind].Add(1)
	t.bytes[kind].Add(uint64(bytes))
}

func (t *tally) amounts() map[string]Amount {
	amounts := make(map[string]Amount)
	for kind := range wire.KindCount {
		n := t.messages[kind].Load()
		if n > 0 {
			amounts[kind.String()] = Amount{Messages: n, Bytes: t.bytes[kind].Load()}
		}
	}
	return amounts
}
