package rollout

import (
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
	// A bucket is disrupted if at least disruptedFailures requests of the stable group failed, and more than a part of disruptedRate
	// plus disruptedFactor times the usual one.
	disruptedFailures = 3
	disruptedRate     = 0.1
	disruptedFactor   = 3
	// maxDisrupted is the number of buckets after which the stable group is taken to fail as usual.
	maxDisrupted = 12
	// slowFactor is how many times the median of the stable group a slow answer takes.
	slowFactor = 2
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
	evidence
	requests int // requests counts the grants, less those that were not sent.
	exposed  int // exposed counts those to the target.

	total, recent, bucket rates     // total, recent and bucket are those of the stable group: since the order, in the last seconds, and in the present bucket.
	times                 histogram // times holds the recent times of the stable group.
	slowFrom              float64   // slowFrom is the time from which an answer is slow in this bucket; zero if not known.

	disrupted int // disrupted counts the disrupted buckets up to now.

	buckets []rates // buckets holds, by target endpoint, its samples in this bucket.
}

// addAnswer counts an answer that has begun, and its time. The index of the endpoint is negative for the stable group.
func (t *Trial) addAnswer(state *class, at int32, sample *Sample) {
	var one rates
	measure := sample.measure()
	if measure > 0 && state.slowFrom > 0 {
		one.timed = 1
		if measure >= state.slowFrom {
			one.slow = 1
		}
	}
	if at < 0 {
		t.counts.StableSamples++
		if sample.Slots > 0 {
			t.pressure.add(float64(sample.Running) / float64(sample.Slots))
		}
		state.bucket.add(&one)
		if measure > 0 {
			state.times.add(measure)
		}
		return
	}
	t.counts.TargetSamples++
	state.samples++
	t.all.samples++
	endpoint := &t.endpoints[at]
	if sample.Running >= min(t.level(endpoint), sample.Slots) {
		endpoint.loaded++
	}
	if !endpoint.isFaulty {
		state.bucketOf(at).add(&one)
	}
}

// addOutcome counts whether a request failed. The index of the endpoint is negative for the stable group.
func (t *Trial) addOutcome(now time.Time, state *class, at int32, sample *Sample) {
	one := rates{samples: 1}
	if sample.Outcome != cell.Completed {
		one.failed = 1
	}
	if at < 0 {
		t.counts.StableFailures += int(one.failed)
		state.bucket.add(&one)
		return
	}
	t.counts.TargetFailures += int(one.failed)
	endpoint := &t.endpoints[at]
	if endpoint.isFaulty || sample.GrantedAt.Before(endpoint.failedAt) {
		return // The crash or the cut that ended an earlier request may have ended this one too, so it is no evidence of its own.
	}
	if one.failed > 0 {
		endpoint.failedAt = now
	}
	state.bucketOf(at).add(&one)
}

// bucketOf returns the bucket of a target endpoint.
func (c *class) bucketOf(at int32) *rates {
	for len(c.buckets) <= int(at) {
		c.buckets = append(c.buckets, rates{})
	}
	return &c.buckets[at]
}

// measure returns the time of an answer in relation to what was expected of it, in seconds; zero if it is no evidence.
func (s *Sample) measure() float64 {
	switch {
	case s.Outcome != cell.Completed && !s.HasBegun || s.Cold || s.Took <= 0:
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
		tests := state.closeStable()
		for at := range state.buckets {
			if got := &state.buckets[at]; got.samples+got.timed > 0 && state.disrupted == 0 {
				added := tests.add(got)
				state.add(at, &added)
				t.all.add(at, &added)
				t.endpoints[at].addOdds(&added)
			}
			state.buckets[at] = rates{}
		}
		state.settle()
	}
	t.all.settle()
}

// closeStable ends the bucket of the stable group, and returns the tests of the target's samples in it.
func (c *class) closeStable() tests {
	if c.isDisrupted() {
		c.disrupted++
	} else {
		c.disrupted = 0
		c.total.add(&c.bucket)
		c.recent.add(&c.bucket)
	}
	failed := baseRate(ratio{c.total.failed, c.total.samples}, ratio{c.recent.failed, c.recent.samples}, ratio{c.bucket.failed, c.bucket.samples}, leastFailureRate)
	slow := baseRate(ratio{c.total.slow, c.total.timed}, ratio{c.recent.slow, c.recent.timed}, ratio{c.bucket.slow, c.bucket.timed}, leastSlowRate)
	c.recent.scale(recentDecay)
	c.times.scale(recentDecay)
	c.bucket = rates{}
	if median := c.times.median(); median > 0 {
		c.slowFrom = slowFactor * median
	}
	return tests{few: stepOf(failed, min(0.99, failed+fewMore)), many: stepOf(failed, failed+manyMore*(1-failed)), slow: stepOf(slow, slow+slowMore*(1-slow))}
}

// isDisrupted reports whether the stable group failed far more often in this bucket than since the order. Such a bucket counts for
// nothing: the target fails then too, and would seem no worse than the other version for the rest of the roll-out.
func (c *class) isDisrupted() bool {
	usual := (c.total.failed + 0.5) / (c.total.samples + 1)
	isBad := c.bucket.failed >= disruptedFailures && c.bucket.failed > (disruptedRate+disruptedFactor*usual)*c.bucket.samples
	return isBad && c.disrupted < maxDisrupted
}

// addOdds adds what a bucket of the endpoint's samples contributes.
func (e *endpoint) addOdds(added *logOdds) {
	for k := range added {
		e.odds[k] += added[k]
	}
}
