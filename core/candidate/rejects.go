package candidate

import (
	"maps"
	"time"

	"ryelug/core/config"
)

// rejectedFor is how long peers are not asked for a generation whose root was rejected.
const rejectedFor = 5 * time.Second

// reject is a root that can't be adopted.
type reject struct {
	generation uint64
	seenAt     time.Time
}

// Rejects remembers roots that can't be adopted, by their hashes.
type Rejects map[string]*reject

// Add remembers a root.
func (r Rejects) Add(now time.Time, raw []byte, generation uint64) {
	r[config.Hash(raw)] = &reject{generation: generation, seenAt: now}
}

// See returns the generation of a root and true if it was rejected before.
func (r Rejects) See(now time.Time, raw []byte) (uint64, bool) {
	known, found := r[config.Hash(raw)]
	if !found {
		return 0, false
	}
	known.seenAt = now
	return known.generation, true
}

// HasGeneration reports whether a root of a generation was seen a short time ago.
func (r Rejects) HasGeneration(now time.Time, generation uint64) bool {
	for _, one := range r {
		if one.generation == generation && now.Sub(one.seenAt) < rejectedFor {
			return true
		}
	}
	return false
}

// Forget drops the roots up to a generation.
func (r Rejects) Forget(generation uint64) {
	maps.DeleteFunc(r, func(_ string, one *reject) bool { return one.generation <= generation })
}
