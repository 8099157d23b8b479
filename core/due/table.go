package due

import (
	"time"

	"ryelug/core/cell"
)

const (
	bucketLength      = 250 * time.Millisecond // bucketLength is the time span of one bucket; the teams that are behind are recomputed once per bucket.
	bucketCount       = 12                     // bucketCount is the number of buckets, which cover 3 s: half of the span for which each team is guaranteed half of its due.
	behindFraction    = 0.75                   // behindFraction is the fraction of its due below which a team is behind, halfway between the guaranteed half and the whole of it.
	toleratedRequests = 1                      // toleratedRequests is the shortfall up to which a team is not behind, in multiples of the cost of its largest request; the guarantee allows three.
)

// Table holds the cost that teams asked for and received, in a sliding window of buckets. Call Grow before using a team's number.
// It is not safe for concurrent use.
type Table struct {
	teams     []account
	current   int                  // current is the index of the current bucket.
	bucketEnd time.Time            // bucketEnd is when the current bucket ends.
	best      [bucketCount]float64 // best holds, by bucket, the most cost that any team received.
	behind    []int                // behind holds the teams that are behind, in ascending order.
}

// account holds the sums of one team over all buckets of the window.
type account struct {
	buckets  [bucketCount]bucket
	received float64 // received is the cost of the requests that began to run.
	unmet    int     // unmet is the number of requests that were rejected, at once or after waiting.
	largest  float64 // largest is the cost of the largest recent request; it decays.
	isBehind bool    // isBehind is the result of the last computation.
}

// bucket holds the sums of one team in one bucket.
type bucket struct {
	asked    float64 // asked is the cost of the requests that callers made.
	received float64 // received is the cost of the requests that began to run.
	unmet    int     // unmet is the number of requests that were rejected, at once or after waiting.
}

// Grow makes sure that teams 0 to n-1 exist.
func (t *Table) Grow(n int) {
	for len(t.teams) < n {
		t.teams = append(t.teams, account{})
	}
}

// AddDemand records the cost of a request that a caller of a team made, whether or not it will run.
func (t *Table) AddDemand(now time.Time, team int, cost cell.Cost) {
	t.elapse(now)
	account := &t.teams[team]
	account.buckets[t.current].asked += float64(cost)
	account.largest = max(account.largest, float64(cost))
}

// Begin records the cost of a request that began to run. A negative cost takes back one that did not run after all.
func (t *Table) Begin(now time.Time, team int, cost cell.Cost) {
	t.elapse(now)
	account := &t.teams[team]
	account.buckets[t.current].received += float64(cost)
	account.received += float64(cost)
}

// Unmet records a number of requests of a team that were rejected, at once or after they had waited too long.
func (t *Table) Unmet(now time.Time, team, count int) {
	t.elapse(now)
	account := &t.teams[team]
	account.buckets[t.current].unmet += count
	account.unmet += count
}

// IsBehind reports whether a team recently received too little of its due.
func (t *Table) IsBehind(now time.Time, team int) bool {
	t.elapse(now)
	return t.teams[team].isBehind
}

// Behind returns the teams that are behind, in ascending order. The slice is valid until the next call of a method.
func (t *Table) Behind(now time.Time) []int {
	t.elapse(now)
	return t.behind
}

// ServiceFraction returns the fraction of its due that a team received within the window: 1 if nothing is due, and more than 1 if the team
// received more than its due.
func (t *Table) ServiceFraction(now time.Time, team int) float64 {
	t.elapse(now)
	account := &t.teams[team]
	owed := t.owed(account)
	if owed <= 0 {
		return 1
	}
	return account.received / owed
}

// owed returns the cost that is due to a team: for each bucket what it asked for, or what the best-served team received if that
// is less. Buckets are compared one by one, so what a team received while there was capacity for all is not held against it later.
func (t *Table) owed(team *account) (owed float64) {
	for at := range team.buckets {
		owed += min(team.buckets[at].asked, t.best[at])
	}
	return owed
}

// elapse starts new buckets up to now and then recomputes which teams are behind.
func (t *Table) elapse(now time.Time) {
	if now.Before(t.bucketEnd) {
		return
	}
	steps := bucketCount
	if elapsed := now.Sub(t.bucketEnd); elapsed < bucketLength*bucketCount {
		steps = 1 + int(elapsed/bucketLength)
	}
	t.bucketEnd = now.Truncate(bucketLength).Add(bucketLength)
	for range min(steps, bucketCount) {
		t.current = (t.current + 1) % bucketCount
		for i := range t.teams {
			t.teams[i].forget(t.current)
		}
	}
	t.compute()
}

// forget subtracts the bucket at an index, the oldest one, from the sums and clears it for reuse.
func (a *account) forget(at int) {
	oldest := &a.buckets[at]
	a.received -= oldest.received
	a.unmet -= oldest.unmet
	a.largest *= 1 - 1.0/bucketCount
	*oldest = bucket{}
}

// compute determines the best service of each bucket and the teams that are behind.
func (t *Table) compute() {
	t.behind = t.behind[:0]
	for at := range t.best {
		t.best[at] = 0
		for i := range t.teams {
			t.best[at] = max(t.best[at], t.teams[i].buckets[at].received)
		}
	}
	for i := range t.teams {
		account := &t.teams[i]
		owed := t.owed(account)
		missing := owed - account.received
		account.isBehind = account.unmet > 0 && account.received < behindFraction*owed && missing > toleratedRequests*account.largest
		if account.isBehind {
			t.behind = append(t.behind, i)
		}
	}
}
