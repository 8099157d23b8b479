package region_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ryelug/bench/region"
	"ryelug/standin/bubble"
)

const (
	seed = 1

	// The target's time to the first token for 95 in 100.
	firstToken = 1800 * time.Millisecond

	// handOver is the longest pause of a region that still reaches the platform, as after other losses of a dispatcher.
	handOver = 2 * time.Second

	// cutOff is when a region that reaches nobody takes no new work, as after a change that takes it out.
	cutOff = 3 * time.Second
)

var (
	cut      = flag.Duration("cut", 20*time.Second, "how long the regions lose each other in TestCut")
	routers  = flag.Int("routers", 9, "routers of the fleet")
	callers  = flag.Int("callers", 2, "callers of each router; the checks are for those that the engines bear at once")
	backlog  = flag.Int("backlog", 0, "callers of each router in TestBacklog; zero passes it over")
	settings = flag.String("settings", distant(), "lines of the settings of each router")
)

// distant is the line of the settings that docs/OPERATING.md gives for regions that are far from each other.
func distant() string {
	const heartbeat, longestWay = 250 * time.Millisecond, 80 * time.Millisecond
	return fmt.Sprintf("grant_valid = %q\n", heartbeat+5*longestWay)
}

// measure runs a plan in virtual time and logs its report.
func measure(t *testing.T, plan region.Plan) (report region.Report) {
	plan.Seed = seed
	defer bubble.OneProcessor()()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var err error
		report, err = region.Run(context.Background(), plan)
		is.NoErr(err)
		line, err := json.Marshal(report)
		is.NoErr(err)
		t.Log(string(line))
	})
	return report
}

// TestFirstToken checks the target's time to the first token where regions are 20 to 80 ms apart.
func TestFirstToken(t *testing.T) {
	report := measure(t, region.Plan{Routers: *routers, Engines: 16, Callers: *callers, Settings: *settings})
	is := is.New(t)
	is.Equal(len(report.Phases), len(region.Regions))
	for _, phase := range report.Phases {
		is.True(phase.Answered > 0)
		is.Equal(len(phase.Refused), 0)
		is.True(phase.First.P95 <= float64(firstToken.Milliseconds()))
	}
	is.Equal(report.Retries["grant_expired"], int64(0))
}

// TestCut checks a fleet whose regions lose each other while the first one still reaches the platform.
func TestCut(t *testing.T) {
	report := measure(t, region.Plan{Routers: *routers, Engines: 16, Callers: *callers, Cut: *cut, Settings: *settings})
	t.Run("the region that reaches the platform serves on", func(t *testing.T) {
		checkWithin(t, report.Stall[region.East], handOver)
	})
	t.Run("regions that reach nobody take no new work after a few seconds", func(t *testing.T) {
		checkWithin(t, report.LastServed[region.South], cutOff)
		checkWithin(t, report.LastServed[region.West], cutOff)
	})
	t.Run("all regions serve again", func(t *testing.T) {
		for _, name := range region.Regions {
			checkWithin(t, report.Recovery[name], handOver)
			checkWithin(t, report.LastRefusal[name], handOver)
		}
		is.New(t).True(report.Whole)
	})
	t.Run("no engine gets more than its limit", func(t *testing.T) {
		is.New(t).Equal(report.Excesses, 0)
	})
}

// TestBacklog measures the same under more load than the engines bear; it runs when it is asked for.
func TestBacklog(t *testing.T) {
	if *backlog == 0 {
		t.Skip("measures only with -backlog CALLERS")
	}
	measure(t, region.Plan{Routers: *routers, Engines: 16, Callers: *backlog, Cut: *cut, Settings: *settings})
}

func checkWithin(t *testing.T, seconds float64, limit time.Duration) {
	t.Helper()
	is := is.New(t)
	is.True(seconds >= 0)
	is.True(seconds <= limit.Seconds())
}
