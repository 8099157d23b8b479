package limit

import (
	"time"

	"ryelug/core/cell"
)

// State is the stage of an endpoint's slow start. An endpoint that has just started is cold: it can handle fewer requests than
// later, when it is warm.
type State uint8

// Stages of the slow start.
const (
	Cold    State = iota + 1 // Cold: the endpoint has sent no report in its current run, reports that it is cold, or has completed no request since it started or was last marked as cold; the cold limit applies.
	Warming                  // Warming: the limit rises from the cold to the warm limit with completed work.
	Warm                     // Warm: the warm limit applies.
)

// String returns the state's name in lower case.
func (s State) String() string {
	switch s {
	case Warming:
		return "warming"
	case Warm:
		return "warm"
	default:
		return "cold"
	}
}

const (
	failuresToCold     = 2                // failuresToCold is the number of consecutive failures after which an endpoint counts as cold.
	pollsToUnreachable = 2                // pollsToUnreachable is the number of consecutive lost polls after which an endpoint gets no new work.
	reportFresh        = 2 * time.Second  // reportFresh is the age up to which an endpoint's report counts as fresh.
	idleToCold         = 30 * time.Second // idleToCold is the idle time after which an endpoint without a fresh report counts as cold.
	firstTokenFactor   = 8                // firstTokenFactor is the multiple of the moving average above which a first-token time is an outlier.
	firstTokenFloor    = time.Second      // firstTokenFloor is the time up to which a first-token time is never an outlier.
	firstTokenSamples  = 16               // firstTokenSamples is the number of samples needed before outliers are detected.
	firstTokenWeight   = 16               // firstTokenWeight is the inverse weight of a new sample in the moving average.
)

// SlowStart implements the slow start of one endpoint: it limits the endpoint's concurrent requests by how warm it is.
type SlowStart struct {
	coldLimit, warmLimit int // coldLimit and warmLimit are the maximum numbers of concurrent requests of a cold and of a warm endpoint.
	warmUp               int // warmUp is the number of completed requests after which a cold endpoint is warm.

	start         cell.StartID // start identifies the run of the endpoint's process that it reported last.
	hasReported   bool         // hasReported is true once the current run of the endpoint has sent a report.
	reportsCold   bool         // reportsCold is true if the last report says that the endpoint is cold.
	completed     int          // completed is the number of requests completed since the endpoint was last cold, at most warmUp.
	hasBase       bool         // hasBase is true if baseCompleted is known.
	baseCompleted int          // baseCompleted is the number of requests that the endpoint had completed when it was last cold, according to its reports.
	coldAt        time.Time    // coldAt is when the endpoint last became cold; older samples do not set baseCompleted.
	failures      int          // failures is the number of consecutive failures.
	lostPolls     int          // lostPolls is the number of consecutive polls without an answer.
	reportedAt    time.Time    // reportedAt is when the last report arrived.
	lastEndedAt   time.Time    // lastEndedAt is when the last request ended.

	firstTokenCount   int           // firstTokenCount is the number of samples in firstTokenAverage.
	firstTokenAverage time.Duration // firstTokenAverage is the moving average of the time to the first token.
}

// SetLimits sets the maximum numbers of concurrent requests while the endpoint is cold and while it is warm, and after how many
// completed requests a cold endpoint is warm.
func (g *SlowStart) SetLimits(cold, warm, warmUp int) {
	g.coldLimit = max(0, min(cold, warm))
	g.warmLimit = max(0, warm)
	g.warmUp = max(1, warmUp)
	g.completed = min(g.completed, g.warmUp)
}

// Report is what an endpoint says about itself when it is polled.
type Report struct {
	Start     cell.StartID // Start identifies the run of the endpoint's process.
	Cold      bool         // Cold is true if the endpoint says that it is cold.
	Completed int          // Completed is the number of requests completed since the start; zero if unknown.
	Sampled   time.Time    // Sampled is the earliest time at which the report can have been taken.
}

// Reported records a report that arrived now, and reports whether the endpoint has restarted since the last one.
func (g *SlowStart) Reported(now time.Time, report Report) (restarted bool) {
	restarted = g.start != report.Start
	if restarted {
		g.start = report.Start
		g.firstTokenCount, g.firstTokenAverage = 0, 0
		g.completed, g.failures = 0, 0
		g.hasBase, g.baseCompleted = true, 0
	}
	if report.Cold {
		isKnownCold := restarted || g.reportsCold && g.hasBase
		g.resetWarmUp(now)
		g.hasBase, g.baseCompleted = isKnownCold, report.Completed
	}
	g.updateCompleted(report)
	g.hasReported, g.reportsCold = true, report.Cold
	g.reportedAt, g.lostPolls = now, 0
	return restarted
}

// updateCompleted updates the number of requests completed since the endpoint was last cold. While baseCompleted is unknown, a
// report sampled before coldAt is ignored: if its count became the base, requests completed between the sample and coldAt would
// count towards the warm-up.
func (g *SlowStart) updateCompleted(report Report) {
	if !g.hasBase {
		if report.Sampled.Before(g.coldAt) {
			return
		}
		g.hasBase, g.baseCompleted = true, report.Completed
	}
	g.completed = max(g.completed, min(report.Completed-g.baseCompleted, g.warmUp))
}

// resetWarmUp marks the endpoint as cold: only work completed from now on counts towards the warm-up.
func (g *SlowStart) resetWarmUp(now time.Time) {
	g.completed = 0
	g.hasBase, g.coldAt = false, now
}

// Completed records a completed request and its time to the first token, zero if unknown. An outlier makes the endpoint cold.
func (g *SlowStart) Completed(now time.Time, firstToken time.Duration) {
	g.lastEndedAt, g.failures = now, 0
	if g.isOutlier(firstToken) {
		g.resetWarmUp(now)
		return
	}
	if !g.reportsCold && g.hasReported {
		g.completed = min(g.completed+1, g.warmUp)
	}
}

// Failed records a failed request.
func (g *SlowStart) Failed(now time.Time) {
	g.lastEndedAt = now
	g.failures++
	if g.failures >= failuresToCold {
		g.resetWarmUp(now)
	}
}

// PollLost records that the endpoint did not answer a poll.
func (g *SlowStart) PollLost(now time.Time) {
	g.lostPolls++
	if g.lostPolls >= pollsToUnreachable {
		g.resetWarmUp(now)
	}
}

// RestartDetected records that the run which the endpoint last reported has ended. The endpoint gets no work until its next report.
func (g *SlowStart) RestartDetected(now time.Time) {
	g.hasReported = false
	g.resetWarmUp(now)
}

// Update marks an endpoint as cold that was idle for long and has sent no fresh report. Its next report restores the count of
// completed work, because baseCompleted is kept.
func (g *SlowStart) Update(now time.Time) {
	if now.Sub(g.reportedAt) > reportFresh && now.Sub(g.lastEndedAt) > idleToCold {
		g.completed = 0
	}
}

// Start returns the last reported run of the endpoint's process, which grants must name.
func (g *SlowStart) Start() cell.StartID { return g.start }

// Reachable reports whether the endpoint has sent a report in its current run and still answers polls.
func (g *SlowStart) Reachable() bool { return g.hasReported && g.lostPolls < pollsToUnreachable }

// Suspect reports whether the endpoint has sent no report in its current run, or a request has failed or a poll was lost since the
// last one that succeeded.
func (g *SlowStart) Suspect() bool { return !g.hasReported || g.failures > 0 || g.lostPolls > 0 }

// ColdLimit returns the limit on concurrent requests while the endpoint is cold.
func (g *SlowStart) ColdLimit() int { return g.coldLimit }

// State returns the present stage of the slow start.
func (g *SlowStart) State() State {
	switch {
	case !g.hasReported || g.reportsCold:
		return Cold
	case g.completed >= g.warmUp:
		return Warm
	case g.completed == 0:
		return Cold
	default:
		return Warming
	}
}

// Limit returns the maximum number of requests that may be in flight now.
func (g *SlowStart) Limit() int {
	switch g.State() {
	case Warm:
		return g.warmLimit
	case Warming:
		return g.coldLimit + (g.warmLimit-g.coldLimit)*g.completed/g.warmUp
	default:
		return g.coldLimit
	}
}

// isOutlier reports whether a first-token time is an outlier. Other times are added to the moving average; zero is ignored.
func (g *SlowStart) isOutlier(first time.Duration) bool {
	if first <= 0 {
		return false
	}
	if g.firstTokenCount >= firstTokenSamples && first > firstTokenFloor && first > firstTokenFactor*g.firstTokenAverage {
		return true
	}
	g.firstTokenCount++
	if g.firstTokenCount == 1 {
		g.firstTokenAverage = first
	}
	g.firstTokenAverage += (first - g.firstTokenAverage) / firstTokenWeight
	return false
}
