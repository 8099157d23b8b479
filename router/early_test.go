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

// A flood of early refusals produces a limited number of log lines, and the summaries per team and code count all
// of them.
func TestEarlyRefusalsAreSummed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, seen := logs.NewNullLogger()
		log.SetOutput(io.Discard)
		earlyLog := newEarlyRefusalLog(log, "a")
		refuse := func(team cell.TeamID, count int) { refuseEarly(earlyLog, team, 0, count) }
		refuse("flood", 5000)
		refuse("small", 3)
		time.Sleep(2 * earlySumInterval)
		is.True(len(seen.AllEntries()) <= maxEarlyLinesPerSecond+2)
		sums := map[string]int{}
		for _, entry := range seen.AllEntries() {
			if count, ok := entry.Data["count"].(int); ok {
				sums[fmt.Sprint(entry.Data["team"], " ", entry.Data["code"])] = count
			}
		}
		is.Equal(sums, map[string]int{"flood overloaded": 5000, "small overloaded": 3})
	})
}

// refuseEarly records count refusals of requests whose prompts have this many tokens.
func refuseEarly(earlyLog *earlyRefusalLog, team cell.TeamID, tokens, count int) {
	req := &caller.Request{Prompt: cell.Prompt{Parts: []cell.Part{{Tokens: tokens}}}}
	for range count {
		earlyLog.record(time.Now(), &earlyRefusal{request: req, route: &request.Route{Team: team}, code: result.Overloaded})
	}
}

// Each second gets summaries of its own, with the total and the largest cost of the refused requests.
func TestEarlyRefusalsAreSummedBySecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, seen := logs.NewNullLogger()
		log.SetOutput(io.Discard)
		earlyLog := newEarlyRefusalLog(log, "a")
		start := time.Now()
		time.Sleep(earlySumInterval - time.Millisecond)
		refuseEarly(earlyLog, "small", 100, 2)
		refuseEarly(earlyLog, "small", 700, 1)
		time.Sleep(time.Millisecond)
		refuseEarly(earlyLog, "small", 50, 1)
		time.Sleep(2 * earlySumInterval)
		var sums []string
		for _, entry := range seen.AllEntries() {
			if second, ok := entry.Data["second"].(int64); ok {
				sums = append(sums, fmt.Sprint(second-start.Unix(), entry.Data["count"], entry.Data["cost"], entry.Data["largest"], entry.Data["data_centre"]))
			}
		}
		is.Equal(sums, []string{"0 3 900 700a", "1 1 50 50a"})
	})
}
