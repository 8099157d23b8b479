package rollout

import (
	"math"
	"time"

	"ryelug/core/cell"
)

const (
	// maxClasses is the largest number of route classes that are told apart.
	maxClasses = 16
	// wantedSamples is the number of samples of a class after which its requests no longer have precedence.
	wantedSamples = 40
	// bucketSpan is the time over which both groups are compared with each other.
	bucketSpan = 250 * time.Millisecond
	// recentDecay is by how much the recent samples of the stable group lose weight in each bucket; the mean age is about a second.
	recentDecay = 0.8
	// priorWeight is the number of samples that a rate over a longer time counts for in one over a shorter time.
	priorWeight = 10
	// leastFailureRate and leastSlowRate are the least rates that the stable group is taken to have, so that a few bad
	// answers that come together by chance are no evidence.
	leastFailureRate = 0.005
	leastSlowRate    = 0.02
	// slowFactor is how many times the median of the stable group a slow answer takes.
	slowFactor = 2
	// fewMore and manyMore are how much more often than the stable group a bad version fails, by the two tests on failures; the
	// first finds a version that fails one in ten, the second decides sooner on one that fails half. slowMore is that of the test
	// on slow answers. manyMore and slowMore are parts of what the stable group does well.
	fewMore  = 0.05
	manyMore = 0.4
	slowMore = 0.4
	// errorOdds is the inverse of the probability that chance alone condemns a good version.
	errorOdds = 1000
)

// The sequential tests of each class.
const (
	fewTest = iota
	manyTest
	slowTest
	testCount
)

// rates counts samples and the bad ones among them, with weights.
type rates struct{ samples, failed, timed, slow float64 }

func (r *rates) add(other *rates) {
	r.samples += other.samples
	r.failed += other.failed
	r.timed += other.timed
	r.slow += other.slow
}

func (r *rates) scale(factor float64) {
	r.samples *= factor
	r.failed *= factor
	r.timed *= factor
	r.slow *= factor
}

// class is the evidence on the requests of one route class.
type class struct {
	name     string
	requests int // requests counts the grants, less those that were not sent.
	exposed  int // exposed counts those to the target.
	target   int // target counts the samples of the target.

	total, recent, bucket rates     // total, recent and bucket are those of the stable group: since the order, in the last seconds, and in the present bucket.
	times                 histogram // times holds the recent times of the stable group.
	slowFrom              float64   // slowFrom is the time from which an answer is slow in this bucket; zero if not known.

	tests [testCount]float64 // tests holds the logarithms of the odds that the target is bad, each at least zero (CUSUM).
	// parts holds, for each target endpoint, its samples in this bucket and what it contributed to the odds since they were zero.
	parts []part
}

// part is what one target endpoint contributes to the evidence on a class.
type part struct {
	bucket rates
	tests  [testCount]float64
}

// addSample records a response, or a refusal. The index of the endpoint is negative for the stable group.
func (t *Trial) addSample(now time.Time, state *class, at int32, sample *Sample) {
	hasFailed := sample.Outcome != cell.Completed
	one := rates{samples: 1}
	if hasFailed {
		one.failed = 1
	}
	measure := sample.measure()
	if measure > 0 && state.slowFrom > 0 {
		one.timed = 1
		if measure >= state.slowFrom {
			one.slow = 1
		}
	}
	if at < 0 {
		t.counts.StableSamples++
		t.counts.StableFailures += int(one.failed)
		if sample.Slots > 0 {
			t.pressure.add(float64(sample.Running) / float64(sample.Slots))
		}
		state.bucket.add(&one)
		if measure > 0 {
			state.times.add(measure)
		}
		return
	}
	endpoint := &t.endpoints[at]
	endpoint.slots = max(sample.Slots, 1)
	t.counts.TargetSamples++
	t.counts.TargetFailures += int(one.failed)
	state.target++
	if sample.GrantedAt.Before(endpoint.failedAt) {
		return // The crash or the cut that ended an earlier request may have ended this one too, so it is no evidence of its own.
	}
	if hasFailed {
		endpoint.failedAt = now
	}
	endpoint.samples++
	if sample.Running >= min(t.level(endpoint), sample.Slots) {
		endpoint.loaded++
	}
	for len(state.parts) <= int(at) {
		state.parts = append(state.parts, part{})
	}
	state.parts[at].bucket.add(&one)
}

// measure returns the time of an answer in relation to what was expected of it, in seconds; zero if it is no evidence.
func (s *Sample) measure() float64 {
	switch {
	case s.Outcome != cell.Completed || s.Cold || s.Took <= 0:
		return 0
	case s.Expected > 0:
		return float64(s.Took) / float64(s.Expected)
	}
	return s.Took.Seconds()
}

// closeBucket compares the samples of both groups in the bucket that has ended, and begins the next one.
func (t *Trial) closeBucket() {
	for i := range t.classes {
		state := &t.classes[i]
		state.total.add(&state.bucket)
		state.recent.add(&state.bucket)
		state.test()
		state.recent.scale(recentDecay)
		state.times.scale(recentDecay)
		state.bucket = rates{}
		if median := state.times.median(); median > 0 {
			state.slowFrom = slowFactor * median
		}
	}
}

// test adds the bucket's samples of the target to the odds of each test.
func (c *class) test() {
	failed := baseRate(c.total.failed, c.total.samples, c.recent.failed, c.recent.samples, c.bucket.failed, c.bucket.samples, leastFailureRate)
	slow := baseRate(c.total.slow, c.total.timed, c.recent.slow, c.recent.timed, c.bucket.slow, c.bucket.timed, leastSlowRate)
	few := oddsOf(failed, min(0.99, failed+fewMore))
	many := oddsOf(failed, failed+manyMore*(1-failed))
	late := oddsOf(slow, slow+slowMore*(1-slow))
	var sum [testCount]float64
	for i := range c.parts {
		at := &c.parts[i]
		added := [testCount]float64{
			few.of(at.bucket.failed, at.bucket.samples), many.of(at.bucket.failed, at.bucket.samples), late.of(at.bucket.slow, at.bucket.timed),
		}
		for k := range added {
			sum[k] += added[k]
			at.tests[k] += added[k]
		}
		at.bucket = rates{}
	}
	for k := range sum {
		c.tests[k] += sum[k]
		if c.tests[k] <= 0 {
			c.clearTest(k)
		}
	}
}

// clearTest sets the odds of a test to zero.
func (c *class) clearTest(k int) {
	c.tests[k] = 0
	for i := range c.parts {
		c.parts[i].tests[k] = 0
	}
}

// baseRate returns the rate of bad answers to expect of a good target: the largest of the stable group's rates since the order,
// in the last seconds and in this bucket. The largest one is taken so that a disruption of both groups is held against neither.
func baseRate(totalBad, total, recentBad, recent, bucketBad, bucket, least float64) float64 {
	overall := (totalBad + 0.5) / (total + 1)
	lately := (recentBad + priorWeight*overall) / (recent + priorWeight)
	now := (bucketBad + priorWeight*lately) / (bucket + priorWeight)
	return min(0.9, max(least, overall, lately, now))
}

// odds holds by how much one bad and one good answer change the logarithm of the odds that the target is bad.
type odds struct{ bad, good float64 }

// oddsOf returns the odds of a good target with the first rate of bad answers against a bad one with the second.
func oddsOf(good, bad float64) odds {
	return odds{bad: math.Log(bad / good), good: math.Log((1 - bad) / (1 - good))}
}

func (o odds) of(bad, all float64) float64 { return bad*o.bad + (all-bad)*o.good }

// threshold returns the logarithm of the odds from which a test of the class condemns the target. A test is made on every
// sample of each class.
func (t *Trial) threshold(state *class) float64 {
	return math.Log(errorOdds*testCount*float64(len(t.classes))) + math.Log(1+float64(state.target))
}

const (
	binsPerOctave = 4
	binCount      = 30 * binsPerOctave
	firstBin      = -20 // firstBin is the binary logarithm of the least time that is told apart.
)

// histogram counts times, with weights, in bins of equal ratio.
type histogram struct {
	bins [binCount]float32
	sum  float64
}

func (h *histogram) add(value float64) {
	bin := int((math.Log2(value) - firstBin) * binsPerOctave)
	h.bins[min(binCount-1, max(0, bin))]++
	h.sum++
}

func (h *histogram) scale(factor float64) {
	for i := range h.bins {
		h.bins[i] *= float32(factor)
	}
	h.sum *= factor
}

// median returns the upper end of the median's bin; zero without enough values.
func (h *histogram) median() float64 {
	if h.sum < 2 {
		return 0
	}
	left := h.sum / 2
	for i := range h.bins {
		left -= float64(h.bins[i])
		if left <= 0 {
			return math.Exp2(float64(i+1)/binsPerOctave + firstBin)
		}
	}
	return 0
}
