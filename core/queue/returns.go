package queue

import "time"

const (
	minRetryDelay    = 250 * time.Millisecond // minRetryDelay is the shortest time after which a caller is told to retry.
	maxRetryDelay    = 3 * time.Second        // maxRetryDelay is the longest time after which a caller is told to retry. It is limited because a caller waits for a retry at most a third of its remaining time.
	retryFraction    = 0.25                   // retryFraction is the fraction of the present rate of grants that is reserved for retries.
	minRate          = 4.0                    // minRate is the smallest rate of retries, and of grants in estimates, per second.
	rateTimeConstant = time.Second            // rateTimeConstant is the time constant of the average rate of grants.
)

// RetrySchedule assigns refused callers the times of their retries, one after the other, so that they do not all retry at once.
type RetrySchedule struct {
	grantRate    float64   // grantRate is the average number of grants per second.
	decayedAt    time.Time // decayedAt is the time of the last decay of grantRate.
	lastAssigned time.Time // lastAssigned is the time from which the next retry time is counted: usually the last one assigned.
}

// Granted records a grant. The rate of retries is a fraction of the rate of grants.
func (r *RetrySchedule) Granted(now time.Time) {
	r.decay(now)
	r.grantRate += 1 / rateTimeConstant.Seconds()
}

// decay reduces the average according to the time since its last decay.
func (r *RetrySchedule) decay(now time.Time) {
	if passed := now.Sub(r.decayedAt); passed > 0 {
		r.grantRate /= 1 + passed.Seconds()/rateTimeConstant.Seconds()
		r.decayedAt = now
	}
}

// Drain returns the estimated time until this number of waiting requests is granted, at the present rate of grants.
func (r *RetrySchedule) Drain(now time.Time, requests int) time.Duration {
	r.decay(now)
	return time.Duration(float64(requests) / max(minRate, r.grantRate) * float64(time.Second))
}

// Next returns the time after which the caller that is refused now should retry: from 250 ms to 3 s.
func (r *RetrySchedule) Next(now time.Time) time.Duration {
	r.decay(now)
	interval := time.Duration(float64(time.Second) / max(minRate, retryFraction*r.grantRate))
	r.lastAssigned = r.lastAssigned.Add(interval)
	if earliest := now.Add(minRetryDelay); r.lastAssigned.Before(earliest) {
		r.lastAssigned = earliest
	}
	if delay := r.lastAssigned.Sub(now); delay < maxRetryDelay {
		return delay
	}
	r.lastAssigned = now.Add(minRetryDelay) // The longest delay is reached, so the next callers get times from the shortest delay on again.
	return maxRetryDelay
}
