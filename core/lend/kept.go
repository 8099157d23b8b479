package lend

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ryelug/core/cell"
)

const (
	placedKeep = 10 * time.Second // age at which an engine may have dropped a part that nobody asked for
	maxPlaced  = 1 << 12          // parts remembered
)

// placed is where a part of a prompt was sent last.
type placed struct {
	endpoint cell.EndpointID
	part     cell.Part
	at       time.Time
}

// place notes where the shared parts of a prompt go, for the next dispatcher.
func (l *Lender) place(now time.Time, to cell.EndpointID, prompt *cell.Prompt) {
	for i := range max(0, len(prompt.Parts)-1) {
		part := prompt.Parts[i]
		if _, known := l.placed[part.ID]; !known && len(l.placed) >= maxPlaced {
			l.prunePlaced(now)
		}
		if len(l.placed) < maxPlaced {
			l.placed[part.ID] = placed{endpoint: to, part: part, at: now}
		}
	}
}

func (l *Lender) prunePlaced(now time.Time) {
	maps.DeleteFunc(l.placed, func(_ uint64, one placed) bool { return now.Sub(one.at) > placedKeep })
}

// keptList returns where parts of prompts were sent of late, the oldest first.
func (l *Lender) keptList(now time.Time) []cell.Kept {
	l.prunePlaced(now)
	list := make([]cell.Kept, 0, len(l.placed))
	for _, id := range sortedKeys(l.placed) {
		one := l.placed[id]
		list = append(list, cell.Kept{Endpoint: one.endpoint, Part: one.part, Age: now.Sub(one.at)})
	}
	slices.SortStableFunc(list, func(a, b cell.Kept) int { return cmp.Compare(b.Age, a.Age) })
	return list
}
