package suspect

import (
	"maps"
	"slices"
	"time"

	"ryelug/core/cell"
)

// maxRejections bounds the parts that are rejected at the same time.
const maxRejections = 64

// Rejections holds the parts whose requests are rejected. The zero value holds none. It is not safe for concurrent use.
type Rejections struct {
	until map[uint64]time.Time // until is when requests with a part are tried again.
}

// Find returns for how long a prompt is still rejected, by the longest time of its shared parts, and false if it is not.
func (r *Rejections) Find(now time.Time, prompt *cell.Prompt) (left time.Duration, ok bool) {
	if len(r.until) == 0 {
		return 0, false
	}
	for _, part := range shared(prompt) {
		left = max(left, r.until[part.ID].Sub(now))
	}
	return left, left > 0
}

// Replace replaces the rejected parts by those that a dispatcher named.
func (r *Rejections) Replace(now time.Time, parts []cell.RejectedPart) {
	clear(r.until)
	for _, part := range parts {
		r.add(now, part.ID, part.Left)
	}
}

// List returns the rejected parts, ordered by ID.
func (r *Rejections) List(now time.Time) []cell.RejectedPart {
	list := make([]cell.RejectedPart, 0, len(r.until))
	for _, id := range slices.Sorted(maps.Keys(r.until)) {
		if left := r.until[id].Sub(now); left > 0 {
			list = append(list, cell.RejectedPart{ID: id, Left: left})
		}
	}
	return list
}

// add rejects a part for a time, unless it is rejected for longer already, and reports whether there was room for it.
func (r *Rejections) add(now time.Time, id uint64, span time.Duration) bool {
	if r.until == nil {
		r.until = make(map[uint64]time.Time)
	}
	if len(r.until) >= maxRejections {
		maps.DeleteFunc(r.until, func(_ uint64, until time.Time) bool { return !until.After(now) })
	}
	until, known := r.until[id]
	if !known && len(r.until) >= maxRejections {
		return false
	}
	if now.Add(span).After(until) {
		r.until[id] = now.Add(span)
	}
	return true
}

// isRejected reports whether requests with a part are rejected.
func (r *Rejections) isRejected(now time.Time, id uint64) bool { return r.until[id].After(now) }

// shared returns the parts of a prompt that other requests may have as well: all but the last.
func shared(prompt *cell.Prompt) []cell.Part { return prompt.Parts[:max(0, len(prompt.Parts)-1)] }
