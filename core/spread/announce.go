package spread

import (
	"time"

	"ryelug/core/cell"
)

// news takes in what a peer said of its generation.
func (m *Machine) news(e *News) {
	p := m.peer(e.From)
	p.generation = e.Generation
	m.listen(e)
	if len(e.Root) > 0 {
		m.consider(e.Root, e.From)
		return
	}
	m.rumour(e.From, e.Generation)
	behind := e.Generation < m.root.Generation && m.age(p.toldAt) >= m.config.Repeat
	if behind || p.told < m.root.Generation && e.Generation == m.root.Generation {
		m.tell(e.From, p)
	}
}

// listen notes how fresh the sender's news are.
func (m *Machine) listen(e *News) {
	host := e.From.Host()
	if m.roles.IsWatchingAbroad(host) {
		m.relayed, m.heard = m.now, m.now
	}
	if m.roles.IsNeighbour(host) && e.Generation >= m.root.Generation {
		m.heard = m.now
	}
}

// answer sends what a peer asked for, as far as this router has it.
func (m *Machine) answer(e *Ask) {
	if len(e.Hashes) == 0 {
		if m.root.Generation > 0 {
			m.do(&SendNews{To: e.From, Generation: m.root.Generation, Root: m.rawRoot})
		}
		return
	}
	for _, hash := range e.Hashes {
		if part, found := m.parts[hash]; found {
			m.do(&SendPart{To: e.From, Hash: hash, Data: part})
		}
	}
}

// acknowledge tells the watchers of this data centre that they need not announce again.
func (m *Machine) acknowledge() {
	for _, router := range m.sortedPeers() {
		if m.roles.IsWatching(router.Host()) {
			m.tell(router, m.peers[router])
		}
	}
}

// announce tells those that this router cares for of a new generation, and of fresh news.
func (m *Machine) announce() {
	if m.root.Generation == 0 {
		return
	}
	confirm := (m.watching || !m.confirmAt.IsZero()) && !m.now.Before(m.confirmAt)
	local := confirm && m.hasFreshNews()
	abroad := confirm && m.hasContact()
	for _, router := range m.sortedPeers() {
		p, host := m.peers[router], router.Host()
		behind := p.generation < m.root.Generation
		confirms := local && m.roles.IsNeighbour(host) || abroad && m.roles.IsWatchingAbroad(host)
		if behind && m.owes(host, p) || !behind && confirms {
			m.tell(router, p)
		}
	}
	if confirm {
		m.confirmAt = m.now.Add(m.config.Confirm)
	}
	if !m.watching {
		m.confirmAt = time.Time{}
	}
}

// owes reports whether this router has to tell a peer that is behind: a child at
// once, and as a watcher all of its data centre after a while.
func (m *Machine) owes(host cell.HostID, p *peer) bool {
	if p.told < m.root.Generation && (m.roles.IsChild(host) || m.watching && m.roles.IsWatchingAbroad(host)) {
		return true
	}
	if !m.watching || m.age(m.adoptedAt) < m.config.Repeat || m.age(p.toldAt) < m.config.Repeat {
		return false
	}
	return m.roles.IsNeighbour(host) || m.roles.IsWatchingAbroad(host)
}

// hasContact reports whether the platform has answered this router lately.
func (m *Machine) hasContact() bool {
	return m.age(m.contact) <= 2*m.config.Check
}

// hasFreshNews reports whether this router's news are fresh, by its own reading or from another data centre.
func (m *Machine) hasFreshNews() bool {
	return m.hasContact() || m.age(m.relayed) <= 2*m.config.Check
}

// tell sends this router's generation to a peer.
func (m *Machine) tell(router cell.RouterID, p *peer) {
	if m.root.Generation == 0 {
		return
	}
	p.told, p.toldAt = m.root.Generation, m.now
	m.do(&SendNews{To: router, Generation: m.root.Generation})
}
