package wire

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
)

// every has one message of each kind.
func every() []Message {
	counters := []cell.TeamCounter{{Team: "clinics", Service: 12.5}, {Team: "", Service: -3}, {Team: "kiosks", Service: 1e12}}
	return []Message{
		&Join{Cell: "chat", Session: 3, Stake: true, UncountedFor: 410 * time.Millisecond, Flights: []cell.Flight{{Attempt: 7, Charged: 300}}, Counters: counters},
		&Accepted{"chat", 3}, &Release{"chat", 3}, &Released{"chat", 3},
		&Want{"chat", 3, []cell.Demand{{Attempt: 9, Team: "kiosks", Estimate: -1}}},
		&Withdraw{"chat", 3, []cell.AttemptID{9, math.MaxUint64, 0, 1 << 63, 7}},
		&Grants{"chat", 3, []cell.Grant{{Attempt: 9, Endpoint: "e", Start: "s", Fetch: "e2", Predicted: 120 * time.Millisecond}}},
		&Refusals{"chat", 3, []cell.Refusal{{Attempt: 9, Code: 1006}}},
		&Progress{"chat", 3, []cell.Progress{{Attempt: 9, Cost: 120}, {Attempt: 10, FirstToken: time.Second, Load: cell.EndpointLoad{Slots: 12, Pace: 100}}}},
		&Ends{"chat", []cell.End{{Attempt: 9, Outcome: cell.Failed, IsBroken: true}, {
			Attempt: 11, Outcome: cell.Completed, Load: cell.EndpointLoad{Running: 3, Waiting: 1, Slots: 6, Pace: 250}, Bytes: 812, Took: 31 * time.Millisecond,
		}}},

		&Counters{"chat", counters}, &Leaving{}, &ConfigNews{12, []byte("{}")},
		&ConfigAsk{[]string{"ab"}}, &ConfigPart{"ab", []byte("part")}, &Members{[]cell.HostID{"a"}}, &Departed{}, &Waiting{[]cell.HostID{"a", "b"}},
		&Listed{true, []Host{{"a", netip.MustParseAddrPort("192.0.2.1:7000"), "dc-a", true, 192}}},
		&Unserved{"chat", 3, []cell.Unserved{{Team: "kiosks", Count: 4, Cost: 9000}}}, &Behind{"chat", 3, []cell.TeamID{"kiosks", "clinics"}},
		&Rejected{"chat", 3, []cell.RejectedPart{{ID: math.MaxUint64, Left: time.Minute}}},
		&ObjectsAsk{7, []Shelf{{"config", 3, 12}, {"servers", 0, 0}}},
		&ObjectsTold{Shelf{"config", 3, 14}, 7, 3 * time.Millisecond, true, 12, []string{"main"}, []Object{{"main", 14, []byte("{}")}}},
	}
}

// claims replaces the list or name that is last in a message by one whose header claims 4 G items.
var claims = map[string]struct {
	kind Kind
	body []byte
}{
	"list of demands":  {KindWant, []byte{0xa1, 'c', 1, 0xdd, 0xff, 0xff, 0xff, 0xff}},
	"list of flights":  {KindJoin, []byte{0xa1, 'c', 1, 0xc3, 0, 0xdd, 0xff, 0xff, 0xff, 0xff}},
	"list of hashes":   {KindConfigAsk, []byte{0xdd, 0xff, 0xff, 0xff, 0xff}},
	"list of counters": {KindCounters, []byte{0xa1, 'c', 0xdc, 0xff, 0xff}},
	"name":             {KindAccepted, []byte{0xdb, 0xff, 0xff, 0xff, 0xff}},
	"bytes":            {KindConfigPart, []byte{0xa1, 'c', 0xc6, 0xff, 0xff, 0xff, 0xff}},
}

func TestDecodeRefusesClaims(t *testing.T) {
	for name, c := range claims {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := NewDecoder()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := d.Decode(c.kind, c.body)
			runtime.ReadMemStats(&after)
			is.True(errors.Is(err, ErrTooMany))
			is.True(after.TotalAlloc-before.TotalAlloc < 16<<10) // bytes taken for a list that is not there
		})
	}
}

func TestDecodeRefusesShapes(t *testing.T) {
	cases := map[string]struct {
		kind Kind
		body []byte
		want error
	}{
		"unknown kind":    {KindCount, []byte{0x90}, ErrKind},
		"empty body":      {KindJoin, nil, ErrShape},
		"too few fields":  {KindAccepted, []byte{0xa1, 'c'}, ErrShape},
		"bytes after it":  {KindLeaving, []byte{0x00}, ErrShape},
		"null for a list": {KindWant, []byte{0xa1, 'c', 1, 0xc0}, ErrShape},
		"no number":       {KindCounters, []byte{0xa1, 'c', 0x91, 0xcb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 1, 0xa1, 't', 0}, ErrShape},
		"no growth":       {KindCounters, []byte{0xa1, 'c', 0x91, 0, 0xa1, 't', 0xcb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 1}, ErrShape},
		"large counter":   {KindCounters, []byte{0xa1, 'c', 0x91, 1, 0xa1, 't', 0xcf, 0, 0x20, 0, 0, 0, 0, 0, 0}, ErrShape},
		"low counter":     {KindCounters, []byte{0xa1, 'c', 0x91, 0xd3, 0xff, 0xdf, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xa1, 't', 0}, ErrShape},
		"negative wait":   {KindRefusals, []byte{0xa1, 'c', 1, 0x91, 1, 1, 0xff}, ErrShape},
		"large code":      {KindRefusals, []byte{0xa1, 'c', 1, 0x91, 1, 0xce, 0, 1, 0, 0, 0}, ErrShape},
		"nothing before":  {KindAccepted | formSame, nil, ErrShape},
		"no cell before":  {KindEnds | formSame, []byte{0x90}, ErrShape},
		"no item":         {KindWithdraw | formOne, []byte{0xa1, 'c', 1}, ErrShape},
		"form of a list":  {KindAccepted | formOne, []byte{0xa1, 'c', 1}, ErrShape},
		"form of a cell":  {KindLeaving | formSame, nil, ErrShape},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := NewDecoder().Decode(c.kind, c.body)
			is.True(errors.Is(err, c.want))
		})
	}
}

// What decodes at all comes back the same when it is encoded and decoded again.
func FuzzMessage(f *testing.F) {
	for _, msg := range every() {
		kind, body, err := NewEncoder().Encode(msg, NewHistory())
		if err != nil {
			f.Fatal(err)
		}
		f.Add(byte(kind), body)
	}
	for _, c := range claims {
		f.Add(byte(c.kind), c.body)
	}
	f.Fuzz(func(t *testing.T, kind byte, body []byte) {
		is := is.New(t)
		msg, err := NewDecoder().Decode(Kind(kind), body)
		if err != nil {
			return
		}
		again, body, err := NewEncoder().Encode(msg, NewHistory())
		is.NoErr(err)
		back, err := NewDecoder().Decode(again, body)
		is.NoErr(err)
		is.True(reflect.DeepEqual(msg, back))
	})
}

// Both ends of a link number the same names, also when there are more than the table holds.
func TestNamesAreNumberedAlike(t *testing.T) {
	is := is.New(t)
	e, d, sent := NewEncoder(), NewDecoder(), NewHistory()
	for round := range 3 {
		for i := range maxNames + 50 {
			team := cell.TeamID(fmt.Sprintf("team-%d", i))
			want := &Want{"chat", 1, []cell.Demand{{Attempt: 1, Team: team, Avoid: cell.EndpointID(strings.Repeat("x", i%70))}}}
			kind, body, err := e.Encode(want, sent)
			is.NoErr(err)
			if round > 0 && i < 1000 {
				is.True(len(body) < 18+i%70)
			}
			got, err := d.Decode(kind, body)
			is.NoErr(err)
			is.Equal(got, want)
		}
	}
	_, err := NewDecoder().Decode(KindAccepted, []byte{7, 1})
	is.True(errors.Is(err, ErrShape)) // A number that was never given.
}

// Every kind but heartbeats and calm frames has a message, a name and a place in the decoder.
func TestKinds(t *testing.T) {
	is := is.New(t)
	is.Equal(len(every()), int(KindCount)-2)
	for _, msg := range every() {
		kind, body, err := NewEncoder().Encode(msg, NewHistory())
		is.NoErr(err)
		got, err := NewDecoder().Decode(kind, body)
		is.NoErr(err)
		is.Equal(got, msg)
		is.True(msg.kind().String() != "")
	}
}

// Messages that leave out what the one before said mean the same at the other end.
func TestFormsAreReadAlike(t *testing.T) {
	is := is.New(t)
	e, d, sent := NewEncoder(), NewDecoder(), NewHistory()
	for range 3 {
		for _, msg := range append(every(), &Want{"chat", 4, nil}, &Ends{"tickets", nil}, &Release{"tickets", 4}, &Ends{"chat", nil}) {
			kind, body, err := e.Encode(msg, sent)
			is.NoErr(err)
			got, err := d.Decode(kind, body)
			is.NoErr(err)
			is.Equal(got, msg)
		}
	}
}
