package spread

import (
	"maps"
	"slices"

	"ryelug/core/cell"
	"ryelug/core/watcher"
)

// Member is a host of the fleet that does not leave.
type Member = watcher.Member

func (m *Machine) peerUp(router cell.RouterID) {
	p := m.peer(router)
	*p = peer{}
	m.tell(router, p)
}

func (m *Machine) peerDown(router cell.RouterID) {
	if m.peers[router] == nil {
		return
	}
	delete(m.peers, router)
	m.roles.Unlinked(m.now, router.Host())
}

func (m *Machine) peer(router cell.RouterID) *peer {
	if m.peers[router] == nil {
		m.peers[router] = &peer{}
		m.roles.Linked(m.now, router.Host())
	}
	return m.peers[router]
}

// sortedPeers returns the linked routers in a fixed order.
func (m *Machine) sortedPeers() []cell.RouterID {
	return slices.Sorted(maps.Keys(m.peers))
}

// updateRole opens or closes the watch.
func (m *Machine) updateRole() {
	should := m.roles.IsWatching(m.config.Self.Host())
	if should == m.watching {
		return
	}
	m.watching = should
	m.do(&Watch{On: should})
	if should {
		m.readAt = m.now
	}
}
