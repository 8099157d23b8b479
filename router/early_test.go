package router

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	logs "github.com/sirupsen/logrus/hooks/test"

	"ryelug/core/cell"
	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/router/request"
)

// A flood of refusals at the entry costs a bounded number of lines, and the sums by team and code tell of all.
func TestEarlyRefusalsAreSummed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, seen := logs.NewNullLogger()
		log.SetOutput(io.Discard)
		early := newEarlyRefusals(log, "a")
		refuse := func(team cell.TeamID, count int) { refuseEarly(early, team, 0, count) }
		refuse("flood", 5000)
		refuse("small", 3)
		time.Sleep(2 * earlySpan)
		is.True(len(seen.AllEntries()) <= earlyLines+2)
		sums := map[string]int{}
		for _, entry := range seen.AllEntries() {
			if count, ok := entry.Data["count"].(int); ok {
				sums[fmt.Sprint(entry.Data["team"], " ", entry.Data["code"])] = count
			}
		}
		is.Equal(sums, map[string]int{"flood overloaded": 5000, "small overloaded": 3})
	})
}

// refuseEarly refuses some requests with prompts of so many tokens.
func refuseEarly(early *earlyRefusals, team cell.TeamID, tokens, count int) {
	req := &caller.Request{Prompt: cell.Prompt{Parts: []cell.Part{{Tokens: tokens}}}}
	for range count {
		early.refused(time.Now(), &earlyRefusal{request: req, route: &request.Route{Team: team}, code: result.Overloaded})
	}
}

// Each second has a sum of its own, with what the requests would have cost.
func TestEarlyRefusalsAreSummedBySecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, seen := logs.NewNullLogger()
		log.SetOutput(io.Discard)
		early := newEarlyRefusals(log, "a")
		start := time.Now()
		time.Sleep(earlySpan - time.Millisecond)
		refuseEarly(early, "small", 100, 2)
		refuseEarly(early, "small", 700, 1)
		time.Sleep(time.Millisecond)
		refuseEarly(early, "small", 50, 1)
		time.Sleep(2 * earlySpan)
		var sums []string
		for _, entry := range seen.AllEntries() {
			if second, ok := entry.Data["second"].(int64); ok {
				sums = append(sums, fmt.Sprint(second-start.Unix(), entry.Data["count"], entry.Data["cost"], entry.Data["largest"], entry.Data["data_centre"]))
			}
		}
		is.Equal(sums, []string{"0 3 900 700a", "1 1 50 50a"})
	})
}
