package rollout

import "math"

const (
	// priorWeight is the number of samples that a rate over a longer time counts for in one over a shorter time.
	priorWeight = 10
	// leastFailureRate and leastSlowRate are the least rates that the stable group is taken to have, so that a few bad
	// answers that come together by chance are no evidence.
	leastFailureRate = 0.005
	leastSlowRate    = 0.02
	// fewMore and manyMore are how much more often than the stable group a bad version fails, by the two tests on failures; the
	// first finds a version that fails one in ten, the second decides sooner on one that fails half. slowMore is that of the test
	// on slow answers. manyMore and slowMore are parts of what the stable group does well.
	fewMore  = 0.05
	manyMore = 0.4
	slowMore = 0.4
	// errorOdds is the inverse of the probability that chance alone condemns a good version.
	errorOdds = 1000
)

// The sequential tests.
const (
	fewTest = iota
	manyTest
	slowTest
	testCount
)

// logOdds holds, for each test, the logarithm of the odds that the target is bad.
type logOdds [testCount]float64

// evidence is what the samples of one class, or of all classes, tell about the target. Each test is a cumulative sum that never
// falls below zero (CUSUM), so a version that turns bad late is found as soon as one that was bad from the start.
type evidence struct {
	name    string
	samples int       // samples counts the samples of the target.
	odds    logOdds   // odds are at least zero after settle.
	parts   []logOdds // parts holds, by target endpoint, what each contributed since the odds were zero.
}

// add adds what samples of a target endpoint contribute.
func (e *evidence) add(endpoint int, added *logOdds) {
	for len(e.parts) <= endpoint {
		e.parts = append(e.parts, logOdds{})
	}
	for k := range added {
		e.odds[k] += added[k]
		e.parts[endpoint][k] += added[k]
	}
}

// settle ends a bucket: odds below zero begin again.
func (e *evidence) settle() {
	for k := range e.odds {
		if e.odds[k] > 0 {
			continue
		}
		e.odds[k] = 0
		for i := range e.parts {
			e.parts[i][k] = 0
		}
	}
}

// worst returns the endpoint that contributes most to a test, and the odds without it.
func (e *evidence) worst(test int) (endpoint int, rest float64) {
	for i := range e.parts {
		if e.parts[i][test] > e.parts[endpoint][test] {
			endpoint = i
		}
	}
	return endpoint, e.odds[test] - e.parts[endpoint][test]
}

// leaveOut removes what an endpoint has contributed.
func (e *evidence) leaveOut(endpoint int) {
	if endpoint >= len(e.parts) {
		return
	}
	for k := range e.odds {
		e.odds[k] = max(0, e.odds[k]-e.parts[endpoint][k])
	}
	e.parts[endpoint] = logOdds{}
}

// threshold returns the odds from which a test condemns the target: every sample is one more chance to do so by error, in each test
// of each class.
func (e *evidence) threshold(classes int) float64 {
	return math.Log(errorOdds*testCount*float64(classes+1)) + math.Log(1+float64(e.samples))
}

// tests holds by how much the samples of a bucket change the odds.
type tests struct{ few, many, slow step }

// add returns what samples of the target contribute.
func (t *tests) add(got *rates) logOdds {
	return logOdds{t.few.of(got.failed, got.samples), t.many.of(got.failed, got.samples), t.slow.of(got.slow, got.timed)}
}

// step holds by how much one bad and one good answer change the odds.
type step struct{ bad, good float64 }

// stepOf returns the step of a test of a good target with the first rate of bad answers against a bad one with the second.
func stepOf(good, bad float64) step {
	return step{bad: math.Log(bad / good), good: math.Log((1 - bad) / (1 - good))}
}

func (s step) of(bad, all float64) float64 { return bad*s.bad + (all-bad)*s.good }

// ratio counts bad samples among all.
type ratio struct{ bad, all float64 }

// baseRate returns the rate of bad answers to expect of a good target: the largest of the stable group's rates since the order,
// in the last seconds and in this bucket. The largest one is taken so that a disruption of both groups is held against neither.
// A bucket has few samples, so its bad ones count less their standard deviation: one or two are no disruption.
func baseRate(total, recent, bucket ratio, least float64) float64 {
	overall := (total.bad + 0.5) / (total.all + 1)
	lately := (recent.bad + priorWeight*overall) / (recent.all + priorWeight)
	now := (bucket.bad - math.Sqrt(bucket.bad) + priorWeight*lately) / (bucket.all + priorWeight)
	return min(0.9, max(least, overall, lately, now))
}
