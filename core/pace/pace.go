package pace

import (
	"math"
	"time"

	"ryelug/core/cell"
)

const (
	usual   = 100  // usual is the reported pace of an endpoint that is as fast as usual.
	minPace = 10   // minPace is the least reported pace that counts; a smaller one is a fault of the report.
	maxPace = 1000 // maxPace is the largest reported pace that counts; a larger one is a fault of the report.

	freshFor  = 300 * time.Millisecond // freshFor is the age up to which a report counts in full; pauses last a few hundred milliseconds.
	decayTime = 100 * time.Millisecond // decayTime is the time constant with which an older report approaches what was measured. An endpoint that gets nothing during a pause can't report its end.

	staleAfter = time.Second     // staleAfter is the age from which the last report and the measured times count less and less.
	staleTime  = 2 * time.Second // staleTime is the time constant with which they approach the usual pace: an endpoint that is avoided for its pace gets work again, and can report.

	longTime      = 5 * time.Second // longTime is the time constant of the long-term averages, of reports and of measured times: longer than pauses, shorter than a change of the machines.
	maxLongWeight = 0.2             // maxLongWeight is the most that one report or measured time counts in these averages.

	errorDivisor = 64  // errorDivisor is the inverse weight of a new sample in the average errors.
	minSamples   = 32  // minSamples is the number of measured times before reports can be found false.
	falseFactor  = 1.5 // falseFactor is how much larger the error with the reports than without them must be for the reports to count as false.
)

// Endpoint is the pace of one endpoint. Its zero value knows nothing and has a factor of one.
type Endpoint struct {
	load       cell.EndpointLoad
	reportedAt time.Time
	long       float64 // long is the long-term average of the reported factor; zero before the first report.

	measured             float64 // measured is the long-term average of the measured factor; zero before the first sample.
	measuredAt           time.Time
	samples              int
	withError, flatError float64 // withError and flatError are average squared errors of times expected with the reports, and without them.
}

// Report records the load that the endpoint has reported, and returns whether it has a pace that counts.
func (e *Endpoint) Report(now time.Time, load cell.EndpointLoad) bool {
	if load.Pace < minPace || load.Pace > maxPace {
		return false
	}
	factor := float64(load.Pace) / usual
	if e.long == 0 {
		e.long = factor
	} else {
		e.long += (factor - e.long) * longWeight(now.Sub(e.reportedAt))
	}
	e.load, e.reportedAt = load, now
	return true
}

// longWeight returns the weight of a sample in a long-term average, this time after the one before it.
func longWeight(passed time.Duration) float64 {
	return max(0, min(maxLongWeight, passed.Seconds()/longTime.Seconds()))
}

// IsKnown reports whether the endpoint has reported a pace.
func (e *Endpoint) IsKnown() bool { return e.load.IsKnown() }

// Load returns the last report and its age.
func (e *Endpoint) Load(now time.Time) (cell.EndpointLoad, time.Duration) {
	return e.load, now.Sub(e.reportedAt)
}

// Factor returns by how much work takes longer at the endpoint now than usual: what it reported, unless measured times
// contradict its reports. A report older than freshFor approaches what was measured, and that approaches the usual pace once it
// is older than staleAfter.
func (e *Endpoint) Factor(now time.Time) float64 {
	if !e.IsKnown() {
		return 1
	}
	known := e.long
	if e.measured > 0 {
		known = e.measured
	}
	age := now.Sub(e.reportedAt)
	if age > staleAfter {
		known = 1 + (known-1)*math.Exp(-(age-staleAfter).Seconds()/staleTime.Seconds())
	}
	if e.isFalse() {
		return known
	}
	reported := float64(e.load.Pace) / usual
	if age > freshFor {
		return known + (reported-known)*math.Exp(-(age-freshFor).Seconds()/decayTime.Seconds())
	}
	return reported
}

// Long returns the factor of the endpoint in the long term, by which those are found that are permanently slower; one if unknown.
func (e *Endpoint) Long() float64 {
	if e.long == 0 {
		return 1
	}
	return e.long
}

// Measured records an own measured time, as a multiple of the usual one; expected is the Factor from before, when the work
// was sent.
func (e *Endpoint) Measured(now time.Time, expected, multiple float64) {
	if expected <= 0 || multiple <= 0 {
		return
	}
	if e.measured == 0 {
		e.measured = multiple
	}
	with, flat := multiple-expected, multiple-e.measured
	e.withError += (with*with - e.withError) / errorDivisor
	e.flatError += (flat*flat - e.flatError) / errorDivisor
	e.measured += flat * longWeight(now.Sub(e.measuredAt))
	e.measuredAt = now
	e.samples = min(e.samples+1, minSamples)
}

// isFalse reports whether the measured times are expected better without the endpoint's reports than with them.
func (e *Endpoint) isFalse() bool {
	return e.samples >= minSamples && e.withError > falseFactor*falseFactor*e.flatError
}
