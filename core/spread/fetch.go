package spread

import (
	"fmt"
	"slices"

	"ryelug/core/candidate"
	"ryelug/core/cell"
	"ryelug/core/config"
)

// noteGeneration starts fetching a peer's generation if it is higher than every one known and not rejected.
func (m *Machine) noteGeneration(from cell.RouterID, generation uint64) {
	known := m.pending != nil && m.pending.Generation >= generation
	if generation <= m.root.Generation || m.rejects.HasGeneration(m.now, generation) || known {
		return
	}
	m.pending = candidate.FromAnnouncement(generation, from)
}

// considerRoot makes an encoded root the pending candidate if it is valid and higher than every root known. The root
// came from a peer or, if from is empty, from the platform. A root that is malformed or of another environment is rejected.
func (m *Machine) considerRoot(raw []byte, from cell.RouterID) {
	if m.isRejected(raw) {
		return
	}
	root, err := config.ParseRoot(raw)
	if err == nil && root.Environment != m.config.Environment {
		err = fmt.Errorf("the root is of environment %q, this router serves %q", root.Environment, m.config.Environment)
	}
	if err != nil {
		m.reject(raw, root.Generation, err)
		return
	}
	known := m.pending != nil && m.pending.HasRoot() && m.pending.Generation >= root.Generation
	if root.Generation <= m.root.Generation || known {
		return
	}
	m.pending = candidate.New(root, raw, from)
}

// advanceCandidate adopts the pending candidate if it is complete, and otherwise asks for what is missing.
func (m *Machine) advanceCandidate() {
	if m.pending == nil {
		m.pickCandidate()
	}
	c := m.pending
	if c == nil {
		return
	}
	missing := c.Missing(m.parts)
	if c.HasRoot() && len(missing) == 0 {
		m.adopt(c)
		return
	}
	if c.IsAsking(m.now, m.config.Answer) {
		return
	}
	c.Ask(m.now, missing, m.peersWith(c.Generation))
	m.requestMissing(c, missing)
}

// pickCandidate makes the highest generation of a peer the pending candidate, or else retries an incomplete root after incompleteRetry.
func (m *Machine) pickCandidate() {
	for _, router := range m.sortedPeers() {
		m.noteGeneration(router, m.peers[router].generation)
	}
	if m.pending == nil && m.incomplete != nil && m.age(m.incompleteAt) >= incompleteRetry {
		raw := m.incomplete
		m.incomplete = nil
		m.considerRoot(raw, "")
	}
}

// requestMissing asks the candidate's source, a peer or the platform, for the root or the missing parts.
func (m *Machine) requestMissing(c *candidate.Candidate, missing []string) {
	switch {
	case c.From != "":
		m.emit(&SendPartRequest{To: c.From, Hashes: missing})
	case c.HasRoot():
		m.readParts(missing)
	default:
		m.hastenRead()
	}
}

// readParts reads from the platform those of the parts that are not being read already.
func (m *Machine) readParts(hashes []string) {
	fresh := slices.DeleteFunc(hashes, func(hash string) bool { return m.fetching[hash] })
	for _, hash := range fresh {
		m.fetching[hash] = true
	}
	if len(fresh) > 0 {
		m.emit(&ReadParts{Hashes: fresh})
	}
}

// peersWith returns the peers that have announced the generation or a higher one.
func (m *Machine) peersWith(generation uint64) []cell.RouterID {
	return slices.DeleteFunc(m.sortedPeers(), func(router cell.RouterID) bool {
		return m.peers[router].generation < generation
	})
}

// handlePartRead stores a part that the platform returned, or gives its candidate up if the data does not match the hash.
func (m *Machine) handlePartRead(e *PartRead) {
	delete(m.fetching, e.Hash)
	if !m.storePart(e.Hash, e.Data) {
		m.setAside(e.Hash, &config.PartError{Hash: e.Hash})
	}
}

// handlePartFailed gives up the candidate that waits for the part. Only a part that does not exist is reported.
func (m *Machine) handlePartFailed(e *PartFailed) {
	delete(m.fetching, e.Hash)
	var err error
	if e.Missing {
		err = &config.PartError{Hash: e.Hash, Missing: true}
	}
	m.setAside(e.Hash, err)
}

// setAside gives up the pending candidate if the platform could not deliver one of its
// parts, so that a lower generation may be adopted. An error is reported once for a generation.
func (m *Machine) setAside(hash string, err error) {
	c := m.pending
	if c == nil || !c.Wants(hash) || c.From != "" {
		return
	}
	m.pending = nil
	m.incomplete, m.incompleteAt = c.Raw, m.now
	if err != nil && m.reported != c.Generation {
		m.reported = c.Generation
		m.emit(&Report{Generation: c.Generation, Err: err})
	}
}

// storePart hands a part to the pending candidate if there is one. It returns false if the data does not match the hash.
func (m *Machine) storePart(hash string, data []byte) bool {
	if config.Hash(data) != hash {
		return false
	}
	if m.pending != nil {
		m.pending.Take(m.now, hash, data)
	}
	return true
}
