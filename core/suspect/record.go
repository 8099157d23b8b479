package suspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// RefreshInterval is the interval at which a record with rejections or crashes is written again. A reader that can't
// tell the age of a record takes it to be this old.
const RefreshInterval = 30 * time.Second

// expiryMargin is how long before its end what a record lacks is not written any more, since routers differ in when it ends.
const expiryMargin = 2 * RefreshInterval

// maxSuspected bounds the suspected parts of all crashes that are kept, and so the size of a record.
const maxSuspected = 8192

// maxVersion bounds the versions of decisions, so that they can rise for long.
const maxVersion = 1 << 40

// Urgency says how soon the store's record should be written.
type Urgency int

// The urgencies.
const (
	Saved     Urgency = iota
	SaveSoon          // SaveSoon: the record lacks what costs little if it is lost, parts of crashes that answers have cleared.
	SaveAgain         // SaveAgain: it lacks what other routers may know as well, and write.
	SaveNow           // SaveNow: it lacks what was found here.
)

// Origin says where a record was read.
type Origin struct {
	Era      uint64    // Era is the store's.
	Revision uint64    // Revision is that of the record in the store; zero if there is none.
	SavedAt  time.Time // SavedAt is when the record was written, on the local clock.
}

// Record is what a Table has learned that must outlive the processes of the fleet. Its times are on the local clock. A
// Record must not change once it has been passed on.
type Record struct {
	// Base identifies the stored record that this one has taken in; it is the writer's condition, and rises with each
	// state of the stored record.
	Base    uint64
	Origin  Origin
	Parts   []RecordedPart  // Parts are ordered by ID.
	Crashes []RecordedCrash // Crashes are ordered by time.
}

// RecordedPart is the newest decision on a part.
type RecordedPart struct {
	ID      uint64
	Version uint64        // Version rises with each decision on the part.
	Span    time.Duration // Span is how long the part was rejected last; zero if an answer has cleared it since.
	Until   time.Time     // Until is when requests with the part are tried again; for a cleared part, until when the decision is kept.
}

// keepUntil returns when the decision stops mattering.
func (p *RecordedPart) keepUntil() time.Time { return p.Until.Add(probationSpans * p.Span) }

// RecordedCrash is a crash of an engine, or several at the same time.
type RecordedCrash struct {
	IDs   []uint64 // IDs identify the engines' starts that ended.
	At    time.Time
	Parts map[uint64]int // Parts has the weights of the suspected parts, zero for those that answers have cleared.
	// IsExplained says that a part has been rejected for the crash, so that it counts no more; Parts is empty then.
	IsExplained bool
}

// Limit drops what no Table writes from a record that was read, and shortens what is longer than a Table rejects parts for.
// The times are those of a record that was written at a time on the local clock.
func (r *Record) Limit(written time.Time) {
	slices.SortStableFunc(r.Parts, func(a, b RecordedPart) int { return cmp.Compare(a.ID, b.ID) })
	r.Parts = slices.CompactFunc(r.Parts, func(a, b RecordedPart) bool { return a.ID == b.ID })
	r.Parts = slices.DeleteFunc(r.Parts, func(p RecordedPart) bool { return p.Span < 0 || p.Version == 0 || p.Version > maxVersion })
	r.Parts = r.Parts[:min(len(r.Parts), maxDecisions)]
	for i := range r.Parts {
		part := &r.Parts[i]
		longest := (1 + probationSpans) * maxRejection // that of a part that was cleared right after its rejection
		if part.Span > 0 {
			part.Span = min(part.Span, maxRejection)
			longest = part.Span
		}
		if last := written.Add(longest); part.Until.After(last) {
			part.Until = last
		}
	}
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c RecordedCrash) bool { return len(c.IDs) == 0 || c.At.After(written) })
	slices.SortStableFunc(r.Crashes, func(a, b RecordedCrash) int { return a.At.Compare(b.At) })
	r.Crashes = r.Crashes[max(0, len(r.Crashes)-maxCrashes):]
	for i := range r.Crashes {
		maps.DeleteFunc(r.Crashes[i].Parts, func(_ uint64, weight int) bool { return weight < 0 })
		for id, weight := range r.Crashes[i].Parts {
			r.Crashes[i].Parts[id] = min(weight, waitingWeight)
		}
	}
}

// Unsaved returns how soon the store's record should be written for what it lacks.
func (t *Table) Unsaved() Urgency { return t.unsaved }

// IsRefreshDue reports whether the store's record is older than RefreshInterval and has anything that still matters, so
// that it should be written again for the time that has passed.
func (t *Table) IsRefreshDue(now time.Time) bool {
	if now.Sub(t.savedAt) < RefreshInterval {
		return false
	}
	for _, until := range t.until {
		if until.After(now) {
			return true
		}
	}
	return slices.ContainsFunc(t.crashes, func(c crash) bool { return c.isSuspicious() && now.Sub(c.at) <= crashKeep })
}

// Record returns what the store's record should say.
func (t *Table) Record(now time.Time) Record {
	record := Record{Base: t.base}
	for _, id := range slices.Sorted(maps.Keys(t.decisions)) {
		last := t.decisions[id]
		if now.Before(last.keepUntil) {
			until := last.keepUntil.Add(-probationSpans * last.span)
			record.Parts = append(record.Parts, RecordedPart{ID: id, Version: last.version, Span: last.span, Until: until})
		}
	}
	for i := range t.crashes {
		if one := &t.crashes[i]; now.Sub(one.at) <= crashKeep {
			record.Crashes = append(record.Crashes, RecordedCrash{IDs: slices.Clone(one.ids), At: one.at, Parts: maps.Clone(one.parts), IsExplained: one.isExplained})
		}
	}
	return record
}

// Merge takes the store's record in, and returns the parts that are rejected by it and were not before. What the record
// lacks, or what is newer here, is to be written.
func (t *Table) Merge(now time.Time, record *Record) (learned []Rejection) {
	before := t.unsaved
	t.base, t.savedAt, t.unsaved = record.Base, record.Origin.SavedAt, Saved
	for i := range record.Parts {
		if t.mergePart(now, &record.Parts[i]) {
			one := &record.Parts[i]
			learned = append(learned, Rejection{Part: one.ID, Span: one.Until.Sub(now), Source: Stored, Record: record.Origin})
		}
	}
	for id, last := range t.decisions {
		_, isRecorded := slices.BinarySearchFunc(record.Parts, id, func(part RecordedPart, id uint64) int { return cmp.Compare(part.ID, id) })
		if !isRecorded && now.Add(expiryMargin).Before(last.keepUntil) {
			t.unsaved = SaveAgain
		}
	}
	t.mergeCrashes(now, record.Crashes)
	if before == SaveNow && t.unsaved == SaveAgain {
		t.unsaved = SaveNow // What was found here is not in the record yet.
	}
	return learned
}

// mergePart takes a recorded decision in, if it is newer, and reports whether its part is rejected by it and was not
// before. Of two decisions of the same version the one that clears the part counts.
func (t *Table) mergePart(now time.Time, part *RecordedPart) bool {
	last, isKnown := t.decisions[part.ID]
	isCleared := part.Span == 0
	switch {
	case !now.Before(part.keepUntil()):
		return false
	case isKnown && (last.version > part.Version || last.version == part.Version && last.isCleared()):
		if last.version > part.Version || !isCleared {
			t.unsaved = SaveAgain
		}
		return false
	case isCleared:
		delete(t.until, part.ID)
		t.decide(now, part.ID, decision{version: part.Version, keepUntil: part.Until, source: Stored})
		return false
	}
	wasRejected := t.isRejected(now, part.ID)
	if !t.add(now, part.ID, part.Until.Sub(now)) {
		return false
	}
	t.decide(now, part.ID, decision{version: part.Version, span: part.Span, source: Stored})
	return !wasRejected && t.isRejected(now, part.ID)
}

// mergeCrashes takes recorded crashes in, and notes what the record lacks of those that are known here.
func (t *Table) mergeCrashes(now time.Time, recorded []RecordedCrash) {
	for i := range recorded {
		if now.Sub(recorded[i].At) <= crashKeep {
			t.mergeCrash(&recorded[i])
		}
	}
	slices.SortStableFunc(t.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	t.dropOldCrashes(now)
	t.boundCrashes()
	for i := range t.crashes {
		t.unsaved = max(t.unsaved, t.crashes[i].unsaved(now, recorded))
	}
}

// mergeCrash takes a recorded crash in. Whatever the order in which routers merge, they end with the same: a part that any of
// them has cleared is cleared, and a crash that any of them has explained is explained.
func (t *Table) mergeCrash(recorded *RecordedCrash) {
	known := slices.IndexFunc(t.crashes, func(c crash) bool { return sharesID(c.ids, recorded.IDs) })
	if known < 0 {
		known = len(t.crashes)
		t.crashes = append(t.crashes, crash{at: recorded.At, parts: make(map[uint64]int, len(recorded.Parts))})
	}
	own := &t.crashes[known]
	for _, id := range recorded.IDs {
		if !slices.Contains(own.ids, id) {
			own.ids = append(own.ids, id)
		}
	}
	slices.Sort(own.ids)
	if own.isExplained = own.isExplained || recorded.IsExplained; own.isExplained {
		clear(own.parts)
		return
	}
	for id, weight := range recorded.Parts {
		present, isKnown := own.parts[id]
		clearedAt, wasCleared := t.cleared[id]
		if isKnown && present == 0 || wasCleared && clearedAt.After(own.at) {
			weight = 0
		}
		own.parts[id] = weight
		if weight > 0 {
			own.parts[id] = max(weight, present)
		}
	}
}

// unsaved returns how soon the record should be written for what it lacks of a crash. A crash that is about to be too old is left
// to the router that dropped it first.
func (c *crash) unsaved(now time.Time, recorded []RecordedCrash) Urgency {
	at := slices.IndexFunc(recorded, func(r RecordedCrash) bool { return sharesID(c.ids, r.IDs) })
	if at < 0 {
		if now.Sub(c.at) < crashKeep-expiryMargin && c.isSuspicious() {
			return SaveAgain
		}
		return Saved
	}
	other := &recorded[at]
	if c.isExplained != other.IsExplained || !containsAll(other.IDs, c.ids) {
		return SaveAgain
	}
	urgency := Saved
	for id, weight := range c.parts {
		switch recordedWeight, isRecorded := other.Parts[id]; {
		case weight > recordedWeight:
			return SaveAgain
		case isRecorded && weight == 0 && recordedWeight > 0:
			urgency = SaveSoon
		}
	}
	return urgency
}

// isSuspicious reports whether the crash counts against a part.
func (c *crash) isSuspicious() bool {
	for _, weight := range c.parts {
		if weight > 0 {
			return true
		}
	}
	return false
}

func sharesID(a, b []uint64) bool {
	return slices.ContainsFunc(a, func(id uint64) bool { return slices.Contains(b, id) })
}

// containsAll reports whether all has each of some.
func containsAll(all, some []uint64) bool {
	return !slices.ContainsFunc(some, func(id uint64) bool { return !slices.Contains(all, id) })
}
