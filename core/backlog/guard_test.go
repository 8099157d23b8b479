package backlog_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/backlog"
	"ryelug/core/cell"
)

var start = time.Unix(1000, 0)

// checkAdmit checks whether a request that comes some time after start is admitted.
func checkAdmit(t *testing.T, guard *backlog.Guard, after time.Duration, team cell.TeamID, want bool) {
	t.Helper()
	is := is.New(t)
	retryAfter, ok := guard.Admit(start.Add(after), team)
	is.Equal(ok, want)
	is.True(ok == (retryAfter == 0)) // Only a rejection has a retry delay.
}

func TestLimit(t *testing.T) {
	guard := backlog.New()
	guard.SetLimit(2)
	checkAdmit(t, guard, 0, "a", true)
	checkAdmit(t, guard, 0, "a", true)
	checkAdmit(t, guard, 0, "a", false)
	checkAdmit(t, guard, 0, "b", true)
	guard.Leave(start, "a")
	checkAdmit(t, guard, 0, "a", true)
	guard.SetLimit(0)
	checkAdmit(t, guard, 0, "a", true)
}

func TestFull(t *testing.T) {
	cases := map[string]struct{ retryAfter, until time.Duration }{
		"half of the retry delay": {200 * time.Millisecond, 100 * time.Millisecond},
		"at most 250 ms":          {time.Minute, 250 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			guard := backlog.New()
			checkAdmit(t, guard, 0, "a", true)
			guard.Full(start, "a", c.retryAfter)
			guard.Leave(start, "a")
			checkAdmit(t, guard, c.until-1, "a", false)
			checkAdmit(t, guard, 0, "b", true)
			checkAdmit(t, guard, c.until, "a", true)
		})
	}
}
