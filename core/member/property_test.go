package member_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ryelug/core/cell"
	"ryelug/core/member"
)

const (
	step         = 100 * time.Millisecond
	readInterval = time.Second            // readInterval is the time between two reads of the list.
	listLag      = 900 * time.Millisecond // listLag bounds the age of a list when it is read; together with readInterval it is less than DefaultLag.
	linkLag      = time.Second            // linkLag is how long the loss of a link goes unnoticed.
	lendTime     = 2 * time.Second        // lendTime is how long a stake may still be counted after a link is lost.
)

// usualSeed seeds the property tests.
const usualSeed = "4"

// TestMain fixes the seed of the property tests; the flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	setSeed(usualSeed)
	os.Exit(m.Run())
}

func setSeed(seed string) {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}

// fleet simulates the platform's list and routers with delayed views of it.
type fleet struct {
	rng       *rand.Rand
	now       time.Time
	history   []listing // history holds the list as it was after each change, oldest first.
	nodes     []*node
	violation string // violation describes the first time at which the stakes added up to more than one; empty if they never did.
}

// listing is the platform's list from one point in time on.
type listing struct {
	since time.Time
	hosts map[cell.HostID]bool
}

// node is one simulated router.
type node struct {
	host   cell.HostID
	table  *member.Table
	alive  bool                      // alive is true while the router's process runs.
	blind  bool                      // blind is true while the node can't read the list.
	relist time.Time                 // relist is when a node that was dropped from the list by mistake is listed again.
	delist time.Time                 // delist is when a dead node is removed from the list.
	start  time.Time                 // start is when the next process of a departed node starts.
	read   time.Time                 // read is when the node last read the list.
	parted map[cell.HostID]time.Time // parted maps each node that can't be reached to the time at which that began.
	linked map[cell.HostID]bool      // linked holds the nodes whose links this node regards as up.
}

func newFleet(seed uint64, size int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0)}
	f.history = []listing{{since: f.now.Add(-time.Hour), hosts: make(map[cell.HostID]bool)}}
	for range size {
		f.add()
	}
	f.history = f.history[len(f.history)-1:]
	f.history[0].since = f.now.Add(-time.Hour)
	for range 100 {
		f.advance()
	}
	return f
}

// add starts a new node and lists it.
func (f *fleet) add() {
	n := &node{host: host(len(f.nodes)), alive: true, parted: make(map[cell.HostID]time.Time), linked: make(map[cell.HostID]bool)}
	n.table = member.New(member.Config{Self: n.host})
	f.nodes = append(f.nodes, n)
	f.list(n.host, true)
}

// list adds a host to the platform's list or removes it.
func (f *fleet) list(host cell.HostID, listed bool) {
	hosts := make(map[cell.HostID]bool)
	for h := range f.history[len(f.history)-1].hosts {
		hosts[h] = true
	}
	if listed {
		hosts[host] = true
	} else {
		delete(hosts, host)
	}
	f.history = append(f.history, listing{since: f.now, hosts: hosts})
}

// listAt returns the list as it was the given time ago.
func (f *fleet) listAt(ago time.Duration) []member.Member {
	at := f.history[0]
	for _, l := range f.history {
		if !l.since.After(f.now.Add(-ago)) {
			at = l
		}
	}
	var list []member.Member
	for h := range at.hosts {
		list = append(list, member.Member{Host: h})
	}
	return list
}

// advance lets one step pass for every node, then checks the stakes.
func (f *fleet) advance() {
	f.now = f.now.Add(step)
	for _, n := range f.nodes {
		if !n.delist.IsZero() && f.now.After(n.delist) {
			n.delist = time.Time{}
			f.list(n.host, false)
		}
		if n.alive && !n.relist.IsZero() && f.now.After(n.relist) && f.mayAddHost() {
			n.relist = time.Time{}
			f.list(n.host, true)
		}
		if !n.start.IsZero() && f.now.After(n.start) {
			f.restart(n)
		}
		if n.alive {
			f.update(n)
		}
	}
	f.check()
}

// pass advances the simulation by the given time.
func (f *fleet) pass(d time.Duration) {
	for range d / step {
		f.advance()
	}
}

// update lets one node read the list, notice link changes and exchange reports with its peers.
func (f *fleet) update(n *node) {
	if !n.blind && f.now.Sub(n.read) >= readInterval {
		n.read = f.now
		n.table.Listed(f.now, f.listAt(time.Duration(f.rng.Int64N(int64(listLag)))))
	}
	for _, other := range f.nodes {
		if other == n {
			continue
		}
		parted, isParted := n.parted[other.host]
		up := other.alive && !isParted
		switch {
		case up && !n.linked[other.host]:
			n.linked[other.host] = true
			n.table.Up(f.now, other.host)
		case !up && n.linked[other.host] && f.now.Sub(parted) > linkLag:
			delete(n.linked, other.host)
			n.table.Down(f.now, other.host)
		}
		if up {
			n.table.RecordWaiting(f.now, other.host, other.table.Waiting())
			n.table.RecordMembers(f.now, other.host, other.table.SeenHosts())
		}
	}
	n.table.Tick(f.now)
}

// check records a violation if the stakes that dispatchers could count now add up to more than the whole
// limit. For each running router it takes the largest stake that any dispatcher could count for it. Such a
// dispatcher has the router among its voters, may be linked to it, and serves at least one router that is
// not cut off. The stake is 1/total, with the total of the dispatcher.
func (f *fleet) check() {
	sum := 0.0
	for _, entry := range f.nodes {
		best := 0.0
		for _, d := range f.nodes {
			voters, total := d.table.Voters()
			if f.mayBeLinked(entry, d) && slices.Contains(voters, entry.host) && f.hasActiveEntry(d) {
				best = max(best, 1/float64(total))
			}
		}
		sum += best
	}
	if sum > 1+1e-9 && f.violation == "" {
		f.violation = fmt.Sprintf("stakes add up to %.3f at %v", sum, f.now.Sub(time.Unix(1000, 0)))
	}
}

// mayBeLinked reports whether two running nodes are linked, or were within the last lendTime.
func (f *fleet) mayBeLinked(a, b *node) bool {
	since, parted := a.parted[b.host]
	return a.alive && b.alive && (!parted || f.now.Sub(since) < lendTime)
}

// hasActiveEntry reports whether the dispatcher serves any router that is not cut off.
func (f *fleet) hasActiveEntry(d *node) bool {
	return slices.ContainsFunc(f.nodes, func(entry *node) bool {
		return f.mayBeLinked(entry, d) && !entry.table.CutOff(f.now)
	})
}

// injectFault injects one fault or ends one; an operation above 6 does nothing.
func (f *fleet) injectFault(op int) {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	switch op {
	case 0:
		if len(f.nodes) < 12 && f.mayAddHost() {
			f.add()
		}
	case 1:
		if n.alive && len(f.nodes) > 3 {
			n.alive = false
			n.delist = f.now.Add(time.Duration(f.rng.Int64N(int64(20 * time.Second))))
		}
	case 2:
		n.blind = true
	case 3:
		for _, n := range f.nodes {
			n.blind = false
		}
	case 4:
		f.partition()
	case 5:
		for _, n := range f.nodes {
			clear(n.parted)
		}
	case 6:
		if n.alive && !f.isListWrong() {
			n.relist = f.now.Add(time.Duration(f.rng.Int64N(int64(40 * time.Second))))
			f.list(n.host, false)
		}
	}
}

// depart shuts a node down gracefully: the nodes that it can reach are told of its departure. The
// list still contains the host, and the next process starts there after restartAfter.
func (f *fleet) depart(n *node, restartAfter time.Duration) {
	for _, other := range f.nodes {
		if _, parted := n.parted[other.host]; other != n && other.alive && !parted {
			other.table.Departed(f.now, n.host)
		}
	}
	n.alive = false
	n.start = f.now.Add(restartAfter)
}

// restart starts the next process of a departed node, with no memory of the earlier one.
func (f *fleet) restart(n *node) {
	n.start = time.Time{}
	n.alive, n.blind, n.read = true, false, time.Time{}
	n.table = member.New(member.Config{Self: n.host, Started: f.now})
	clear(n.linked)
	for _, other := range f.nodes {
		if other.linked[n.host] {
			delete(other.linked, n.host)
			other.table.Down(f.now, n.host)
		}
	}
}

// isListWrong reports whether a running node is missing from the list; the tests assume at most one at a time.
func (f *fleet) isListWrong() bool {
	return slices.ContainsFunc(f.nodes, func(n *node) bool { return n.alive && !n.relist.IsZero() })
}

// mayAddHost reports whether a host may be added. The bound on the stakes assumes that no host is added while there is
// a group of running routers that is linked to most hosts of its last list, but in which no router can read the list
// or is linked to one that can.
func (f *fleet) mayAddHost() bool {
	for _, n := range f.nodes {
		if n.alive && n.blind && f.hasMajority(n) && !f.hasReader(n) {
			return false
		}
	}
	return true
}

// hasMajority reports whether the node is linked to more than half of the members that it knows.
func (f *fleet) hasMajority(n *node) bool {
	members, linked := n.table.Members(), 0
	for _, m := range members {
		if m.Host == n.host || n.linked[m.Host] {
			linked++
		}
	}
	return 2*linked > len(members)
}

// hasReader reports whether the node can reach another one that can read the list.
func (f *fleet) hasReader(n *node) bool {
	return slices.ContainsFunc(f.nodes, func(other *node) bool {
		_, parted := n.parted[other.host]
		return other.alive && !other.blind && !parted && other != n
	})
}

// partition splits the fleet into two random groups that can't reach each other.
func (f *fleet) partition() {
	side := make(map[*node]bool)
	for _, n := range f.nodes {
		side[n] = f.rng.IntN(2) == 0
	}
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if _, already := a.parted[b.host]; side[a] != side[b] && !already {
				a.parted[b.host] = f.now
			}
		}
	}
}

// TestStakesNeverAddUpToMoreThanOne checks under random faults that no endpoint limit is lent out more than once.
func TestStakesNeverAddUpToMoreThanOne(t *testing.T) {
	rapid.Check(t, checkStakes)
}

// TestStakesWithSeedThree repeats the property test with a seed that has found a violation. A router was linked only to
// a host that the list lacked by mistake, and rejected the lists that lacked it. When the host was listed again, the
// router counted the host's vote at once.
func TestStakesWithSeedThree(t *testing.T) {
	setSeed("3")
	defer setSeed(usualSeed)
	rapid.Check(t, checkStakes)
}

// checkStakes runs a random sequence of faults and fails if the stakes added up to more than one at any time.
func checkStakes(t *rapid.T) {
	f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "size"))
	for _, op := range rapid.SliceOfN(rapid.IntRange(0, 12), 10, 40).Draw(t, "faults") {
		f.injectFault(op)
		for range f.rng.IntN(60) {
			f.advance()
		}
	}
	if f.violation != "" {
		t.Fatal(f.violation)
	}
}

// TestRestartAfterDeparture restarts a host soon after its departure, while a partition hides
// the new process from some of the routers that were told of the departure.
func TestRestartAfterDeparture(t *testing.T) {
	for after := time.Duration(0); after < 8*time.Second; after += 500 * time.Millisecond {
		for far := 1; far <= 4; far++ {
			t.Run(fmt.Sprintf("after %v, %d on the other side", after, far), func(t *testing.T) {
				f := newFleet(1, 5)
				f.depart(f.nodes[0], after)
				for _, a := range f.nodes[:5-far] {
					for _, b := range f.nodes[5-far:] {
						a.parted[b.host], b.parted[a.host] = f.now, f.now
					}
				}
				for range 200 {
					f.advance()
				}
				if f.violation != "" {
					t.Error(f.violation)
				}
			})
		}
	}
}

// TestStaleMajority adds a host while another one can't read the list. After a partition the latter is
// linked to most hosts of its outdated list, but no longer to most hosts.
func TestStaleMajority(t *testing.T) {
	f := newFleet(1, 3)
	blind, dropped := f.nodes[0], f.nodes[1]
	blind.blind = true
	f.pass(2 * time.Second)
	f.list(dropped.host, false)
	f.add()
	f.pass(2 * time.Second)
	for _, a := range f.nodes[:2] {
		for _, b := range f.nodes[2:] {
			a.parted[b.host], b.parted[a.host] = f.now, f.now
		}
	}
	f.pass(20 * time.Second)
	if f.violation != "" {
		t.Error(f.violation)
	}
}

// TestBlindDispatcherOfMinority drops a host from the list by mistake. The host is in a minority
// whose dispatcher can't read the list, while another host of the minority can.
func TestBlindDispatcherOfMinority(t *testing.T) {
	f := newFleet(1, 10)
	dropped, blind := f.nodes[0], f.nodes[1]
	for _, a := range f.nodes[:3] {
		for _, b := range f.nodes[3:] {
			a.parted[b.host], b.parted[a.host] = f.now, f.now
		}
	}
	blind.blind = true
	dropped.relist = f.now.Add(time.Minute)
	f.list(dropped.host, false)
	for range 300 {
		f.advance()
	}
	if f.violation != "" {
		t.Error(f.violation)
	}
}

// TestReturnAfterRelisting lists a dropped host again. The routers on its side of a partition, which could
// not read the list until then, read it at about the same time, before all others have.
func TestReturnAfterRelisting(t *testing.T) {
	for size := 3; size <= 6; size++ {
		for far := 2; far <= size; far++ {
			for after := time.Duration(0); after <= 2*time.Second; after += 400 * time.Millisecond {
				t.Run(fmt.Sprintf("%d hosts, %d on one side, after %v", size, far, after), func(t *testing.T) {
					f := newFleet(uint64(far), size)
					for _, a := range f.nodes[:far] {
						a.blind = true
						for _, b := range f.nodes[far:] {
							a.parted[b.host], b.parted[a.host] = f.now, f.now
						}
					}
					f.list(f.nodes[0].host, false)
					f.pass(20 * time.Second)
					f.list(f.nodes[0].host, true)
					f.pass(after)
					for _, n := range f.nodes[:far] {
						n.blind = false
						clear(n.parted)
					}
					f.pass(10 * time.Second)
					if f.violation != "" {
						t.Error(f.violation)
					}
				})
			}
		}
	}
}
