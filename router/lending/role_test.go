package lending_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/io/wire"
	"ryelug/router/directory"
	"ryelug/router/lending"
)

// A request that gives up while its grant is on the way to it loses no slot.
func TestGrantThatCrossesItsWithdrawal(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var sent []wire.Message
	role := lending.New(lending.Config{
		Self: "a/1", Started: now.Add(-time.Hour), StakeLease: time.Second, GrantValid: time.Second,
		Send: func(_ cell.RouterID, message wire.Message) { sent = append(sent, message) },
	})
	role.Adopt(now, directory.New(1, &config.Document{Pools: []config.Pool{{Name: "chat"}}}))
	role.Tick(now, func(cell.ID) []cell.HostID { return []cell.HostID{"a"} })
	join, ok := sent[len(sent)-1].(*wire.Join)
	is.True(ok)
	role.Received(now, "a/1", &wire.Accepted{Cell: "chat", Session: join.Session}, now)
	ask := lending.Ask{Cell: "chat", Demand: cell.Demand{Attempt: 1, Team: "kiosks"}, Reply: make(chan lending.Decision, 1)}
	role.Ask(now, ask)
	grants := []cell.Grant{{Attempt: 1, Endpoint: "e", Start: "s"}}
	role.Received(now, "a/1", &wire.Grants{Cell: "chat", Session: join.Session, Grants: grants}, now)
	is.Equal(len(ask.Reply), 1)
	role.Withdraw(now, ask)
	ends, ok := sent[len(sent)-1].(*wire.Ends)
	is.True(ok)
	is.Equal(ends.Ends, []cell.End{{Attempt: 1, Outcome: cell.Unused}})
}
