package spread

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"ryelug/core/cell"
)

// member is a listed host.
type member struct {
	dataCentre string
	linkedAt   time.Time // linkedAt is when a link to it was last there; the time of listing at first.
}

func (m *Machine) setMembers(listed []Member) {
	m.roles = nil
	before := m.members
	m.members = make(map[cell.HostID]*member, len(listed))
	for _, one := range listed {
		kept, found := before[one.Host]
		if !found {
			kept = &member{linkedAt: m.now}
		}
		kept.dataCentre = one.DataCentre
		m.members[one.Host] = kept
	}
}

func (m *Machine) peerUp(router cell.RouterID) {
	m.roles = nil
	p := m.peer(router)
	*p = peer{}
	m.tell(router, p)
}

func (m *Machine) peerDown(router cell.RouterID) {
	m.roles = nil
	delete(m.peers, router)
	if listed, found := m.members[router.Host()]; found {
		listed.linkedAt = m.now
	}
}

func (m *Machine) peer(router cell.RouterID) *peer {
	if m.peers[router] == nil {
		m.roles = nil
		m.peers[router] = &peer{}
	}
	return m.peers[router]
}

// sortedPeers returns the linked routers in a fixed order.
func (m *Machine) sortedPeers() []cell.RouterID {
	return slices.Sorted(maps.Keys(m.peers))
}

// watchers returns the hosts that should watch for a data centre, the first one first.
func (m *Machine) watchers(dataCentre string) []cell.HostID {
	if m.roles == nil {
		m.assignRoles()
	}
	return m.roles[dataCentre]
}

// assignRoles works out the watchers of all data centres.
func (m *Machine) assignRoles() {
	linked := make(map[cell.HostID]bool, len(m.peers))
	for router := range m.peers {
		linked[router.Host()] = true
	}
	self := m.config.Self.Host()
	able := map[string][]string{}
	for host, one := range m.members {
		if host == self || linked[host] || m.age(one.linkedAt) < m.config.Grace {
			able[one.dataCentre] = append(able[one.dataCentre], string(host))
		}
	}
	if _, listed := m.members[self]; !listed {
		able[m.config.DataCentre] = append(able[m.config.DataCentre], string(self))
	}
	m.roles = make(map[string][]cell.HostID, len(able))
	for dataCentre, hosts := range able {
		m.roles[dataCentre] = first(slices.Clone(hosts), dataCentre, m.config.Watchers)
	}
	m.assignChildren(able[m.config.DataCentre])
}

// assignChildren puts the hosts of this data centre into a tree whose roots are
// the watchers, so that none sends a generation to more than a few others.
func (m *Machine) assignChildren(hosts []string) {
	watchers := m.roles[m.config.DataCentre]
	order := slices.Clone(watchers)
	slices.SortFunc(hosts, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	for _, host := range hosts {
		if !slices.Contains(watchers, cell.HostID(host)) {
			order = append(order, cell.HostID(host))
		}
	}
	m.children = make(map[cell.HostID]bool, m.config.FanOut)
	at := slices.Index(order, m.config.Self.Host())
	start := len(watchers) + at*m.config.FanOut
	for i := start; at >= 0 && i < min(start+m.config.FanOut, len(order)); i++ {
		m.children[order[i]] = true
	}
}

// first returns the first hosts in rendezvous order for a key.
func first(hosts []string, key string, count int) []cell.HostID {
	slices.SortFunc(hosts, cmp.Compare[string])
	var chosen []cell.HostID
	for len(hosts) > 0 && len(chosen) < count {
		next := rendezvous.New(hosts, xxhash.Sum64String).Lookup(key)
		chosen = append(chosen, cell.HostID(next))
		hosts = slices.DeleteFunc(hosts, func(h string) bool { return h == next })
	}
	return chosen
}

// updateRole opens or closes the watch.
func (m *Machine) updateRole() {
	should := slices.Contains(m.watchers(m.config.DataCentre), m.config.Self.Host())
	if should == m.watching {
		return
	}
	m.watching = should
	m.do(&Watch{On: should})
	if should {
		m.readAt = m.now
	}
}

// isWatcherAbroad reports whether a host watches for another data centre.
func (m *Machine) isWatcherAbroad(host cell.HostID) bool {
	listed, found := m.members[host]
	if !found || listed.dataCentre == m.config.DataCentre {
		return false
	}
	return slices.Contains(m.watchers(listed.dataCentre), host)
}

// isNeighbour reports whether a host is in this router's data centre.
func (m *Machine) isNeighbour(host cell.HostID) bool {
	listed, found := m.members[host]
	return found && listed.dataCentre == m.config.DataCentre
}
