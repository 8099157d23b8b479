package due

import (
	"time"

	"ryelug/core/cell"
)

const (
	bucketLength = 250 * time.Millisecond // bucketLength is the time of one bucket, and between two computations of who is behind.
	bucketCount  = 12                     // bucketCount buckets are 3 s: half of the span over which teams are promised their part.
	behindPart   = 0.75                   // behindPart is the part of what is owed below which a team is behind: halfway between what is promised, a half, and the whole.
	fewRequests  = 1                      // fewRequests times its largest request may be missing before a team is behind; the promise leaves three out.
)

// Table counts what teams asked for and got.
type Table struct {
	teams  []account
	at     int                  // at is the present bucket.
	until  time.Time            // until is when the present bucket ends.
	best   [bucketCount]float64 // best is what the best served team got, by bucket.
	behind []int                // behind holds the teams that are behind, in their order.
}

// account is what is known of one team; sums are over all buckets.
type account struct {
	buckets  [bucketCount]bucket
	got      float64
	unmet    int
	largest  float64 // largest is the cost of the largest request of late; it fades.
	isBehind bool
}

// bucket is what happened in a part of the span.
type bucket struct {
	asked float64
	got   float64
	unmet int
}

// Grow makes room for teams 0 to n-1.
func (t *Table) Grow(n int) {
	for len(t.teams) < n {
		t.teams = append(t.teams, account{})
	}
}

// Ask notes that callers of a team asked for this cost, whatever becomes of it.
func (t *Table) Ask(now time.Time, team int, cost cell.Cost) {
	t.elapse(now)
	of := &t.teams[team]
	of.buckets[t.at].asked += float64(cost)
	of.largest = max(of.largest, float64(cost))
}

// Begin notes that a request of a team began to run; a negative cost takes one back that did not run after all.
func (t *Table) Begin(now time.Time, team int, cost cell.Cost) {
	t.elapse(now)
	of := &t.teams[team]
	of.buckets[t.at].got += float64(cost)
	of.got += float64(cost)
}

// Unmet notes that so many requests of a team were refused, or waited for too long.
func (t *Table) Unmet(now time.Time, team, count int) {
	t.elapse(now)
	of := &t.teams[team]
	of.buckets[t.at].unmet += count
	of.unmet += count
}

// IsBehind tells whether a team got too little of what it is owed of late.
func (t *Table) IsBehind(now time.Time, team int) bool {
	t.elapse(now)
	return t.teams[team].isBehind
}

// Behind returns the teams that are behind; it is valid until the next call.
func (t *Table) Behind(now time.Time) []int {
	t.elapse(now)
	return t.behind
}

// Part returns which part of what it is owed a team got of late: 1 if nothing is owed.
func (t *Table) Part(now time.Time, team int) float64 {
	t.elapse(now)
	of := &t.teams[team]
	owed := t.owed(of)
	if owed <= 0 {
		return 1
	}
	return of.got / owed
}

// owed returns what a team should have got: what it asked for, or what the best served team got if that is less,
// bucket by bucket: what one got while there was room for all counts for nothing later.
func (t *Table) owed(of *account) (owed float64) {
	for at := range of.buckets {
		owed += min(of.buckets[at].asked, t.best[at])
	}
	return owed
}

// elapse begins new buckets and computes who is behind.
func (t *Table) elapse(now time.Time) {
	if now.Before(t.until) {
		return
	}
	steps := bucketCount
	if passed := now.Sub(t.until); passed < bucketLength*bucketCount {
		steps = 1 + int(passed/bucketLength)
	}
	t.until = now.Truncate(bucketLength).Add(bucketLength)
	for range min(steps, bucketCount) {
		t.at = (t.at + 1) % bucketCount
		for i := range t.teams {
			t.teams[i].forget(t.at)
		}
	}
	t.compute()
}

// forget takes the oldest bucket out, which is used anew.
func (a *account) forget(at int) {
	oldest := &a.buckets[at]
	a.got -= oldest.got
	a.unmet -= oldest.unmet
	a.largest *= 1 - 1.0/bucketCount
	*oldest = bucket{}
}

func (t *Table) compute() {
	t.behind = t.behind[:0]
	for at := range t.best {
		t.best[at] = 0
		for i := range t.teams {
			t.best[at] = max(t.best[at], t.teams[i].buckets[at].got)
		}
	}
	for i := range t.teams {
		of := &t.teams[i]
		owed := t.owed(of)
		missing := owed - of.got
		of.isBehind = of.unmet > 0 && of.got < behindPart*owed && missing > fewRequests*of.largest
		if of.isBehind {
			t.behind = append(t.behind, i)
		}
	}
}
