package backlog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/backlog"
	"ryelug/core/cell"
)

var start = time.Unix(1000, 0)

func admits(t *testing.T, guard *backlog.Guard, after time.Duration, team cell.TeamID, want bool) {
	t.Helper()
	is := is.New(t)
	retryAfter, ok := guard.Admit(start.Add(after), team)
	is.Equal(ok, want)
	is.True(ok == (retryAfter == 0)) // A refusal says when to come back.
}

func TestLimit(t *testing.T) {
	guard := backlog.New()
	guard.SetLimit(2)
	admits(t, guard, 0, "a", true)
	admits(t, guard, 0, "a", true)
	admits(t, guard, 0, "a", false)
	admits(t, guard, 0, "b", true)
	guard.Leave(start, "a")
	admits(t, guard, 0, "a", true)
	guard.SetLimit(0)
	admits(t, guard, 0, "a", true)
}

func TestFull(t *testing.T) {
	cases := map[string]struct{ retryAfter, until time.Duration }{
		"half of the time": {200 * time.Millisecond, 100 * time.Millisecond},
		"a bound":          {time.Minute, 250 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			guard := backlog.New()
			admits(t, guard, 0, "a", true)
			guard.Full(start, "a", c.retryAfter)
			guard.Leave(start, "a")
			admits(t, guard, c.until-1, "a", false)
			admits(t, guard, 0, "b", true)
			admits(t, guard, c.until, "a", true)
		})
	}
}
