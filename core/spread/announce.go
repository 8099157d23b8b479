package spread

import (
	"time"

	"ryelug/core/cell"
)

// handleNews handles a peer's announcement of its generation.
func (m *Machine) handleNews(e *Announcement) {
	p := m.peer(e.From)
	p.generation = e.Generation
	m.noteFreshness(e)
	if len(e.Root) > 0 {
		m.considerRoot(e.Root, e.From)
		return
	}
	m.noteGeneration(e.From, e.Generation)
	behind := e.Generation < m.root.Generation && m.age(p.sentAt) >= m.config.Repeat
	if behind || p.sent < m.root.Generation && e.Generation == m.root.Generation {
		m.sendGeneration(e.From, p)
	}
}

// noteFreshness records whether the announcement confirms that this router's generation is current.
func (m *Machine) noteFreshness(e *Announcement) {
	host := e.From.Host()
	if m.roles.IsRemoteWatcher(host) {
		m.relayedAt, m.freshAt = m.now, m.now
	}
	if m.roles.IsInSameDataCentre(host) && e.Generation >= m.root.Generation {
		m.freshAt = m.now
	}
}

// handleAsk sends the root in force or those of the requested parts that this router has.
func (m *Machine) handleAsk(e *PartRequest) {
	if len(e.Hashes) == 0 {
		if m.root.Generation > 0 {
			m.emit(&SendAnnouncement{To: e.From, Generation: m.root.Generation, Root: m.rawRoot})
		}
		return
	}
	for _, hash := range e.Hashes {
		if part, found := m.parts[hash]; found {
			m.emit(&SendPart{To: e.From, Hash: hash, Data: part})
		}
	}
}

// acknowledge announces a newly adopted generation to the watchers of this data centre, so that they do not announce it
// to this router again.
func (m *Machine) acknowledge() {
	for _, router := range m.sortedPeers() {
		if m.roles.IsWatching(router.Host()) {
			m.sendGeneration(router, m.peers[router])
		}
	}
}

// announce sends this router's generation to peers that need it: those that it has to inform
// because they are behind, and, when a confirmation is due, those that rely on its confirmations.
func (m *Machine) announce() {
	if m.root.Generation == 0 {
		return
	}
	confirm := (m.watching || !m.nextConfirmAt.IsZero()) && !m.now.Before(m.nextConfirmAt)
	local := confirm && m.hasFreshNews()
	remote := confirm && m.hasContact()
	for _, router := range m.sortedPeers() {
		p, host := m.peers[router], router.Host()
		behind := p.generation < m.root.Generation
		confirms := local && m.roles.IsInSameDataCentre(host) || remote && m.roles.IsRemoteWatcher(host)
		if behind && m.shouldTell(host, p) || !behind && confirms {
			m.sendGeneration(router, p)
		}
	}
	if confirm {
		m.nextConfirmAt = m.now.Add(m.config.Confirm)
	}
	if !m.watching {
		m.nextConfirmAt = time.Time{}
	}
}

// shouldTell reports whether this router has to announce its generation to a peer that is behind.
// It informs each host that it forwards to, and as a watcher the watchers of other data centres, at once.
// As a watcher it also informs every peer of its data centre and those watchers again after Config.Repeat.
func (m *Machine) shouldTell(host cell.HostID, p *peer) bool {
	if p.sent < m.root.Generation && (m.roles.ForwardsTo(host) || m.watching && m.roles.IsRemoteWatcher(host)) {
		return true
	}
	if !m.watching || m.age(m.adoptedAt) < m.config.Repeat || m.age(p.sentAt) < m.config.Repeat {
		return false
	}
	return m.roles.IsInSameDataCentre(host) || m.roles.IsRemoteWatcher(host)
}

// hasContact reports whether the platform has answered a read of this router within the last two check intervals.
func (m *Machine) hasContact() bool {
	return m.age(m.contactAt) <= 2*m.config.Check
}

// hasFreshNews reports whether the platform, or a watcher of another data centre, has confirmed the generation within two check intervals.
func (m *Machine) hasFreshNews() bool {
	return m.hasContact() || m.age(m.relayedAt) <= 2*m.config.Check
}

// sendGeneration announces this router's generation to a peer, if it has one.
func (m *Machine) sendGeneration(router cell.RouterID, p *peer) {
	if m.root.Generation == 0 {
		return
	}
	p.sent, p.sentAt = m.root.Generation, m.now
	m.emit(&SendAnnouncement{To: router, Generation: m.root.Generation})
}
