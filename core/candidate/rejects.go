package candidate

import (
	"maps"
	"time"

	"ryelug/core/config"
)

// rejectionPeriod is how long a rejected generation is not requested from peers after its root was last received.
const rejectionPeriod = 5 * time.Second

// reject is a root that can't be adopted.
type reject struct {
	// generation is the root's generation.
	generation uint64
	receivedAt time.Time // receivedAt is the time at which the root was last received.
}

// Rejects holds the roots that can't be adopted, by the hash of the encoded root.
type Rejects map[string]*reject

// Add records a rejected root, received now.
func (r Rejects) Add(now time.Time, raw []byte, generation uint64) {
	r[config.Hash(raw)] = &reject{generation: generation, receivedAt: now}
}

// See returns the generation of a rejected root and true, and records that it was received again; it returns false
// for a root that was not rejected.
func (r Rejects) See(now time.Time, raw []byte) (uint64, bool) {
	known, found := r[config.Hash(raw)]
	if !found {
		return 0, false
	}
	known.receivedAt = now
	return known.generation, true
}

// HasGeneration reports whether a rejected root of this generation was received less than rejectionPeriod ago.
func (r Rejects) HasGeneration(now time.Time, generation uint64) bool {
	for _, rejected := range r {
		if rejected.generation == generation && now.Sub(rejected.receivedAt) < rejectionPeriod {
			return true
		}
	}
	return false
}

// Forget removes the rejected roots with generations up to this one.
func (r Rejects) Forget(generation uint64) {
	maps.DeleteFunc(r, func(_ string, rejected *reject) bool { return rejected.generation <= generation })
}
