package watcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"ryelug/core/cell"
)

// Config says who the host is and how many watch.
type Config struct {
	Self       cell.HostID
	DataCentre string
	Watchers   int           // Watchers is the number of hosts of a data centre that watch.
	FanOut     int           // FanOut is how many others a host passes on to.
	Grace      time.Duration // Grace is how long a host without a link keeps its role.
}

// Member is a host of the fleet that does not leave.
type Member struct {
	Host       cell.HostID
	DataCentre string
}

// member is a listed host.
type member struct {
	dataCentre string
	linkedAt   time.Time // linkedAt is when a link to it was last there; the time of listing at first.
}

// Table holds the hosts and their roles as one host sees them.
type Table struct {
	config   Config
	members  map[cell.HostID]*member
	links    map[cell.HostID]int
	watchers map[string][]cell.HostID // watchers are those of each data centre.
	children map[cell.HostID]bool     // children are the hosts that this one passes on to.
}

// New returns a table that knows only its own host.
func New(config Config) *Table {
	t := &Table{config: config, members: map[cell.HostID]*member{}, links: map[cell.HostID]int{}}
	t.Update(time.Time{})
	return t
}

// SetMembers replaces the list of hosts.
func (t *Table) SetMembers(now time.Time, listed []Member) {
	before := t.members
	t.members = make(map[cell.HostID]*member, len(listed))
	for _, one := range listed {
		kept, found := before[one.Host]
		if !found {
			kept = &member{linkedAt: now}
		}
		kept.dataCentre = one.DataCentre
		t.members[one.Host] = kept
	}
	t.Update(now)
}

// Linked notes that a router of a host can be reached.
func (t *Table) Linked(now time.Time, host cell.HostID) {
	t.links[host]++
	t.Update(now)
}

// Unlinked notes that a router of a host can be reached no longer.
func (t *Table) Unlinked(now time.Time, host cell.HostID) {
	t.links[host]--
	if t.links[host] <= 0 {
		delete(t.links, host)
	}
	if listed, found := t.members[host]; found {
		listed.linkedAt = now
	}
	t.Update(now)
}

// Update works out all roles; it is due whenever time has passed.
func (t *Table) Update(now time.Time) {
	live := map[string][]string{}
	for host, one := range t.members {
		if host == t.config.Self || t.links[host] > 0 || now.Sub(one.linkedAt) < t.config.Grace {
			live[one.dataCentre] = append(live[one.dataCentre], string(host))
		}
	}
	if _, listed := t.members[t.config.Self]; !listed {
		live[t.config.DataCentre] = append(live[t.config.DataCentre], string(t.config.Self))
	}
	t.watchers = make(map[string][]cell.HostID, len(live))
	for dataCentre, hosts := range live {
		t.watchers[dataCentre] = first(slices.Clone(hosts), dataCentre, t.config.Watchers)
	}
	t.assignChildren(live[t.config.DataCentre])
}

// first returns the first hosts in rendezvous order for a key.
func first(hosts []string, key string, count int) []cell.HostID {
	slices.Sort(hosts)
	var chosen []cell.HostID
	for len(hosts) > 0 && len(chosen) < count {
		next := rendezvous.New(hosts, xxhash.Sum64String).Lookup(key)
		chosen = append(chosen, cell.HostID(next))
		hosts = slices.DeleteFunc(hosts, func(h string) bool { return h == next })
	}
	return chosen
}

// assignChildren puts the hosts of this data centre into a tree whose roots are
// the watchers, so that none sends to more than a few others.
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
	at := slices.Index(order, t.config.Self)
	start := len(watchers) + at*t.config.FanOut
	for i := start; at >= 0 && i < min(start+t.config.FanOut, len(order)); i++ {
		t.children[order[i]] = true
	}
}

// Size returns the number of listed hosts.
func (t *Table) Size() int {
	return len(t.members)
}

// IsWatching reports whether a host watches for this table's data centre.
func (t *Table) IsWatching(host cell.HostID) bool {
	return slices.Contains(t.watchers[t.config.DataCentre], host)
}

// IsWatchingAbroad reports whether a host watches for another data centre.
func (t *Table) IsWatchingAbroad(host cell.HostID) bool {
	listed, found := t.members[host]
	if !found || listed.dataCentre == t.config.DataCentre {
		return false
	}
	return slices.Contains(t.watchers[listed.dataCentre], host)
}

// IsNeighbour reports whether a host is in this table's data centre.
func (t *Table) IsNeighbour(host cell.HostID) bool {
	listed, found := t.members[host]
	return found && listed.dataCentre == t.config.DataCentre
}

// IsChild reports whether this host passes on to another one.
func (t *Table) IsChild(host cell.HostID) bool {
	return t.children[host]
}
