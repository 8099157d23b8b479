package candidate

import (
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/config"
)

const (
	hashesPerAsk  = 64
	peersInARound = 2 // peersInARound is how many peers are asked before the platform is.
)

// Candidate is a higher generation that is not adopted yet.
type Candidate struct {
	Generation uint64
	Root       config.Root
	Raw        []byte        // Raw is the root as it was sent; it is empty until the root has arrived.
	From       cell.RouterID // From is the peer that is asked; it is empty for the platform.

	parts   map[string][]byte
	wanted  map[string]bool // wanted holds the parts of the last request that have not arrived.
	tried   map[cell.RouterID]bool
	askedAt time.Time // askedAt is when somebody was last asked; zero if nobody is.
}

// Rumour returns the candidate of a generation whose root has not arrived.
func Rumour(generation uint64, from cell.RouterID) *Candidate {
	return &Candidate{Generation: generation, From: from, parts: map[string][]byte{}, tried: map[cell.RouterID]bool{}}
}

// New returns the candidate of a root.
func New(root config.Root, raw []byte, from cell.RouterID) *Candidate {
	c := Rumour(root.Generation, from)
	c.Root, c.Raw = root, raw
	return c
}

// HasRoot reports whether the root has arrived.
func (c *Candidate) HasRoot() bool {
	return c.Raw != nil
}

// find looks a part up among those of the candidate and the known ones.
func (c *Candidate) find(known map[string][]byte) config.Find {
	return func(hash string) ([]byte, bool) {
		if part, found := c.parts[hash]; found {
			return part, true
		}
		part, found := known[hash]
		return part, found
	}
}

// Missing returns the parts that have not arrived, as many as fit one request.
func (c *Candidate) Missing(known map[string][]byte) []string {
	return config.Missing(c.Root, c.find(known), hashesPerAsk)
}

// Parts returns all parts of the root.
func (c *Candidate) Parts(known map[string][]byte) map[string][]byte {
	return config.Reachable(c.Root, c.find(known))
}

// Wants reports whether a part was asked for and has not arrived.
func (c *Candidate) Wants(hash string) bool {
	return c.wanted[hash]
}

// Take keeps a part that is wanted.
func (c *Candidate) Take(now time.Time, hash string, data []byte) {
	if !c.wanted[hash] {
		return
	}
	c.parts[hash] = data
	delete(c.wanted, hash)
	c.askedAt = now
	if len(c.wanted) == 0 {
		c.askedAt = time.Time{}
	}
}

// IsAsking reports whether somebody was asked at most so long ago.
func (c *Candidate) IsAsking(now time.Time, answer time.Duration) bool {
	return !c.askedAt.IsZero() && now.Sub(c.askedAt) < answer
}

// Ask notes a request to the present source, or to the next one if the last request was in vain.
func (c *Candidate) Ask(now time.Time, hashes []string, holders []cell.RouterID) {
	if !c.askedAt.IsZero() {
		c.turn(holders)
	}
	c.askedAt = now
	c.wanted = make(map[string]bool, len(hashes))
	for _, hash := range hashes {
		c.wanted[hash] = true
	}
}

// turn chooses another peer that has the generation, and the platform after a few.
func (c *Candidate) turn(holders []cell.RouterID) {
	if c.From != "" {
		c.tried[c.From] = true
	}
	next, found := c.untried(holders)
	switch {
	case found && len(c.tried) < peersInARound:
		c.From = next
	case c.From != "":
		c.From = ""
	default:
		clear(c.tried)
		c.From, _ = c.untried(holders)
	}
}

func (c *Candidate) untried(holders []cell.RouterID) (cell.RouterID, bool) {
	i := slices.IndexFunc(holders, func(router cell.RouterID) bool { return !c.tried[router] })
	if i < 0 {
		return "", false
	}
	return holders[i], true
}
