package lend

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ryelug/core/cell"
)

const (
	sentPartRetention = 10 * time.Second // older records are dropped: the engine may have evicted a part that was not requested for so long
	maxSentParts      = 1 << 12          // maximum number of parts recorded
)

// sentPart records the endpoint that a part of a prompt was last sent to.
type sentPart struct {
	endpoint cell.EndpointID
	part     cell.Part
	sentAt   time.Time
}

// recordSentParts records where the shared parts of a prompt are sent, which is all but the last part.
// A new dispatcher learns from the record which engines cache which parts. While the record is full,
// nothing more is recorded.
func (l *Lender) recordSentParts(now time.Time, to cell.EndpointID, prompt *cell.Prompt) {
	for i := range max(0, len(prompt.Parts)-1) {
		part := prompt.Parts[i]
		if _, known := l.sentPart[part.ID]; !known && len(l.sentPart) >= maxSentParts {
			l.pruneSentParts(now)
		}
		if len(l.sentPart) < maxSentParts {
			l.sentPart[part.ID] = sentPart{endpoint: to, part: part, sentAt: now}
		}
	}
}

// pruneSentParts removes records that are older than sentPartRetention.
func (l *Lender) pruneSentParts(now time.Time) {
	maps.DeleteFunc(l.sentPart, func(_ uint64, sent sentPart) bool { return now.Sub(sent.sentAt) > sentPartRetention })
}

// recentSentParts returns the parts sent within sentPartRetention and their endpoints, oldest first.
func (l *Lender) recentSentParts(now time.Time) []cell.Cached {
	l.pruneSentParts(now)
	list := make([]cell.Cached, 0, len(l.sentPart))
	for _, id := range sortedKeys(l.sentPart) {
		sent := l.sentPart[id]
		list = append(list, cell.Cached{Endpoint: sent.endpoint, Part: sent.part, Age: now.Sub(sent.sentAt)})
	}
	slices.SortStableFunc(list, func(a, b cell.Cached) int { return cmp.Compare(b.Age, a.Age) })
	return list
}
