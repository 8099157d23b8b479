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

	slowPace = 150 // slowPace is the least reported pace that may be that of a pause.

	freshFor  = 300 * time.Millisecond // freshFor is the age up to which a report counts in full; pauses last a few hundred milliseconds.
	decayTime = 100 * time.Millisecond // decayTime is the time constant with which an older report approaches what was measured. An endpoint that gets nothing during a pause can't report its end.

	staleAfter = 500 * time.Millisecond // staleAfter is the age from which the last report and the measured times count less and less.
	staleTime  = 300 * time.Millisecond // staleTime is the time constant with which they approach the usual pace: an endpoint that is avoided for its pace gets work again, and can report.

	longTime    = 4 * time.Second // longTime is the time in which a long-term median moves by a factor of e: longer than pauses, shorter than a change of the machines.
	maxLongStep = 0.02            // maxLongStep is the most that one report or measured time moves a median, as a fraction.

	errorDivisor = 64  // errorDivisor is the inverse weight of a new sample in the average errors.
	minSamples   = 32  // minSamples is the number of measured times before reports can be found false.
	falseFactor  = 1.5 // falseFactor is how much larger the error with the reports than without them must be for the reports to count as false.
)

// Endpoint is the pace of one endpoint. Its zero value knows nothing and has a factor of one.
type Endpoint struct {
	load       cell.EndpointLoad
	reportedAt time.Time
	answeredAt time.Time // answeredAt is when the endpoint last answered, with a report or without.
	long       float64   // long is the long-term median of the reported factor; zero before the first report.

	measured             float64 // measured is the long-term median of the measured factor; zero before the first sample.
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
		e.long = towards(e.long, factor, now.Sub(e.reportedAt))
	}
	e.load, e.reportedAt = load, now
	return true
}

// towards returns the long-term median after a sample that follows the one before by a time. A median leaves out pauses, which
// take less than half of the time; an average of the few answers around a pause was far above what came after it.
func towards(median, sample float64, passed time.Duration) float64 {
	step := max(0, min(maxLongStep, passed.Seconds()/longTime.Seconds()))
	if sample > median {
		return min(sample, median*(1+step))
	}
	return max(sample, median/(1+step))
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

// IsDoubtful reports whether the endpoint was slow by its last report, which is too old to say whether it still is. An endpoint that
// has answered since the report was that old without a new one has stopped reporting: then own counts and times are used.
func (e *Endpoint) IsDoubtful(now time.Time) bool {
	return e.load.Pace >= slowPace && now.Sub(e.reportedAt) > freshFor && e.answeredAt.Sub(e.reportedAt) <= freshFor
}

// Answered records that the endpoint has answered; Report must have been called before if it reported its load.
func (e *Endpoint) Answered(now time.Time) { e.answeredAt = now }

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
	e.measured = towards(e.measured, multiple, now.Sub(e.measuredAt))
	e.measuredAt = now
	e.samples = min(e.samples+1, minSamples)
}

// isFalse reports whether the measured times are expected better without the endpoint's reports than with them.
func (e *Endpoint) isFalse() bool {
	return e.samples >= minSamples && e.withError > falseFactor*falseFactor*e.flatError
}
