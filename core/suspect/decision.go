package suspect

import (
	"maps"
	"slices"
	"time"

	"ryelug/core/cell"
)

const (
	maxDecisions = 2 * maxRejections // parts that are or were rejected, or cleared since
	renewedBy    = time.Minute       // a part that another router rejects for so much longer has been rejected again since
)

// decision is the newest decision on a part.
type decision struct {
	version   uint64        // version rises with each decision on the part, so that routers agree on the newest without a common clock.
	span      time.Duration // span is how long the part was rejected; zero once an answer has cleared it.
	keepUntil time.Time     // keepUntil is when the decision stops mattering: the end of the probation that follows a rejection.
	source    Source
}

func (d *decision) isCleared() bool { return d.span == 0 }

// Learn adds parts that another router rejects, unless an answer has cleared them since, and returns those that were not
// rejected here.
func (t *Table) Learn(now time.Time, parts []cell.RejectedPart) (learned []Rejection) {
	for _, part := range parts {
		last, isKnown := t.decisions[part.ID]
		isKnown = isKnown && now.Before(last.keepUntil)
		if isKnown && last.isCleared() {
			continue
		}
		until, wasRejected := t.until[part.ID], t.isRejected(now, part.ID)
		if part.Left <= 0 || !t.add(now, part.ID, part.Left) {
			continue
		}
		if isRenewed := now.Add(part.Left).Sub(until) > renewedBy; !isKnown || isRenewed {
			t.decide(now, part.ID, decision{version: last.version + 1, span: spanFor(part.Left), source: Told})
			t.unsaved = max(t.unsaved, SaveAgain)
		}
		if !wasRejected {
			learned = append(learned, Rejection{Part: part.ID, Span: part.Left, Source: Told})
		}
	}
	return learned
}

// spanFor returns the shortest span of a rejection of which so much may be left.
func spanFor(left time.Duration) time.Duration {
	span := rejectionSpan
	for span < left && span < maxRejection {
		span *= 2
	}
	return min(span, maxRejection)
}

// reject rejects a part that has crashed engines.
func (t *Table) reject(now time.Time, id uint64, crashes int) Rejection {
	last := t.decisions[id]
	span := min(max(rejectionSpan, 2*last.span), maxRejection)
	if t.add(now, id, span) {
		t.decide(now, id, decision{version: last.version + 1, span: span, source: Found})
		t.unsaved = SaveNow
	}
	return Rejection{Part: id, Crashes: crashes, Span: span, Source: Found}
}

// clearDecision ends the rejection of a part, and its probation.
func (t *Table) clearDecision(now time.Time, id uint64) {
	delete(t.until, id)
	last, isKnown := t.decisions[id]
	if !isKnown || last.isCleared() {
		return
	}
	if !now.Before(last.keepUntil) {
		delete(t.decisions, id)
		return
	}
	t.decisions[id] = decision{version: last.version + 1, keepUntil: last.keepUntil, source: Found}
	t.unsaved = SaveNow
}

// decide records the newest decision on a part whose rejection is in until already. If there are too many, those that
// matter no more are dropped, then the one that stops mattering first.
func (t *Table) decide(now time.Time, id uint64, next decision) {
	if t.decisions == nil {
		t.decisions = make(map[uint64]decision)
	}
	if next.keepUntil.IsZero() {
		next.keepUntil = t.until[id].Add(probationSpans * next.span)
	}
	if _, isKnown := t.decisions[id]; !isKnown && len(t.decisions) >= maxDecisions {
		maps.DeleteFunc(t.decisions, func(_ uint64, d decision) bool { return !now.Before(d.keepUntil) })
		if len(t.decisions) >= maxDecisions {
			delete(t.decisions, slices.MinFunc(slices.Sorted(maps.Keys(t.decisions)), func(a, b uint64) int {
				return t.decisions[a].keepUntil.Compare(t.decisions[b].keepUntil)
			}))
		}
	}
	t.decisions[id] = next
}
