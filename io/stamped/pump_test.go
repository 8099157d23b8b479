package stamped

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/io/wire"
)

const hour = uint64(time.Hour / stampUnit)

// newReader returns the reader of a link that was greeted an hour ago.
func newReader() *reader {
	link := &Link{config: Config{Stats: &Stats{}}, clock: clock{start: time.Now().Add(-time.Hour)}}
	return &reader{link: link, decoder: wire.NewDecoder()}
}

func TestGrowthsComeBack(t *testing.T) {
	is := is.New(t)
	r := newReader()
	var stamp, echo uint64
	for _, grown := range [][2]uint64{{0, 0}, {14, 14}, {15, 0}, {0, 15}, {300, 16}, {1 << 40, hour / 2}} {
		rest, err := r.stamps(append(appendGrowths(nil, grown[0], grown[1]), 'x'))
		is.NoErr(err)
		is.Equal(string(rest), "x")
		stamp += grown[0]
		echo += grown[1]
		is.Equal([]uint64{r.stamp, r.echo}, []uint64{stamp, echo})
	}
}

func TestImpossibleStampsAreRefused(t *testing.T) {
	most := ^uint64(0)
	for name, bodies := range map[string][][]byte{
		"nothing":              {nil},
		"no growth follows":    {{0xf0}},
		"no echo follows":      {{0xff, 1}},
		"growth without end":   {{0xf0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
		"stamp wraps":          {appendGrowths(nil, most, 0), {0x10}},
		"echo wraps":           {appendGrowths(nil, 0, 1), appendGrowths(nil, 0, most)},
		"echo of a time ahead": {appendGrowths(nil, 0, hour+2)},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReader()
			var err error
			for _, body := range bodies {
				_, err = r.parse(body)
			}
			is.New(t).True(errors.Is(err, ErrStamp))
		})
	}
}

// Whatever comes, the stamps of a link never go back and no echo is of a time ahead.
func FuzzFrame(f *testing.F) {
	f.Add([]byte{0xcd}, []byte{0xff, 0x7f, 0x10, byte(wire.KindLeaving)})
	f.Add(appendGrowths(nil, 300, 20), []byte{0x11, byte(wire.KindWithdraw), 0xa1, 'c', 1, 0x90})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		r := newReader()
		var before reader
		for _, body := range [][]byte{first, second} {
			if _, err := r.parse(body); err != nil {
				return
			}
			if r.stamp < before.stamp || r.echo < before.echo || r.echo > r.link.clock.stamp() {
				t.Fatalf("stamp %d after %d, echo %d after %d", r.stamp, before.stamp, r.echo, before.echo)
			}
			before = *r
		}
	})
}
