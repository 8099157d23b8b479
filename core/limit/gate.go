package limit

import (
	"time"

	"ryelug/core/cell"
)

// State says how much an endpoint is trusted to bear.
type State uint8

// States of an endpoint.
const (
	Cold    State = iota + 1 // Cold: the endpoint says so, or nothing is known of it.
	Warming                  // Warming: the limit rises with completed work.
	Warm                     // Warm: the warm limit holds.
)

// String returns the state's name.
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
	failuresToCold     = 2                // failuresToCold is the number of failures in a row that make an endpoint cold.
	pollsToUnreachable = 2                // pollsToUnreachable is the number of lost polls in a row that stop new work.
	reportFresh        = 2 * time.Second  // reportFresh is the age up to which a report counts as fresh.
	idleToCold         = 30 * time.Second // idleToCold is the idleness after which only a fresh report keeps an endpoint warm.
	firstTokenFactor   = 8                // firstTokenFactor times the average is a first-token time far out of line.
	firstTokenLeast    = time.Second      // firstTokenLeast is the least first-token time that counts as out of line.
	firstTokenSamples  = 16               // firstTokenSamples is the number of samples that an average needs.
	firstTokenWeight   = 16               // firstTokenWeight divides the newest sample's difference in the average.
)

// Gate is the slow start of one endpoint.
type Gate struct {
	coldLimit, warmLimit int
	warmUp               int

	start      cell.StartID
	reported   bool // reported is true after a report of the present start.
	saysCold   bool
	done       int  // done is the work completed since the endpoint was last cold.
	isBased    bool // isBased is true once base is known.
	base       int  // base is the work that the endpoint had completed when it was last cold, by its own word.
	coldAt     time.Time
	failures   int
	lostPolls  int
	reportedAt time.Time
	workedAt   time.Time

	firstTokens int
	firstToken  time.Duration
}

// SetLimits sets the limits from the configuration.
func (g *Gate) SetLimits(cold, warm, warmUp int) {
	g.coldLimit = max(0, min(cold, warm))
	g.warmLimit = max(0, warm)
	g.warmUp = max(1, warmUp)
	g.done = min(g.done, g.warmUp)
}

// Report is an endpoint's word on itself.
type Report struct {
	Start     cell.StartID
	Cold      bool
	Completed int       // Completed is the work done since the start; zero when unknown.
	Sampled   time.Time // Sampled is the earliest time that the report can stem from.
}

// Reported takes in a report and tells whether the endpoint has a new start.
func (g *Gate) Reported(now time.Time, report Report) (restarted bool) {
	restarted = g.start != report.Start
	if restarted {
		g.start = report.Start
		g.firstTokens, g.firstToken = 0, 0
		g.done, g.failures = 0, 0
		g.isBased, g.base = true, 0
	}
	if report.Cold {
		isKnownCold := restarted || g.saysCold && g.isBased
		g.resetWarmUp(now)
		g.isBased, g.base = isKnownCold, report.Completed
	}
	g.count(report)
	g.reported, g.saysCold = true, report.Cold
	g.reportedAt, g.lostPolls = now, 0
	return restarted
}

// count takes in the work that the endpoint says it has completed since it was
// last cold. A report from before then tells nothing of it.
func (g *Gate) count(report Report) {
	if !g.isBased {
		if report.Sampled.Before(g.coldAt) {
			return
		}
		g.isBased, g.base = true, report.Completed
	}
	g.done = max(g.done, min(report.Completed-g.base, g.warmUp))
}

// resetWarmUp makes the endpoint cold: only work completed from now on warms it.
func (g *Gate) resetWarmUp(now time.Time) {
	g.done = 0
	g.isBased, g.coldAt = false, now
}

// Completed takes in one completed request with its first-token time, zero when unknown.
func (g *Gate) Completed(now time.Time, firstToken time.Duration) {
	g.workedAt, g.failures = now, 0
	if g.outOfLine(firstToken) {
		g.resetWarmUp(now)
		return
	}
	if !g.saysCold && g.reported {
		g.done = min(g.done+1, g.warmUp)
	}
}

// Failed takes in one failed request.
func (g *Gate) Failed(now time.Time) {
	g.workedAt = now
	g.failures++
	if g.failures >= failuresToCold {
		g.resetWarmUp(now)
	}
}

// PollLost takes in that the endpoint did not answer a request for its report.
func (g *Gate) PollLost(now time.Time) {
	g.lostPolls++
	if g.lostPolls >= pollsToUnreachable {
		g.resetWarmUp(now)
	}
}

// Outdated takes in that the endpoint no longer has the start that it reported;
// it gets no work until its next report.
func (g *Gate) Outdated(now time.Time) {
	g.reported = false
	g.resetWarmUp(now)
}

// Elapse makes an endpoint cold that was idle for long and has no fresh report;
// the next report tells how much of its work still counts.
func (g *Gate) Elapse(now time.Time) {
	if now.Sub(g.reportedAt) > reportFresh && now.Sub(g.workedAt) > idleToCold {
		g.done = 0
	}
}

// Start returns the start that grants are to carry.
func (g *Gate) Start() cell.StartID { return g.start }

// Reachable tells whether the endpoint has reported and still answers.
func (g *Gate) Reachable() bool { return g.reported && g.lostPolls < pollsToUnreachable }

// Suspect tells whether something since the last good sign speaks against the endpoint.
func (g *Gate) Suspect() bool { return !g.reported || g.failures > 0 || g.lostPolls > 0 }

// ColdLimit returns how many requests an endpoint bears in any state.
func (g *Gate) ColdLimit() int { return g.coldLimit }

// State returns the state.
func (g *Gate) State() State {
	switch {
	case !g.reported || g.saysCold:
		return Cold
	case g.done >= g.warmUp:
		return Warm
	case g.done == 0:
		return Cold
	default:
		return Warming
	}
}

// Limit returns how many requests may be in flight now.
func (g *Gate) Limit() int {
	switch g.State() {
	case Warm:
		return g.warmLimit
	case Warming:
		return g.coldLimit + (g.warmLimit-g.coldLimit)*g.done/g.warmUp
	default:
		return g.coldLimit
	}
}

// outOfLine keeps the average of first-token times and tells whether one is far above it.
func (g *Gate) outOfLine(first time.Duration) bool {
	if first <= 0 {
		return false
	}
	if g.firstTokens >= firstTokenSamples && first > firstTokenLeast && first > firstTokenFactor*g.firstToken {
		return true
	}
	g.firstTokens++
	if g.firstTokens == 1 {
		g.firstToken = first
	}
	g.firstToken += (first - g.firstToken) / firstTokenWeight
	return false
}
