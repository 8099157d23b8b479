package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"ryelug/core/cell"
)

// orderLength bounds the hosts of an order; a cell never looks further.
const orderLength = 16

// strongPercent is the part of the largest processor share, in percent, from which on a host is among the first to
// dispatch: a dispatcher takes part in each request of its cell, an entry only in its own.
const strongPercent = 75

// Order returns the hosts that may dispatch the cell, first choice first: live
// hosts in rendezvous order, those with much less of a processor than others after
// the rest, then those with a new process, then the others. So a new process asks the present dispatcher, as all do, and
// not itself. The caller must not change the order.
func (t *Table) Order(now time.Time, id cell.ID) []cell.HostID {
	if now.After(t.settled) {
		t.settle(now)
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

// mostProcessor returns the largest part of a processor that a host is listed with.
func (t *Table) mostProcessor() (most int) {
	for _, r := range t.hosts {
		if r.listed {
			most = max(most, r.member.Processor)
		}
	}
	return most
}

// appendRanked appends hosts by rank until the order is full.
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
