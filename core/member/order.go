package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"ryelug/core/cell"
)

// orderLength is the maximum number of hosts in an order; no router tries hosts beyond it.
const orderLength = 16

// strongPercent is the part of the largest processor share, in percent, that a host needs to be among the first to
// dispatch. A dispatcher handles every request of its cell, while any other router handles only its own callers' requests.
const strongPercent = 75

// Order returns the hosts that may dispatch the cell, first choice first. The live hosts come first, by
// rendezvous hashing; among them, those with much less processor than the largest come after the others, and those
// whose process is new come last. Listed hosts that are not live follow. A router applies this to its own process too,
// so a router that has just started asks the present dispatcher and does not take over the cell. The caller must not
// change the result.
func (t *Table) Order(now time.Time, id cell.ID) []cell.HostID {
	if now.After(t.settled) {
		t.recompute(now)
	}
	if order, ok := t.orders[id]; ok {
		return order
	}
	strong := t.mostProcessor() * strongPercent
	live := t.collect(func(r *record) bool { return r.live && r.settled && r.member.Processor*100 >= strong })
	weak := t.collect(func(r *record) bool { return r.live && r.settled && r.member.Processor*100 < strong })
	fresh := t.collect(func(r *record) bool { return r.live && !r.settled })
	rest := t.collect(func(r *record) bool { return !r.live && r.listed })
	order := appendRanked(nil, live, id)
	order = appendRanked(order, weak, id)
	order = appendRanked(order, fresh, id)
	order = appendRanked(order, rest, id)
	t.orders[id] = order
	return order
}

// Candidates returns the other listed hosts that may dispatch the cell, first choice first, whether or not there is a link to them:
// the first ones are those that Order returns once they are linked and settled. Hosts that are leaving are left out. The caller
// must not change the result.
func (t *Table) Candidates(id cell.ID) []cell.HostID {
	if order, ok := t.candidates[id]; ok {
		return order
	}
	strong := t.mostProcessor() * strongPercent
	mayDispatch := func(r *record) bool {
		return r.listed && !r.member.Leaving && !r.leaving && r.member.Host != t.conf.Self
	}
	order := appendRanked(nil, t.collect(func(r *record) bool { return mayDispatch(r) && r.member.Processor*100 >= strong }), id)
	order = appendRanked(order, t.collect(func(r *record) bool { return mayDispatch(r) && r.member.Processor*100 < strong }), id)
	t.candidates[id] = order
	return order
}

// mostProcessor returns the largest processor share of a listed host, in thousandths of a core.
func (t *Table) mostProcessor() (most int) {
	for _, r := range t.hosts {
		if r.listed {
			most = max(most, r.member.Processor)
		}
	}
	return most
}

// appendRanked appends hosts in rendezvous order until the order has orderLength hosts; hosts must be sorted.
func appendRanked(order, hosts []cell.HostID, id cell.ID) []cell.HostID {
	names := make([]string, len(hosts))
	for i, host := range hosts {
		names[i] = string(host)
	}
	for len(names) > 0 && len(order) < orderLength {
		first := rendezvous.New(names, xxhash.Sum64String).Lookup(string(id))
		order = append(order, cell.HostID(first))
		i, _ := slices.BinarySearchFunc(names, first, cmp.Compare[string])
		names = slices.Delete(names, i, i+1)
	}
	return order
}
