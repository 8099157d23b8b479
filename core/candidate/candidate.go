package candidate

import (
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/config"
)

const (
	maxHashesPerRequest    = 64 // maxHashesPerRequest is the largest number of parts that one request asks for.
	maxPeersBeforePlatform = 2  // maxPeersBeforePlatform is the largest number of peers that are tried before the platform.
)

// Candidate is a generation of the configuration above the adopted one, whose root or parts may still be missing.
type Candidate struct {
	// Generation is the number of the generation.
	Generation uint64
	// Root is the decoded root; the zero value until it has arrived.
	Root config.Root
	Raw  []byte        // Raw is the encoded root as it was received; nil until it has arrived.
	From cell.RouterID // From is the peer that parts are requested from; empty for the platform.

	parts        map[string][]byte      // parts holds the parts that have arrived, by their hashes.
	requested    map[string]bool        // requested holds the hashes of the last request's parts that have not arrived.
	tried        map[cell.RouterID]bool // tried holds the peers that were tried since the platform was asked last.
	lastActivity time.Time              // lastActivity is the time of the last request or of the last part that arrived for it; zero if no request is open.
}

// FromAnnouncement returns a candidate for a generation of which only the number is known. The peer from has announced it.
func FromAnnouncement(generation uint64, from cell.RouterID) *Candidate {
	return &Candidate{Generation: generation, From: from, parts: map[string][]byte{}, tried: map[cell.RouterID]bool{}}
}

// New returns a candidate for a root, decoded and encoded, that arrived from a peer; from is empty for the platform.
func New(root config.Root, raw []byte, from cell.RouterID) *Candidate {
	c := FromAnnouncement(root.Generation, from)
	c.Root, c.Raw = root, raw
	return c
}

// HasRoot reports whether the root has arrived.
func (c *Candidate) HasRoot() bool {
	return c.Raw != nil
}

// find returns a function that looks a part up by its hash, in the candidate's parts and then in the known ones.
func (c *Candidate) find(known map[string][]byte) config.Find {
	return func(hash string) ([]byte, bool) {
		if part, found := c.parts[hash]; found {
			return part, true
		}
		part, found := known[hash]
		return part, found
	}
}

// Missing returns the hashes of missing parts, at most as many as fit into one request.
func (c *Candidate) Missing(known map[string][]byte) []string {
	return config.Missing(c.Root, c.find(known), maxHashesPerRequest)
}

// Parts returns those parts of the root that have arrived or are known, by their hashes.
func (c *Candidate) Parts(known map[string][]byte) map[string][]byte {
	return config.Reachable(c.Root, c.find(known))
}

// Wants reports whether a part was requested and has not arrived.
func (c *Candidate) Wants(hash string) bool {
	return c.requested[hash]
}

// Take stores a part that was requested, and ignores others. It extends the time of the open request, or closes it
// after its last part.
func (c *Candidate) Take(now time.Time, hash string, data []byte) {
	if !c.requested[hash] {
		return
	}
	c.parts[hash] = data
	delete(c.requested, hash)
	c.lastActivity = now
	if len(c.requested) == 0 {
		c.lastActivity = time.Time{}
	}
}

// IsAsking reports whether a request is open and has not timed out: it was sent, or last partly answered, less than
// timeout ago.
func (c *Candidate) IsAsking(now time.Time, timeout time.Duration) bool {
	return !c.lastActivity.IsZero() && now.Sub(c.lastActivity) < timeout
}

// Ask records a request for the parts with these hashes. If the last request is still open, it has failed, and the
// next source is chosen first; holders are the peers that have the generation.
func (c *Candidate) Ask(now time.Time, hashes []string, holders []cell.RouterID) {
	if !c.lastActivity.IsZero() {
		c.chooseNextSource(holders)
	}
	c.lastActivity = now
	c.requested = make(map[string]bool, len(hashes))
	for _, hash := range hashes {
		c.requested[hash] = true
	}
}

// chooseNextSource chooses the next source: another peer that has the generation, the platform after
// maxPeersBeforePlatform peers or when no other is left, and then the peers again.
func (c *Candidate) chooseNextSource(holders []cell.RouterID) {
	if c.From != "" {
		c.tried[c.From] = true
	}
	next, found := c.firstUntried(holders)
	switch {
	case found && len(c.tried) < maxPeersBeforePlatform:
		c.From = next
	case c.From != "":
		c.From = ""
	default:
		clear(c.tried)
		c.From, _ = c.firstUntried(holders)
	}
}

// firstUntried returns the first holder that was not tried; false if there is none.
func (c *Candidate) firstUntried(holders []cell.RouterID) (cell.RouterID, bool) {
	i := slices.IndexFunc(holders, func(router cell.RouterID) bool { return !c.tried[router] })
	if i < 0 {
		return "", false
	}
	return holders[i], true
}
