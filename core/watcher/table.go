package watcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"ryelug/core/cell"
)

// Config identifies the host and sets the numbers of watchers and of hosts to forward to.
type Config struct {
	Self       cell.HostID   // Self is this host.
	DataCentre string        // DataCentre names the data centre of this host.
	Watchers   int           // Watchers is the number of hosts in each data centre that watch the platform.
	FanOut     int           // FanOut is the largest number of hosts that a host forwards to.
	Grace      time.Duration // Grace is how long a host without a link keeps its role.
}

// Member is a host in the list of hosts, without those that are leaving.
type Member struct {
	Host       cell.HostID // Host names the host.
	DataCentre string      // DataCentre names the data centre of the host.
}

// member holds what is known of a listed host.
type member struct {
	dataCentre   string    // dataCentre names the data centre of the host.
	lastLinkedAt time.Time // lastLinkedAt is when a link to the host was last lost; until then, when the host was first listed.
}

// Table holds the listed hosts and derives their roles, as one host sees them. It is not safe for concurrent use.
type Table struct {
	config   Config                   // config is the configuration given to New.
	members  map[cell.HostID]*member  // members holds the listed hosts.
	links    map[cell.HostID]int      // links counts the linked routers of each host, listed or not; a host with none has no entry.
	watchers map[string][]cell.HostID // watchers holds the watching hosts of each data centre, in rendezvous order.
	children map[cell.HostID]bool     // children holds the hosts that this host forwards to.
}

// New returns a Table that knows only its own host.
func New(config Config) *Table {
	t := &Table{config: config, members: map[cell.HostID]*member{}, links: map[cell.HostID]int{}}
	t.Update(time.Time{})
	return t
}

// SetMembers replaces the list of hosts. A host that stays listed keeps the time of its last link.
func (t *Table) SetMembers(now time.Time, listed []Member) {
	before := t.members
	t.members = make(map[cell.HostID]*member, len(listed))
	for _, one := range listed {
		kept, found := before[one.Host]
		if !found {
			kept = &member{lastLinkedAt: now}
		}
		kept.dataCentre = one.DataCentre
		t.members[one.Host] = kept
	}
	t.Update(now)
}

// Linked records that a router of the host can be reached. Each call must be followed by one of Unlinked when the link ends.
func (t *Table) Linked(now time.Time, host cell.HostID) {
	t.links[host]++
	t.Update(now)
}

// Unlinked records that a router of the host can no longer be reached.
func (t *Table) Unlinked(now time.Time, host cell.HostID) {
	t.links[host]--
	if t.links[host] <= 0 {
		delete(t.links, host)
	}
	if listed, found := t.members[host]; found {
		listed.lastLinkedAt = now
	}
	t.Update(now)
}

// Update derives all roles anew; it must be called regularly, as roles change when Grace ends.
func (t *Table) Update(now time.Time) {
	live := map[string][]string{}
	for host, one := range t.members {
		if host == t.config.Self || t.links[host] > 0 || now.Sub(one.lastLinkedAt) < t.config.Grace {
			live[one.dataCentre] = append(live[one.dataCentre], string(host))
		}
	}
	if _, listed := t.members[t.config.Self]; !listed {
		live[t.config.DataCentre] = append(live[t.config.DataCentre], string(t.config.Self))
	}
	t.watchers = make(map[string][]cell.HostID, len(live))
	for dataCentre, hosts := range live {
		t.watchers[dataCentre] = topRanked(slices.Clone(hosts), dataCentre, t.config.Watchers)
	}
	t.assignChildren(live[t.config.DataCentre])
}

// topRanked returns the first count hosts in the rendezvous order of a key. It sorts and changes the given slice.
func topRanked(hosts []string, key string, count int) []cell.HostID {
	slices.Sort(hosts)
	var chosen []cell.HostID
	for len(hosts) > 0 && len(chosen) < count {
		next := rendezvous.New(hosts, xxhash.Sum64String).Lookup(key)
		chosen = append(chosen, cell.HostID(next))
		hosts = slices.DeleteFunc(hosts, func(h string) bool { return h == next })
	}
	return chosen
}

// assignChildren derives the hosts that this host forwards to. The hosts of its data centre
// form a forest whose roots are the watchers, so that no host sends to more than FanOut others.
func (t *Table) assignChildren(hosts []string) {
	watchers := t.watchers[t.config.DataCentre]
	order := slices.Clone(watchers)
	slices.SortFunc(hosts, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	for _, host := range hosts {
		if !slices.Contains(watchers, cell.HostID(host)) {
			order = append(order, cell.HostID(host))
		}
	}
	t.children = make(map[cell.HostID]bool, t.config.FanOut)
	position := slices.Index(order, t.config.Self)
	start := len(watchers) + position*t.config.FanOut
	for i := start; position >= 0 && i < min(start+t.config.FanOut, len(order)); i++ {
		t.children[order[i]] = true
	}
}

// Size returns the number of listed hosts in all data centres.
func (t *Table) Size() int {
	return len(t.members)
}

// IsWatching reports whether a host watches the platform for this host's data centre.
func (t *Table) IsWatching(host cell.HostID) bool {
	return slices.Contains(t.watchers[t.config.DataCentre], host)
}

// IsRemoteWatcher reports whether a host watches the platform for another data centre.
func (t *Table) IsRemoteWatcher(host cell.HostID) bool {
	listed, found := t.members[host]
	if !found || listed.dataCentre == t.config.DataCentre {
		return false
	}
	return slices.Contains(t.watchers[listed.dataCentre], host)
}

// IsInSameDataCentre reports whether a listed host is in this host's data centre.
func (t *Table) IsInSameDataCentre(host cell.HostID) bool {
	listed, found := t.members[host]
	return found && listed.dataCentre == t.config.DataCentre
}

// ForwardsTo reports whether this host forwards what it learns to the given host.
func (t *Table) ForwardsTo(host cell.HostID) bool {
	return t.children[host]
}
