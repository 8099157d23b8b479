package spread

import (
	"maps"
	"slices"

	"ryelug/core/cell"
	"ryelug/core/watcher"
)

// Member is a host in the list of hosts, without those that are leaving.
type Member = watcher.Member

// handlePeerUp starts afresh with a newly linked peer and announces this router's generation to it.
func (m *Machine) handlePeerUp(router cell.RouterID) {
	p := m.peer(router)
	*p = peer{}
	m.sendGeneration(router, p)
}

// handlePeerDown forgets a peer whose last link is lost.
func (m *Machine) handlePeerDown(router cell.RouterID) {
	if m.peers[router] == nil {
		return
	}
	delete(m.peers, router)
	m.roles.Unlinked(m.now, router.Host())
}

// peer returns the state of a peer; a peer that is not known is added as linked.
func (m *Machine) peer(router cell.RouterID) *peer {
	if m.peers[router] == nil {
		m.peers[router] = &peer{}
		m.roles.Linked(m.now, router.Host())
	}
	return m.peers[router]
}

// sortedPeers returns the linked routers sorted by ID.
func (m *Machine) sortedPeers() []cell.RouterID {
	return slices.Sorted(maps.Keys(m.peers))
}

// updateRole starts or stops watching the platform when this router's role has changed.
func (m *Machine) updateRole() {
	should := m.roles.IsWatching(m.config.Self.Host())
	if should == m.watching {
		return
	}
	m.watching = should
	m.emit(&Watch{On: should})
	if should {
		m.nextReadAt = m.now
	}
}
