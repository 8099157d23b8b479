package spread

import (
	"fmt"
	"slices"
	"time"

	"ryelug/core/cell"
	"ryelug/core/config"
)

// candidate is a higher generation on its way to adoption.
type candidate struct {
	generation uint64
	root       config.Root
	raw        []byte // raw is empty until the root itself has arrived.
	parts      map[string][]byte
	wanted     map[string]bool // wanted holds the parts of the last request that have not arrived.
	from       cell.RouterID   // from is the peer that is asked; it is empty for the platform.
	tried      map[cell.RouterID]bool
	askedAt    time.Time // askedAt is when somebody was last asked; zero if nobody is.
}

// rumour notes that a peer has a higher generation.
func (m *Machine) rumour(from cell.RouterID, generation uint64) {
	known := m.pending != nil && m.pending.generation >= generation
	if generation <= m.root.Generation || m.isRejected(generation) || known {
		return
	}
	m.pending = &candidate{generation: generation, from: from, tried: map[cell.RouterID]bool{}}
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
	known := m.pending != nil && m.pending.raw != nil && m.pending.generation >= root.Generation
	if root.Generation <= m.root.Generation || known {
		return
	}
	c := &candidate{generation: root.Generation, root: root, raw: raw, from: from, tried: map[cell.RouterID]bool{}}
	c.parts = map[string][]byte{}
	m.pending = c
}

// find looks a part up among those of the candidate and of the generation in force.
func (m *Machine) find(c *candidate) config.Find {
	return func(hash string) ([]byte, bool) {
		if part, found := c.parts[hash]; found {
			return part, true
		}
		part, found := m.parts[hash]
		return part, found
	}
}

// missing returns the parts that have not arrived, as many as fit one request.
func (m *Machine) missing(c *candidate) []string {
	return config.Missing(c.root, m.find(c), hashesPerAsk)
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
	if c.raw != nil && len(m.missing(c)) == 0 {
		m.adopt(c)
		return
	}
	if !c.askedAt.IsZero() && m.age(c.askedAt) < m.config.Answer {
		return
	}
	if !c.askedAt.IsZero() {
		m.nextSource(c)
	}
	c.askedAt = m.now
	m.ask(c)
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
func (m *Machine) ask(c *candidate) {
	hashes := m.missing(c)
	c.wanted = make(map[string]bool, len(hashes))
	for _, hash := range hashes {
		c.wanted[hash] = true
	}
	switch {
	case c.from != "":
		m.do(&SendAsk{To: c.from, Hashes: hashes})
	case c.raw != nil:
		m.readParts(hashes)
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

// nextSource turns to another peer with the generation, and to the platform after a few.
func (m *Machine) nextSource(c *candidate) {
	if c.from != "" {
		c.tried[c.from] = true
	}
	next, found := m.holder(c)
	switch {
	case found && len(c.tried) < asksBeforeRead:
		c.from = next
	case c.from != "":
		c.from = ""
	default:
		clear(c.tried)
		c.from, _ = m.holder(c)
	}
}

// holder returns a peer that has the candidate's generation and was not asked yet.
func (m *Machine) holder(c *candidate) (cell.RouterID, bool) {
	for _, router := range m.sortedPeers() {
		if m.peers[router].generation >= c.generation && !c.tried[router] {
			return router, true
		}
	}
	return "", false
}

func (m *Machine) partFromPeer(e *Part) {
	m.store(e.Hash, e.Data)
}

func (m *Machine) partRead(e *PartRead) {
	delete(m.fetching, e.Hash)
	if !m.store(e.Hash, e.Data) {
		m.giveWay(e.Hash, &config.PartError{Hash: e.Hash})
	}
}

func (m *Machine) partFailed(e *PartFailed) {
	delete(m.fetching, e.Hash)
	if e.Missing {
		m.giveWay(e.Hash, &config.PartError{Hash: e.Hash, Missing: true})
		return
	}
	m.giveWay(e.Hash, nil)
}

// giveWay puts a candidate aside that lacks a part which the platform did not
// give, so that a lower generation may be adopted.
func (m *Machine) giveWay(hash string, err error) {
	c := m.pending
	if c == nil || !c.wanted[hash] || c.from != "" {
		return
	}
	m.pending = nil
	m.stuck, m.stuckAt = c.raw, m.now
	if err != nil && m.reported != c.generation {
		m.reported = c.generation
		m.do(&Report{Generation: c.generation, Err: err})
	}
}

// store keeps a part that the candidate lacks; it returns false for data that is not what its name says.
func (m *Machine) store(hash string, data []byte) bool {
	if config.Hash(data) != hash {
		return false
	}
	c := m.pending
	if c == nil || !c.wanted[hash] {
		return true
	}
	c.parts[hash] = data
	delete(c.wanted, hash)
	c.askedAt = m.now
	if len(c.wanted) == 0 {
		c.askedAt = time.Time{}
	}
	return true
}
