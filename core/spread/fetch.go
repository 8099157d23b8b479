package spread

import (
	"fmt"
	"slices"

	"ryelug/core/candidate"
	"ryelug/core/cell"
	"ryelug/core/config"
)

// rumour notes that a peer has a higher generation.
func (m *Machine) rumour(from cell.RouterID, generation uint64) {
	known := m.pending != nil && m.pending.Generation >= generation
	if generation <= m.root.Generation || m.rejects.HasGeneration(m.now, generation) || known {
		return
	}
	m.pending = candidate.Rumour(generation, from)
}

// consider takes in a root, from a peer or, with an empty name, from the platform.
func (m *Machine) consider(raw []byte, from cell.RouterID) {
	if m.isBad(raw) {
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

// pursue adopts the candidate or asks for what it lacks.
func (m *Machine) pursue() {
	if m.pending == nil {
		m.revive()
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
	c.Ask(m.now, missing, m.holders(c.Generation))
	m.ask(c, missing)
}

// revive turns to the highest generation that a peer has, or tries once more what could not be completed.
func (m *Machine) revive() {
	for _, router := range m.sortedPeers() {
		m.rumour(router, m.peers[router].generation)
	}
	if m.pending == nil && m.stuck != nil && m.age(m.stuckAt) >= stuckRetry {
		raw := m.stuck
		m.stuck = nil
		m.consider(raw, "")
	}
}

// ask requests the root or the missing parts from the candidate's source.
func (m *Machine) ask(c *candidate.Candidate, missing []string) {
	switch {
	case c.From != "":
		m.do(&SendAsk{To: c.From, Hashes: missing})
	case c.HasRoot():
		m.readParts(missing)
	default:
		m.readSoon()
	}
}

// readParts reads the parts that are not being read yet.
func (m *Machine) readParts(hashes []string) {
	fresh := slices.DeleteFunc(hashes, func(hash string) bool { return m.fetching[hash] })
	for _, hash := range fresh {
		m.fetching[hash] = true
	}
	if len(fresh) > 0 {
		m.do(&ReadParts{Hashes: fresh})
	}
}

// holders returns the peers that have a generation.
func (m *Machine) holders(generation uint64) []cell.RouterID {
	return slices.DeleteFunc(m.sortedPeers(), func(router cell.RouterID) bool {
		return m.peers[router].generation < generation
	})
}

func (m *Machine) partRead(e *PartRead) {
	delete(m.fetching, e.Hash)
	if !m.store(e.Hash, e.Data) {
		m.giveWay(e.Hash, &config.PartError{Hash: e.Hash})
	}
}

func (m *Machine) partFailed(e *PartFailed) {
	delete(m.fetching, e.Hash)
	var err error
	if e.Missing {
		err = &config.PartError{Hash: e.Hash, Missing: true}
	}
	m.giveWay(e.Hash, err)
}

// giveWay puts a candidate aside that lacks a part which the platform did not
// give, so that a lower generation may be adopted.
func (m *Machine) giveWay(hash string, err error) {
	c := m.pending
	if c == nil || !c.Wants(hash) || c.From != "" {
		return
	}
	m.pending = nil
	m.stuck, m.stuckAt = c.Raw, m.now
	if err != nil && m.reported != c.Generation {
		m.reported = c.Generation
		m.do(&Report{Generation: c.Generation, Err: err})
	}
}

// store keeps a part that the candidate lacks; it returns false for data that is not what its name says.
func (m *Machine) store(hash string, data []byte) bool {
	if config.Hash(data) != hash {
		return false
	}
	if m.pending != nil {
		m.pending.Take(m.now, hash, data)
	}
	return true
}
