package router

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
	logs "github.com/sirupsen/logrus/hooks/test"

	"ryelug/io/caller"
)

// Connections that end without an answer are counted by cause. A limited number is logged, none that its caller closed.
func TestUnansweredConnectionsAreLogged(t *testing.T) {
	is := is.New(t)
	log, seen := logs.NewNullLogger()
	log.SetOutput(io.Discard)
	r := &Router{unanswered: newUnansweredLog(log)}
	const ends = 200
	for range ends {
		r.unanswered.record(caller.Unanswered{Cause: caller.CallerClosed, Caller: &net.TCPAddr{}})
	}
	is.Equal(len(seen.AllEntries()), 0)
	for range ends {
		r.unanswered.record(caller.Unanswered{Cause: caller.Stopped, Request: "a", Received: 7, Unread: true, Caller: &net.TCPAddr{}})
	}
	is.True(len(seen.AllEntries()) > 0 && len(seen.AllEntries()) <= maxUnansweredLinesPerSecond+2)
	line := seen.AllEntries()[0].Data
	is.Equal([]any{line["request"], line["cause"], line["received"], line["unread"]}, []any{"a", "stopped", 7, true})
	is.Equal(r.Unanswered()["caller_closed"], int64(ends))
	is.Equal(r.Unanswered()["stopped"], int64(ends))
}
