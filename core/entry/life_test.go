package entry_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ryelug/core/cell"
	"ryelug/core/entry"
	"ryelug/core/result"
)

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// steady is a Backoff of equal pauses.
type steady time.Duration

func (s steady) NextBackOff() time.Duration { return time.Duration(s) }
func (s steady) Reset()                     {}

var start = time.Unix(1000, 0)

func newLife(config entry.Config) *entry.Life {
	config.Backoff = steady(time.Second)
	if config.Budget == nil {
		config.Budget = entry.NewBudget(entry.BudgetConfig{Burst: 100})
	}
	return entry.New(config)
}

func TestLife(t *testing.T) {
	broken, late := &entry.Broken{Endpoint: "e"}, &entry.Broken{Endpoint: "e", Timeout: true}
	unreached, refused := &entry.NotSent{Endpoint: "e"}, &entry.EndpointRefused{Endpoint: "e", RetryAfter: 3 * time.Second}
	granted, expired, first := &entry.Granted{}, &entry.NotSent{Expired: true}, &entry.Streamed{ID: "1"}
	once := entry.Config{NonIdempotent: true}
	noBudget := entry.Config{Budget: entry.NewBudget(entry.BudgetConfig{})}
	refuse := func(end cell.Outcome, code result.Code, notRun bool, retryAfter time.Duration) entry.Action {
		return &entry.Refuse{End: end, Code: code, NotRun: notRun, RetryAfter: retryAfter}
	}
	retry := func(end cell.Outcome, reason entry.Reason) entry.Action {
		return &entry.Ask{End: end, Avoid: "e", After: time.Second, Reason: reason}
	}
	resume := &entry.Send{LastEvent: "1", After: time.Second, Reason: entry.StreamResumed}
	cases := []struct {
		name   string
		config entry.Config
		events []entry.Event
		want   entry.Action
	}{
		{"begin", once, nil, &entry.Ask{}},
		{"granted", once, []entry.Event{granted}, &entry.Send{}},
		{"whole", once, []entry.Event{granted, &entry.Whole{}}, &entry.Deliver{}},
		{"no grant", once, []entry.Event{&entry.AskRefused{Code: result.TeamQueueFull, RetryAfter: time.Minute}}, refuse(0, result.TeamQueueFull, true, time.Minute)},
		{"expired", once, []entry.Event{granted, expired}, &entry.Ask{End: cell.Unused, Reason: entry.GrantExpired}},
		{"restarted", once, []entry.Event{granted, &entry.StartChanged{}}, &entry.Ask{End: cell.StartChanged, Reason: entry.EndpointRestarted}},
		{"once, unreached", once, []entry.Event{granted, unreached}, retry(cell.Unreached, entry.EndpointUnreachable)},
		{"once, refused", once, []entry.Event{granted, refused}, refuse(cell.Refused, result.EndpointRefused, true, 3*time.Second)},
		{"once, broken", once, []entry.Event{granted, broken}, refuse(cell.Failed, result.OutcomeUnknown, false, time.Second)},
		{"once, late", once, []entry.Event{granted, late}, refuse(cell.Failed, result.AnswerTimeout, false, time.Second)},
		{"once, stream broken", once, []entry.Event{granted, first, broken}, refuse(cell.Failed, result.StreamBroken, false, time.Second)},
		{"broken", entry.Config{}, []entry.Event{granted, broken}, retry(cell.Failed, entry.AnswerMissing)},
		{"late", entry.Config{}, []entry.Event{granted, late}, retry(cell.Failed, entry.AnswerLate)},
		{"refused", entry.Config{}, []entry.Event{granted, refused}, retry(cell.Refused, entry.EndpointBusy)},
		{"broken, then no grant", entry.Config{}, []entry.Event{granted, broken, &entry.AskRefused{Code: result.NoCapacity}}, refuse(0, result.RetryBudgetSpent, false, time.Second)},
		{"no budget, broken", noBudget, []entry.Event{granted, broken}, refuse(cell.Failed, result.RetryBudgetSpent, false, time.Second)},
		{"no budget, unreached", noBudget, []entry.Event{granted, unreached}, refuse(cell.Unreached, result.EndpointUnreachable, true, time.Second)},
		{"no time, unreached", entry.Config{GiveUp: start.Add(time.Second)}, []entry.Event{granted, unreached}, refuse(cell.Unreached, result.EndpointUnreachable, true, time.Second)},
		{"event", once, []entry.Event{granted, first}, &entry.Relay{}},
		{"event twice", once, []entry.Event{granted, first, first}, &entry.Skip{}},
		{"event missing", entry.Config{}, []entry.Event{granted, first, &entry.Streamed{ID: "3"}}, resume},
		{"first events missing", entry.Config{}, []entry.Event{granted, &entry.Streamed{ID: "3"}}, &entry.Ask{End: cell.Failed, After: time.Second, Reason: entry.AnswerMissing}},
		{"last event", once, []entry.Event{granted, first, &entry.Streamed{Done: true}}, &entry.Deliver{}},
		{"stream broken", entry.Config{}, []entry.Event{granted, first, broken}, resume},
		{"stream broken, unreached", entry.Config{}, []entry.Event{granted, first, broken, unreached}, resume},
		{"stream broken, restarted", entry.Config{}, []entry.Event{granted, first, broken, &entry.StartChanged{}}, refuse(cell.StartChanged, result.StreamBroken, false, time.Second)},
		{"stream broken, generation gone", entry.Config{}, []entry.Event{granted, first, broken, &entry.Whole{}}, refuse(cell.Failed, result.StreamBroken, false, time.Second)},
		{"stream broken, place lost", entry.Config{}, []entry.Event{granted, first, broken, &entry.Lapsed{}}, refuse(cell.Failed, result.StreamBroken, false, time.Second)},
		{"stream broken too often", entry.Config{MaxResumes: 1}, []entry.Event{granted, first, broken, broken}, refuse(cell.Failed, result.StreamBroken, false, time.Second)},
		{"caller gone in the queue", once, []entry.Event{&entry.CallerGone{}}, &entry.Abandon{}},
		{"caller gone before the send", once, []entry.Event{granted, &entry.CallerGone{}}, &entry.Abandon{End: cell.Unused}},
		{"caller gone", once, []entry.Event{granted, first, &entry.CallerGone{Sent: true}}, &entry.Abandon{End: cell.Cancelled}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			life := newLife(c.config)
			got := life.Step(start, &entry.Begin{})
			for _, ev := range c.events {
				got = life.Step(start, ev)
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

// TestLifeInvariants answers the actions of a life by random events.
func TestLifeInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		once := rapid.Bool().Draw(t, "once")
		life := newLife(entry.Config{NonIdempotent: once})
		afterSend := rapid.SampledFrom([]entry.Event{&entry.NotSent{}, &entry.NotSent{Expired: true}, &entry.StartChanged{}, &entry.EndpointRefused{},
			&entry.Broken{}, &entry.Whole{}, &entry.Streamed{ID: "1"}, &entry.Streamed{ID: "2"}, &entry.Streamed{Done: true}, &entry.CallerGone{Sent: true}})
		arrived, sends := false, 0 // arrived tells that bytes reached an endpoint which did not refuse them.
		var ev entry.Event = &entry.Begin{}
		for step := 0; ; step++ {
			if step > 200 {
				t.Fatal("the life does not end")
			}
			switch action := life.Step(start, ev).(type) {
			case *entry.Ask:
				ev = &entry.Granted{}
			case *entry.Send:
				sends++
				if once && arrived {
					t.Fatal("a second send after the first byte")
				}
				ev = afterSend.Draw(t, "event")
			case *entry.Relay, *entry.Skip:
				ev = afterSend.Draw(t, "event")
			case *entry.Refuse:
				info, _ := result.Lookup(action.Code)
				if action.NotRun == arrived || info.NotRun != action.NotRun {
					t.Fatalf("code %d, not_run %t, but bytes arrived: %t", action.Code, action.NotRun, arrived)
				}
				return
			default:
				return
			}
			switch ev.(type) {
			case *entry.Broken, *entry.Whole, *entry.Streamed, *entry.CallerGone:
				arrived = true
			}
		}
	})
}

// Requests whose endpoints the platform bounds: a limit of endpoints, streams that go on
// elsewhere, and endpoints' own failures.
func TestLifeElsewhere(t *testing.T) {
	granted, first, broken := &entry.Granted{}, &entry.Streamed{ID: "1"}, &entry.Broken{Endpoint: "e"}
	failed, refused := &entry.FailedAnswer{Endpoint: "e"}, &entry.EndpointRefused{Endpoint: "e"}
	two, one := entry.Config{Elsewhere: true, MaxSends: 2}, entry.Config{Elsewhere: true, MaxSends: 1}
	once := entry.Config{Elsewhere: true, MaxSends: 2, NonIdempotent: true}
	retry := func(end cell.Outcome, reason entry.Reason) entry.Action {
		return &entry.Ask{End: end, Avoid: "e", After: time.Second, Reason: reason}
	}
	refuse := func(end cell.Outcome, code result.Code, notRun bool) entry.Action {
		return &entry.Refuse{End: end, Code: code, NotRun: notRun, RetryAfter: time.Second}
	}
	cases := []struct {
		name   string
		config entry.Config
		events []entry.Event
		want   entry.Action
	}{
		{"broken stream", two, []entry.Event{granted, first, broken}, retry(cell.Failed, entry.StreamResumed)},
		{"broken stream, granted again", two, []entry.Event{granted, first, broken, granted}, &entry.Send{LastEvent: "1"}},
		{"broken stream, no endpoint left", one, []entry.Event{granted, first, broken}, refuse(cell.Failed, result.StreamBroken, false)},
		{"broken stream that runs once", once, []entry.Event{granted, first, broken}, refuse(cell.Failed, result.StreamBroken, false)},
		{"broken twice", two, []entry.Event{granted, first, broken, granted, broken}, refuse(cell.Failed, result.StreamBroken, false)},
		{"stream of the caller's own resume", entry.Config{Elsewhere: true, MaxSends: 2, LastEvent: "4"}, []entry.Event{granted, &entry.Streamed{ID: "5"}}, &entry.Relay{}},
		{"stream's end", one, []entry.Event{granted, first, &entry.StreamEnded{}}, &entry.Deliver{}},
		{"failed", two, []entry.Event{granted, failed}, retry(cell.Failed, entry.EndpointFailed)},
		{"failed, no endpoint left", one, []entry.Event{granted, failed}, &entry.Deliver{End: cell.Failed}},
		{"failed twice", two, []entry.Event{granted, failed, granted, failed}, &entry.Deliver{End: cell.Failed}},
		{"failed, runs once", once, []entry.Event{granted, failed}, &entry.Deliver{End: cell.Failed}},
		{"refused, no endpoint left", one, []entry.Event{granted, refused}, refuse(cell.Refused, result.EndpointRefused, true)},
		{"refused, runs once", once, []entry.Event{granted, refused}, retry(cell.Refused, entry.EndpointBusy)},
		{"refused twice, runs once", once, []entry.Event{granted, refused, granted, refused}, refuse(cell.Refused, result.EndpointRefused, true)},
		{"broken, runs once", once, []entry.Event{granted, broken}, refuse(cell.Failed, result.OutcomeUnknown, false)},
		{"refused", two, []entry.Event{granted, refused}, retry(cell.Refused, entry.EndpointBusy)},
		{"unreached does not count as sent", one, []entry.Event{granted, &entry.NotSent{Endpoint: "e"}}, retry(cell.Unreached, entry.EndpointUnreachable)},
		{"broken, then refused: no promise", two, []entry.Event{granted, broken, granted, refused}, refuse(cell.Refused, result.RetryBudgetSpent, false)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			life := newLife(c.config)
			got := life.Step(start, &entry.Begin{})
			for _, ev := range c.events {
				got = life.Step(start, ev)
			}
			is.Equal(got, c.want)
		})
	}
}
