package stops_test

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lossSlack is the time after its last byte within which a request may be lost to a connection that is being closed.
const lossSlack = 200 * time.Millisecond

// stop is one planned stop of a router.
type stop struct {
	router int
	signal time.Time // signal is when the grace period began.
	grace  time.Duration
	plan   stopPlan
}

// covers reports whether a request of the router ended in the last sixth of the stop's grace period or after it, with an endpoint at work on it until then.
func (s *stop) covers(one *outcome, ran []run) bool {
	lastSixth := s.signal.Add(s.grace / 6 * 5)
	if one.router != s.router || one.sent.After(s.signal.Add(s.grace)) || one.ended.Before(lastSixth) {
		return false
	}
	for _, r := range ran {
		if r.began.Before(s.signal.Add(s.grace)) && (r.ended.IsZero() || r.ended.After(lastSixth)) {
			return true
		}
	}
	return false
}

// verdict returns what is wrong with an outcome; it is empty if nothing is.
func verdict(one *outcome, ran []run, stops []stop) string {
	switch {
	case one.kind == onceRequest && len(ran) > 1:
		return "ran more than once"
	case one.notRun && len(ran) > 0:
		return "was refused as not run and ran"
	case one.err == nil || one.sent.IsZero():
		return ""
	case len(ran) == 0 && one.ended.Sub(one.sent) <= lossSlack:
		return "" // The request crossed the close.
	}
	for i := range stops {
		if stops[i].covers(one, ran) {
			return "" // The grace period ran out while the endpoint was still working on it.
		}
	}
	if one.status > 0 {
		return "was cut off in its answer"
	}
	if len(ran) > 0 {
		return "was passed on and ended without an answer"
	}
	return "was whole and ended without an answer"
}

// how names how a request ended, to tell apart what the router had not read from what it was working on.
func how(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, syscall.ECONNRESET):
		return "connection reset"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "connection still open"
	}
	return "connection closed"
}

// describe says how a request ended and relates it to its runs and to the stops of its router.
func describe(one *outcome, ran []run, stops []stop) string {
	ms := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	text := fmt.Sprintf("%s %s at router %d, %d before it on the connection: ended %v after its last byte", one.kind, one.mark, one.router, one.earlier, ms(one.ended.Sub(one.sent)))
	for _, r := range ran {
		text += fmt.Sprintf("; ran from %v", ms(r.began.Sub(one.sent)))
		if !r.ended.IsZero() {
			text += fmt.Sprintf(" to %v", ms(r.ended.Sub(one.sent)))
		}
	}
	for _, s := range stops {
		after := one.ended.Sub(s.signal)
		if s.router != one.router || after < 0 || after > s.grace+exitLimit {
			continue
		}
		text += fmt.Sprintf("; %v into a stop", ms(after))
		if s.plan.pauseFor > 0 {
			text += fmt.Sprintf(" with a pause at %v for %v", ms(s.plan.pauseAt), ms(s.plan.pauseFor))
		}
	}
	return fmt.Sprintf("%s: %v", text, one.err)
}

// Checks which outcomes count as lost.
func TestVerdict(t *testing.T) {
	signal := time.Now()
	at := func(ms int) time.Time { return signal.Add(time.Duration(ms) * time.Millisecond) }
	stops := []stop{{router: 1, signal: signal, grace: 1200 * time.Millisecond}}
	lost := fmt.Errorf("connection reset by peer")
	for _, c := range []struct {
		name string
		one  outcome
		ran  []run
		want string
	}{
		{"answered", outcome{sent: at(0), ended: at(500)}, []run{{at(1), at(400)}}, ""},
		{"not written", outcome{ended: at(500), err: lost}, nil, ""},
		{"crossed the close", outcome{sent: at(0), ended: at(200), err: lost}, nil, ""},
		{"whole before the close", outcome{sent: at(0), ended: at(201), err: lost}, nil, "was whole and ended without an answer"},
		{"passed on", outcome{sent: at(0), ended: at(100), err: lost}, []run{{at(1), at(100)}}, "was passed on and ended without an answer"},
		{"at work in the last sixth", outcome{router: 1, sent: at(0), ended: at(1200), err: lost}, []run{{at(1), at(1201)}}, ""},
		{"still at work", outcome{router: 1, sent: at(0), ended: at(1200), err: lost}, []run{{began: at(1)}}, ""},
		{"at work at a router that does not stop", outcome{sent: at(0), ended: at(1200), err: lost}, []run{{at(1), at(1201)}}, "was passed on and ended without an answer"},
		{"done before the last sixth", outcome{router: 1, sent: at(0), ended: at(1200), err: lost}, []run{{at(1), at(990)}}, "was passed on and ended without an answer"},
		{"cut before the last sixth", outcome{router: 1, sent: at(0), ended: at(900), status: 200, err: lost}, []run{{at(1), at(901)}}, "was cut off in its answer"},
		{"ran twice", outcome{kind: onceRequest}, []run{{}, {}}, "ran more than once"},
		{"repeated", outcome{kind: safeRequest}, []run{{}, {}}, ""},
		{"false refusal", outcome{kind: safeRequest, notRun: true}, []run{{}}, "was refused as not run and ran"},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(verdict(&c.one, c.ran, stops), c.want) })
	}
}
