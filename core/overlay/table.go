package overlay

import (
	"maps"
	"slices"
	"time"

	"ryelug/core/cell"
)

const (
	dispatchersLinked = 3                      // routers that may dispatch a cell and are linked; two may fail at the same time
	nearLinked        = 2                      // routers of the own data centre, by name, that are linked; the first one observes the platform for it
	awayLinked        = 2                      // routers of each other data centre, by name, that are linked by the first ones here
	mostAwayDialed    = 8                      // routers of another data centre that are dialled, at most; if it is lost, none answers
	dialGrace         = 700 * time.Millisecond // time in which a router that is being dialled counts as linked
	linger            = 10 * time.Second       // time for which a link is kept that is no longer needed, so that members that flap move few links
)

// Config identifies the host.
type Config struct {
	Self       cell.HostID // Self is this host.
	DataCentre string      // DataCentre names the data centre of this host.
}

// Member is a host in the list of hosts, without those that are leaving.
type Member struct {
	Host       cell.HostID // Host names the host.
	DataCentre string      // DataCentre names the data centre of the host.
}

// peer is what is known of a chosen host.
type peer struct {
	linked     bool      // linked is true while the link that this router dialled is open.
	since      time.Time // since is when the host was first chosen, or its link was last lost.
	lastNeeded time.Time // lastNeeded is when the host was last needed.
}

// Table chooses hosts. It is not safe for concurrent use.
type Table struct {
	config Config
	near   []cell.HostID            // near holds the other hosts of this data centre, sorted by name.
	away   map[string][]cell.HostID // away holds the hosts of each other data centre, sorted by name.
	listed map[cell.HostID]bool
	peers  map[cell.HostID]*peer
}

// New returns a Table that knows no other host.
func New(config Config) *Table {
	return &Table{config: config, away: make(map[string][]cell.HostID), listed: make(map[cell.HostID]bool), peers: make(map[cell.HostID]*peer)}
}

// SetMembers replaces the list of hosts.
func (t *Table) SetMembers(members []Member) {
	t.near = nil
	clear(t.away)
	clear(t.listed)
	for _, m := range members {
		if m.Host == t.config.Self {
			continue
		}
		t.listed[m.Host] = true
		if m.DataCentre == t.config.DataCentre {
			t.near = append(t.near, m.Host)
		} else {
			t.away[m.DataCentre] = append(t.away[m.DataCentre], m.Host)
		}
	}
	slices.Sort(t.near)
	for _, hosts := range t.away {
		slices.Sort(hosts)
	}
}

// LinkUp records that the link to a chosen host is open; other hosts are ignored.
func (t *Table) LinkUp(host cell.HostID) {
	if p := t.peers[host]; p != nil {
		p.linked = true
	}
}

// LinkDown records that the link to a host is closed.
func (t *Table) LinkDown(now time.Time, host cell.HostID) {
	if p := t.peers[host]; p != nil {
		p.linked, p.since = false, now
	}
}

// Choose returns the hosts to keep links to, sorted by name. Each of candidates holds the hosts that may dispatch a cell, first
// choice first; inUse holds the hosts whose link carries work. The result grows while hosts at the head of an order do not
// answer, so it must be called several times a second.
func (t *Table) Choose(now time.Time, candidates [][]cell.HostID, inUse map[cell.HostID]bool) []cell.HostID {
	for _, order := range candidates {
		t.needFirst(now, order, dispatchersLinked)
	}
	t.needFirst(now, t.near, nearLinked)
	if t.isAmongFirst(now) {
		for _, hosts := range t.away {
			t.needFirst(now, hosts[:min(mostAwayDialed, len(hosts))], awayLinked)
		}
	}
	for host := range inUse {
		if t.listed[host] {
			t.need(now, host)
		}
	}
	maps.DeleteFunc(t.peers, func(host cell.HostID, p *peer) bool {
		kept := p.lastNeeded.Equal(now) || p.linked && now.Sub(p.lastNeeded) < linger
		return !kept || !t.listed[host]
	})
	return slices.Sorted(maps.Keys(t.peers))
}

// needFirst marks hosts as needed from the head of the order on, until count of them are linked or may be so soon.
func (t *Table) needFirst(now time.Time, order []cell.HostID, count int) {
	for _, host := range order {
		if count == 0 {
			return
		}
		if host == t.config.Self || !t.listed[host] {
			continue
		}
		t.need(now, host)
		if t.isAvailable(now, host) {
			count--
		}
	}
}

func (t *Table) need(now time.Time, host cell.HostID) {
	p := t.peers[host]
	if p == nil {
		p = &peer{since: now}
		t.peers[host] = p
	}
	p.lastNeeded = now
}

// isAvailable reports whether a host is linked, or has been dialled for so short a time that it may be soon.
func (t *Table) isAvailable(now time.Time, host cell.HostID) bool {
	p := t.peers[host]
	return p != nil && (p.linked || now.Sub(p.since) < dialGrace)
}

// isAmongFirst reports whether fewer than nearLinked available hosts of this data centre come before this one by name.
func (t *Table) isAmongFirst(now time.Time) bool {
	before := 0
	for _, host := range t.near {
		if host > t.config.Self {
			break
		}
		if t.isAvailable(now, host) {
			before++
		}
	}
	return before < nearLinked
}
