package suspect

import (
	"iter"
	"maps"
	"slices"
	"time"

	"ryelug/core/cell"
)

const (
	waitingWeight  = 5                      // evidence of a crash against the parts of a request that had no first token
	begunWeight    = 3                      // evidence against those of a request that was being answered, as more sound requests are at any moment
	minEvidence    = 15                     // evidence, over several crashes, for which a suspected part is rejected
	maxAmbiguous   = 30                     // evidence for which parts that explain the same crashes are rejected together, and least evidence for a part that was cleared lately
	crashKeep      = 10 * time.Minute       // time for which an unexplained crash counts
	maxCrashes     = 32                     // unexplained crashes that are kept
	clearedKeep    = time.Minute            // time for which a whole answer makes a part unlikely to crash engines
	maxCleared     = 1 << 14                // parts whose last whole answer is kept
	pruneInterval  = time.Second            // least time between two looks for parts whose whole answer was too long ago
	sameCrash      = 100 * time.Millisecond // span in which engines that crash count as one crash
	rejectionSpan  = 10 * time.Minute       // time for which a part is rejected first; it doubles each time that the part crashes an engine again
	maxRejection   = 2 * time.Hour
	soundAfter     = 3 * time.Second // time from a first token after which an answer that goes on clears its parts
	minCommon      = 6               // answers from which on it is known which parts most of them have
	commonShare    = 0.75            // share of all answers from which on a part is common, so that it needs as much evidence as one that was cleared lately
	probationSpans = 2               // a part counts as rejected before for so many spans after its rejection
)

// crash is an engine crash, or several at the same time, that no rejected part explained when it was counted.
type crash struct {
	ids         []uint64 // ids identifies the engines' starts that ended.
	at          time.Time
	parts       map[uint64]int // parts has the weights of the parts of its unfinished requests; zero for those that a whole answer has cleared since.
	isExplained bool           // isExplained says that a part has been rejected for the crash, so that it counts no more; parts is empty then.
}

// Answer is a request at an engine that has not answered it as a whole.
type Answer struct {
	Prompt  cell.Prompt
	BegunAt time.Time // BegunAt is the time of the first token; zero if there was none.
}

// isSound reports whether the answer had gone on for soundAfter at a time.
func (a *Answer) isSound(at time.Time) bool {
	return !a.BegunAt.IsZero() && at.Sub(a.BegunAt) >= soundAfter
}

// Crash is an engine that has crashed.
type Crash struct {
	ID         uint64 // ID identifies the start of the engine that ended.
	At         time.Time
	Unfinished []Answer // Unfinished are the requests that it had not answered as a whole.
}

// Source says how a router has learned that a part is rejected.
type Source int

// Sources of rejections.
const (
	Found  Source = iota // Found: from the crashes that it has counted.
	Told                 // Told: from another router, which a dispatcher had told.
	Stored               // Stored: from the record in the store.
)

// String returns the name of the source as log lines have it.
func (s Source) String() string { return [...]string{"found", "told", "stored"}[s] }

// Rejection is a part that is rejected from now on.
type Rejection struct {
	Part    uint64
	Crashes int           // Crashes is the number of crashes that led to it; zero unless they were counted here.
	Span    time.Duration // Span is how long the part is rejected, from now on.
	Source  Source
	Record  Origin // Record is where the store's record was read; only set for the source Stored.
}

// Table decides which parts are rejected, from the crashes and whole answers of the requests of a cell. The zero value has
// seen none. It is not safe for concurrent use.
type Table struct {
	Rejections
	crashes []crash              // crashes are ordered by time.
	common  map[uint64]bool      // common has the suspected parts that most answers have, as of the last crash.
	cleared map[uint64]time.Time // cleared is the time of the last whole answer of each part.

	decisions map[uint64]decision // decisions has the newest decision on each part that is or was rejected.
	base      uint64              // base is that of the store's record that was merged last.
	savedAt   time.Time           // savedAt is when that record was written.
	unsaved   Urgency             // unsaved is how soon what that record lacks should be written.

	prunedAt time.Time // prunedAt is when old entries of cleared were dropped last.
}

// Sound records that a request was answered as a whole, which clears the parts of its prompt.
func (t *Table) Sound(now time.Time, prompt *cell.Prompt) {
	if t.cleared == nil {
		t.cleared = make(map[uint64]time.Time)
	}
	for _, part := range shared(prompt) {
		if _, known := t.cleared[part.ID]; !known && len(t.cleared) >= maxCleared {
			t.pruneCleared(now)
		}
		if _, known := t.cleared[part.ID]; known || len(t.cleared) < maxCleared {
			t.cleared[part.ID] = now
		}
		for i := range t.crashes {
			if t.crashes[i].parts[part.ID] > 0 {
				t.crashes[i].parts[part.ID] = 0
				t.unsaved = max(t.unsaved, SaveSoon)
			}
		}
		t.clearDecision(now, part.ID)
	}
}

// pruneCleared drops the parts whose last first token was too long ago.
func (t *Table) pruneCleared(now time.Time) {
	if now.Sub(t.prunedAt) < pruneInterval {
		return
	}
	t.prunedAt = now
	maps.DeleteFunc(t.cleared, func(_ uint64, at time.Time) bool { return now.Sub(at) > clearedKeep })
}

// Crashed records that engines have crashed, while others go on with the answers that running yields. It returns the parts
// that are rejected now and were not before. Engines that crash at the same time count as one, since what stops many
// together is no prompt.
func (t *Table) Crashed(now time.Time, crashes []Crash, running iter.Seq[Answer]) (rejected []Rejection) {
	began := make(map[uint64]time.Time) // began is when the oldest answer with a suspected part began that goes on elsewhere.
	answers, answersWith := 0, make(map[uint64]int)
	for i := range crashes {
		for j := range crashes[i].Unfinished {
			answers++
			for _, part := range shared(&crashes[i].Unfinished[j].Prompt) {
				began[part.ID] = now
				answersWith[part.ID]++
			}
		}
	}
	if len(began) == 0 {
		return nil
	}
	for answer := range running {
		if answer.isSound(now) {
			t.Sound(now, &answer.Prompt)
		}
		answers++
		for _, part := range shared(&answer.Prompt) {
			answersWith[part.ID]++
			if oldest, isSuspected := began[part.ID]; isSuspected && !answer.BegunAt.IsZero() && answer.BegunAt.Before(oldest) {
				began[part.ID] = answer.BegunAt
			}
		}
	}
	t.common = make(map[uint64]bool)
	for id := range began {
		t.common[id] = answers >= minCommon && float64(answersWith[id]) >= commonShare*float64(answers)
	}
	for i := range crashes {
		rejected = append(rejected, t.addCrash(now, &crashes[i], t.suspects(&crashes[i], began))...)
	}
	return rejected
}

// suspects returns the weights of the parts that may have caused a crash: those of answers that began no later than any
// with the part that goes on elsewhere, and not soundAfter before the crash.
func (t *Table) suspects(c *Crash, began map[uint64]time.Time) map[uint64]int {
	parts := make(map[uint64]int)
	for i := range c.Unfinished {
		answer := &c.Unfinished[i]
		if answer.isSound(c.At) {
			t.Sound(c.At, &answer.Prompt)
			continue
		}
		weight, begunAt := begunWeight, answer.BegunAt
		if begunAt.IsZero() {
			weight, begunAt = waitingWeight, c.At
		}
		for _, part := range shared(&answer.Prompt) {
			if !began[part.ID].Before(begunAt) {
				parts[part.ID] = max(parts[part.ID], weight)
			}
		}
	}
	return parts
}

// addCrash records a crash with the weights of the parts that may have caused it, and returns the parts that are rejected
// now and were not before.
func (t *Table) addCrash(now time.Time, ended *Crash, parts map[uint64]int) []Rejection {
	if len(parts) == 0 {
		return nil
	}
	if again, isExplained := t.explain(now, parts); isExplained {
		return again
	}
	t.unsaved = SaveNow
	t.dropOldCrashes(now)
	if last := len(t.crashes) - 1; last >= 0 && !t.crashes[last].isExplained && ended.At.Sub(t.crashes[last].at).Abs() < sameCrash {
		t.crashes[last].ids = append(t.crashes[last].ids, ended.ID)
		for id, weight := range parts {
			if present, isKnown := t.crashes[last].parts[id]; !isKnown || present > 0 {
				t.crashes[last].parts[id] = min(present+weight, waitingWeight)
			}
		}
	} else {
		t.crashes = append(t.crashes, crash{ids: []uint64{ended.ID}, at: ended.At, parts: parts})
	}
	t.boundCrashes()
	return t.rejectGuilty(now, parts)
}

func (t *Table) dropOldCrashes(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return now.Sub(c.at) > crashKeep })
}

// boundCrashes drops the oldest crashes beyond maxCrashes and maxSuspected. Explained ones stay for as long as others, as do
// cleared parts, since another router may not know yet that they are.
func (t *Table) boundCrashes() {
	suspected := 0
	for i := range t.crashes {
		suspected += len(t.crashes[i].parts)
	}
	for len(t.crashes) > maxCrashes || suspected > maxSuspected && len(t.crashes) > 1 {
		suspected -= len(t.crashes[0].parts)
		t.crashes = slices.Delete(t.crashes, 0, 1)
	}
}

// explain reports whether a part that is or was rejected explains a crash. A part whose rejection is over is rejected again.
func (t *Table) explain(now time.Time, parts map[uint64]int) (again []Rejection, isExplained bool) {
	for _, id := range slices.Sorted(maps.Keys(parts)) {
		until, known := t.until[id]
		if !known {
			continue
		}
		if until.After(now) {
			return nil, true
		}
		if now.Sub(until) < probationSpans*t.decisions[id].span {
			return []Rejection{t.reject(now, id, 1)}, true
		}
	}
	return nil, false
}

// rejectGuilty rejects the part, of those of the last crash, that explains most crashes and that no other one stands beside;
// if the crashes tell none apart for long, all that explain most.
func (t *Table) rejectGuilty(now time.Time, parts map[uint64]int) (rejected []Rejection) {
	var unique, ambiguous []uint64
	mostUnique, mostAmbiguous := 0, maxAmbiguous
	for _, id := range slices.Sorted(maps.Keys(parts)) {
		evidence, isUnique := t.evidence(now, id)
		switch {
		case isUnique && evidence >= t.needed(now, id) && evidence > mostUnique:
			unique, mostUnique = []uint64{id}, evidence
		case !isUnique && !t.isCleared(now, id) && evidence > mostAmbiguous:
			ambiguous, mostAmbiguous = []uint64{id}, evidence
		case !isUnique && !t.isCleared(now, id) && evidence == mostAmbiguous:
			ambiguous = append(ambiguous, id)
		}
	}
	guilty := unique
	if len(guilty) == 0 {
		guilty = ambiguous
	}
	for _, id := range guilty {
		crashes := 0
		for i := range t.crashes {
			if t.crashes[i].parts[id] > 0 {
				crashes++
			}
		}
		rejected = append(rejected, t.reject(now, id, crashes))
	}
	for i := range t.crashes {
		if one := &t.crashes[i]; slices.ContainsFunc(guilty, func(id uint64) bool { return one.parts[id] > 0 }) {
			one.isExplained = true
			clear(one.parts)
		}
	}
	return rejected
}

// needed returns the evidence for which a part is rejected.
func (t *Table) needed(now time.Time, id uint64) int {
	if t.common[id] || t.isCleared(now, id) {
		return maxAmbiguous
	}
	return minEvidence
}

func (t *Table) isCleared(now time.Time, id uint64) bool {
	at, known := t.cleared[id]
	return known && now.Sub(at) <= clearedKeep
}

// evidence returns the weight of the crashes that a part explains, and whether no other part that is as likely explains
// all of them.
func (t *Table) evidence(now time.Time, id uint64) (sum int, isUnique bool) {
	var others map[uint64]int
	for i := range t.crashes {
		if t.crashes[i].parts[id] == 0 {
			continue
		}
		sum += t.crashes[i].parts[id]
		if others == nil {
			others = maps.Clone(t.crashes[i].parts)
		}
		maps.DeleteFunc(others, func(other uint64, _ int) bool { return t.crashes[i].parts[other] == 0 })
	}
	for other := range others {
		if other != id && (t.isCleared(now, id) || !t.isCleared(now, other)) {
			return sum, false
		}
	}
	return sum, true
}
