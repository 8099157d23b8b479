package dispatching_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/io/wire"
	"ryelug/router/directory"
	"ryelug/router/dispatching"
)

// In a round, each counter goes to three of seven entries, so that the loss of any two entries loses no counter.
func TestEachCounterIsSentToSomeEntries(t *testing.T) {
	is := is.New(t)
	const entries, teams = 7, 12
	now := time.Now()
	receivers := make(map[cell.TeamID]map[cell.RouterID]bool)
	received := make(map[cell.RouterID]int)
	role := dispatching.New(dispatching.Config{Self: "host-0/1", StakeLease: time.Second, Log: logrus.New(), Send: func(to cell.RouterID, message wire.Message) {
		counters, ok := message.(*wire.Counters)
		if !ok {
			return
		}
		received[to] += len(counters.Counters)
		for _, counter := range counters.Counters {
			if receivers[counter.Team] == nil {
				receivers[counter.Team] = make(map[cell.RouterID]bool)
			}
			receivers[counter.Team][to] = true
		}
	}})
	doc := &config.Document{
		Pools:     []config.Pool{{Name: "chat", QueueLimit: 100}},
		Endpoints: []config.Endpoint{{Name: "e", Pool: "chat", WarmLimit: 1, ColdLimit: 1}},
	}
	for i := range teams {
		doc.Teams = append(doc.Teams, config.Team{Name: fmt.Sprint("team-", i), Share: 1})
	}
	role.Adopt(now, directory.New(1, doc))
	for i := range entries {
		router := cell.RouterID(fmt.Sprintf("host-%d/1", i))
		role.Received(now, router, &wire.Join{Cell: "chat", Session: 1}, now)
		for attempt, team := range doc.Teams {
			demand := cell.Demand{Attempt: cell.AttemptID(attempt + 1), Team: cell.TeamID(team.Name)}
			role.Received(now, router, &wire.Want{Cell: "chat", Session: 1, Demands: []cell.Demand{demand}}, now)
		}
	}
	role.TellCounters()
	is.Equal(len(receivers), teams+1) // The virtual time is sent as a counter too.
	for _, routers := range receivers {
		is.True(len(routers) >= 3)
	}
	for _, count := range received {
		is.True(count <= 6) // Three copies of thirteen counters, spread over seven entries.
	}
}
